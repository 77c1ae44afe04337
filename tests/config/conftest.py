"""Fixtures for the tests of the configuration."""

import json
from pathlib import Path

import pytest

from outside.fixtures import gate, rows, store  # noqa: F401

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.fixture
def formosa_document():
    """The example configuration of Formosa as a JSON value that a test may change."""
    return json.loads((EXAMPLES / "formosa.json").read_bytes())


@pytest.fixture
def document(formosa_document):
    """Return a function that makes a document with a given queue limit."""

    def make(queue_limit=256):
        formosa_document["caller_classes"][0]["queue_limit"] = queue_limit
        return json.dumps(formosa_document).encode()

    return make

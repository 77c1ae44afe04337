"""Fixtures of tests of the configuration."""

import json
from pathlib import Path

import pytest

from outside.fixtures import gate, rows, store  # noqa: F401

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.fixture
def formosa():
    """Formosa's configuration as a JSON value that a test may change."""
    return json.loads((EXAMPLES / "formosa.json").read_bytes())


@pytest.fixture
def document(formosa):
    """Return a document that differs by the queue limit of the first class."""

    def make(queue_limit=256):
        formosa["caller_classes"][0]["queue_limit"] = queue_limit
        return json.dumps(formosa).encode()

    return make

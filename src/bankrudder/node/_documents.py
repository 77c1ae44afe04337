"""The platform's documents, as an adapter decodes them."""

from typing import Protocol

from bankrudder.fleet import Endpoint, ModelState
from bankrudder.routing import RoutingConfiguration

MAX_REASON_CHARS = 200
"""Longest reason that is kept of an unreadable document: it goes into a log line, and
other writers choose what it quotes."""


class UnreadableDocumentError(Exception):
    """A document cannot be understood; ``reason`` says what is wrong with it."""

    def __init__(self, reason: str):
        self.reason = reason[:MAX_REASON_CHARS]
        super().__init__(self.reason)


class Documents(Protocol):
    """Where the platform keeps its documents, and how they are decoded.

    Anybody may write these tables, so each decoder raises `UnreadableDocumentError`
    for anything that is not a whole document of its kind, and nothing else.
    """

    configuration_table: str
    configuration_key: str
    named_version_prefix: str
    endpoints_table: str

    def configuration(self, body: bytes) -> RoutingConfiguration:
        """Decode a configuration."""
        ...

    def endpoint(self, endpoint_id: str, body: bytes) -> Endpoint:
        """Decode an entry of the endpoints' list."""
        ...

    def named_version(self, body: bytes) -> ModelState:
        """Decode a version that was named."""
        ...

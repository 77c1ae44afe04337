"""The platform's documents in the store, which an adapter locates and decodes."""

from typing import Protocol

from bankrudder.fleet import Endpoint, ModelState
from bankrudder.routing import RoutingConfiguration

MAX_REASON_CHARS = 200
"""Longest reason kept for an unreadable document: the reason is logged, and may quote
text that any writer of the document chose."""


class UnreadableDocumentError(Exception):
    """A document cannot be decoded; ``reason`` gives the cause."""

    def __init__(self, reason: str):
        self.reason = reason[:MAX_REASON_CHARS]
        super().__init__(self.reason)


class Documents(Protocol):
    """Location and decoding of the platform's documents.

    Other programs write these tables. Each decoder therefore raises
    `UnreadableDocumentError`, and no other exception, for any value that is not a
    complete document of its kind.
    """

    configuration_table: str
    configuration_key: str
    named_version_prefix: str
    endpoints_table: str

    def configuration(self, body: bytes) -> RoutingConfiguration:
        """Decode a routing configuration."""
        ...

    def endpoint(self, endpoint_id: str, body: bytes) -> Endpoint:
        """Decode an entry of the list of endpoints."""
        ...

    def named_version(self, body: bytes) -> ModelState:
        """Decode the model version that a trainer named."""
        ...

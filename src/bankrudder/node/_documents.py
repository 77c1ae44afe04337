"""The platform's documents in the store, which an adapter locates and decodes."""

from typing import Protocol

from bankrudder.fleet import Endpoint, ModelState
from bankrudder.routing import RoutingConfiguration


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

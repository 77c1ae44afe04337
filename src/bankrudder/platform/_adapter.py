"""The adapter of a host to the platform."""

from typing import Self

from bankrudder.duties import DutyApi
from bankrudder.fleet import Endpoint, ModelState
from bankrudder.node import Gateway, NodeSettings, run_daemon
from bankrudder.platform import _names as names
from bankrudder.platform._documents import (
    decode_configuration,
    decode_endpoint,
    decode_named_version,
)
from bankrudder.platform._duty_api import HttpDutyApi
from bankrudder.platform._endpoint_client import HttpEndpointClient
from bankrudder.platform._front import CallerListener, ReadinessListener
from bankrudder.platform._store import PlatformStore
from bankrudder.routing import RoutingConfiguration
from bankrudder.world import Clock


class PlatformDocuments:
    """Where the platform keeps its documents, and how they are decoded."""

    configuration_table = names.CONFIGURATION_TABLE
    configuration_key = names.CONFIGURATION_KEY
    named_version_prefix = names.NAMED_VERSION_PREFIX
    endpoints_table = names.ENDPOINTS_TABLE

    def configuration(self, body: bytes) -> RoutingConfiguration:
        """Decode a configuration."""
        return decode_configuration(body)

    def endpoint(self, endpoint_id: str, body: bytes) -> Endpoint:
        """Decode an entry of the endpoints' list."""
        return decode_endpoint(endpoint_id, body)

    def named_version(self, body: bytes) -> ModelState:
        """Decode a version that was named."""
        return decode_named_version(body)


class PlatformAdapter:
    """All connections of one host to the platform."""

    def __init__(self, settings: NodeSettings):
        self._store = PlatformStore.from_config(settings.store.address)
        self._endpoints = HttpEndpointClient()
        self._documents = PlatformDocuments()
        duties = settings.duties
        self._duties = HttpDutyApi(duties.address) if duties is not None else None

    @classmethod
    def from_config(cls, settings: NodeSettings) -> Self:
        """Make an adapter that connects when it is first used."""
        return cls(settings)

    @property
    def store(self) -> PlatformStore:
        """The client of the store."""
        return self._store

    @property
    def endpoints(self) -> HttpEndpointClient:
        """The client of endpoints."""
        return self._endpoints

    @property
    def duties(self) -> DutyApi | None:
        """The client of the interface for duties, None if there is none."""
        return self._duties

    @property
    def documents(self) -> PlatformDocuments:
        """Where documents are, and how they are decoded."""
        return self._documents

    def caller_listener(
        self, settings: NodeSettings, gateway: Gateway, clock: Clock
    ) -> CallerListener:
        """Make the listener for callers."""
        return CallerListener(settings.callers_address, gateway, clock)

    def readiness_listener(
        self, settings: NodeSettings, gateway: Gateway
    ) -> ReadinessListener:
        """Make the listener for the balancer."""
        return ReadinessListener(settings.readiness_address, gateway)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()
        await self._endpoints.close()
        if self._duties is not None:
            await self._duties.close()


def main() -> None:
    """Run a daemon on the platform."""
    run_daemon(PlatformAdapter.from_config)

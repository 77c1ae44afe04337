"""The adapter that connects a host to the platform."""

import resource
from typing import Self

from bankrudder.duties import DutyApi
from bankrudder.fleet import Endpoint, ModelState
from bankrudder.memory import MemoryBudget, ProcessLimits
from bankrudder.node import Gateway, NodeSettings, run_daemon
from bankrudder.platform import _names as names
from bankrudder.platform._contracts import complete_settings
from bankrudder.platform._documents import (
    decode_configuration,
    decode_endpoint,
    decode_named_version,
)
from bankrudder.platform._duty_api import HttpDutyApi
from bankrudder.platform._endpoint_client import HttpEndpointClient
from bankrudder.platform._listeners import CallerListener
from bankrudder.platform._readiness import ReadinessListener
from bankrudder.platform._store import PlatformStore
from bankrudder.routing import RoutingConfiguration
from bankrudder.world import Clock, SystemClock

ASSUMED_DESCRIPTORS = 4096
"""Descriptors of a process that neither its settings nor the system limit."""


class PlatformDocuments:
    """Locations of the platform's documents in its store, and their decoders."""

    configuration_table = names.CONFIGURATION_TABLE
    configuration_key = names.CONFIGURATION_KEY
    named_version_prefix = names.NAMED_VERSION_PREFIX
    endpoints_table = names.ENDPOINTS_TABLE

    def configuration(self, body: bytes) -> RoutingConfiguration:
        """Decode a configuration."""
        return decode_configuration(body)

    def endpoint(self, endpoint_id: str, body: bytes) -> Endpoint:
        """Decode an entry of the list of endpoints."""
        return decode_endpoint(endpoint_id, body)

    def named_version(self, body: bytes) -> ModelState:
        """Decode the weight version that a trainer named for a model."""
        return decode_named_version(body)


class PlatformAdapter:
    """All connections of one host to the platform."""

    def __init__(self, settings: NodeSettings, clock: Clock | None = None):
        self._limits = ProcessLimits.from_config(
            settings.memory_mb,
            _max_descriptors(settings),
            has_rpc=settings.rpc is not None,
            has_feeds=settings.feeds is not None,
        )
        self._budget = MemoryBudget.from_config(self._limits, clock or SystemClock())
        self._store = PlatformStore.from_config(settings.store.address)
        self._endpoints = HttpEndpointClient(
            self._budget, self._limits.endpoint_connections
        )
        self._documents = PlatformDocuments()
        duties = settings.duties
        self._duties = HttpDutyApi(duties.address) if duties is not None else None

    @classmethod
    def from_config(cls, settings: NodeSettings) -> Self:
        """Create an adapter that opens connections on first use."""
        return cls(settings)

    @property
    def store(self) -> PlatformStore:
        """The client for the platform's store."""
        return self._store

    @property
    def endpoints(self) -> HttpEndpointClient:
        """The client for endpoints."""
        return self._endpoints

    @property
    def budget(self) -> MemoryBudget:
        """The memory for the data of callers and endpoints."""
        return self._budget

    @property
    def limits(self) -> ProcessLimits:
        """The largest amounts that the parts of the process may use."""
        return self._limits

    @property
    def duties(self) -> DutyApi | None:
        """The client for the platform's duty API, None if none is configured."""
        return self._duties

    @property
    def documents(self) -> PlatformDocuments:
        """Locations and decoders of the platform's documents."""
        return self._documents

    def caller_listener(
        self, settings: NodeSettings, gateway: Gateway, clock: Clock
    ) -> CallerListener:
        """Create the HTTP listener for callers."""
        return CallerListener(
            settings.callers_address,
            gateway,
            clock,
            self._limits.caller_connections,
            self._budget,
        )

    def readiness_listener(
        self, settings: NodeSettings, gateway: Gateway, clock: Clock
    ) -> ReadinessListener:
        """Create the HTTP listener for the load balancer's readiness checks."""
        return ReadinessListener(settings.readiness_address, gateway, clock)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()
        await self._endpoints.close()
        if self._duties is not None:
            await self._duties.close()


def _max_descriptors(settings: NodeSettings) -> int:
    """Return how many descriptors the process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [settings.max_descriptors] if settings.max_descriptors else []
    if limit != resource.RLIM_INFINITY:
        limits.append(limit)
    return min(limits, default=ASSUMED_DESCRIPTORS)


def main() -> None:
    """Run a daemon on the platform."""
    run_daemon(PlatformAdapter.from_config, complete_settings)

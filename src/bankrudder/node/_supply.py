"""Components that order endpoints from the platform, a duty of one host at a time."""

import asyncio
from collections.abc import Awaitable, Callable

from bankrudder.batches import OwnerRegistry
from bankrudder.duties import Duty, DutyApi
from bankrudder.fleet import EndpointDirectory
from bankrudder.leases import Lease, repeat_on_duty
from bankrudder.node._settings import DutySettings, NodeSettings
from bankrudder.routing import RoutingTable
from bankrudder.supply import SUPPLY_PAUSE_S, EngineScaler
from bankrudder.world import Clock

SUPPLY_LEASE = "supply"
"""Lease of the host that orders endpoints."""


class SupplyComponents:
    """The lease on the duty to order endpoints, and the scaler that carries it out."""

    def __init__(
        self,
        settings: NodeSettings,
        duties: DutySettings,
        api: DutyApi,
        lease: Lease,
        routes: Callable[[], RoutingTable | None],
        directory: EndpointDirectory,
        owners: OwnerRegistry,
        clock: Clock,
    ):
        self.lease = lease
        self._routes = routes
        duty = Duty(SUPPLY_LEASE, api, lease, settings.host, duties.calls_per_s, clock)
        self._scaler = EngineScaler(
            duty, routes, directory, owners, lambda: lease.fence, clock
        )

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks, by name."""
        return {
            "supply lease": self._run_lease_when_configured,
            "supply": self._order_engines,
        }

    async def _run_lease_when_configured(self) -> None:
        """Run the lease once the configuration lets a service scale."""
        while True:
            if self._is_scaling_configured():
                await self.lease.run()
            await asyncio.sleep(SUPPLY_PAUSE_S)

    def _is_scaling_configured(self) -> bool:
        table = self._routes()
        if table is None:
            return False
        return any(each.scaling is not None for each in table.configuration.services)

    async def _order_engines(self) -> None:
        await repeat_on_duty(
            "orders of endpoints",
            lambda: self.lease.is_valid,
            SUPPLY_PAUSE_S,
            self._scaler.order_engines,
        )

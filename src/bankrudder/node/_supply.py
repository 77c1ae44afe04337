"""The parts that order endpoints, and the duty of one host to do so."""

from collections.abc import Awaitable, Callable

from bankrudder.batches import OwnerBook
from bankrudder.duties import Duty, DutyApi
from bankrudder.fleet import EndpointDirectory
from bankrudder.leases import Lease, repeat_on_duty
from bankrudder.node._settings import DutySettings, NodeSettings
from bankrudder.routing import RoutingTable
from bankrudder.supply import SUPPLY_PAUSE_S, SupplyKeeper
from bankrudder.world import Clock

SUPPLY_LEASE = "supply"


class SupplyParts:
    """The duty to order endpoints."""

    def __init__(
        self,
        settings: NodeSettings,
        duties: DutySettings,
        api: DutyApi,
        lease: Lease,
        routes: Callable[[], RoutingTable | None],
        directory: EndpointDirectory,
        owners: OwnerBook,
        clock: Clock,
    ):
        self.lease = lease
        duty = Duty(SUPPLY_LEASE, api, lease, settings.host, duties.calls_per_s, clock)
        self._keeper = SupplyKeeper(
            duty, routes, directory, owners, lambda: lease.fence, clock
        )

    def works(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what runs all the time, by its name."""
        return {"supply lease": self.lease.run, "supply": self._supply}

    async def _supply(self) -> None:
        await repeat_on_duty(
            "orders of endpoints",
            lambda: self.lease.is_valid,
            SUPPLY_PAUSE_S,
            self._keeper.look,
        )

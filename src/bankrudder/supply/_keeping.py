"""Keeps the number of engines of each service at what its work needs.

Each order names the whole number of engines of a service in a data centre. So an order
whose answer was lost, and one that the next holder of the duty makes again, grow
nothing twice.
"""

from collections.abc import Callable

import msgspec
import structlog

from bankrudder.batches import OwnerRegistry
from bankrudder.duties import Duty, DutyOutcome, EndpointOrder
from bankrudder.fleet import EndpointDirectory
from bankrudder.routing import RoutingTable, Scaling, Service, ServiceName
from bankrudder.scheduling import (
    HeldNeed,
    PlacePrice,
    engines_needed,
    spread_engines,
)
from bankrudder.store import RowVersion
from bankrudder.world import Clock, DataCentreName

SUPPLY_PAUSE_S = 0.5
"""Pause between two looks: an eighth of an engine's start, for no call."""

UNAVAILABLE_S = 5.0
"""Time after which a data centre that had no engines to give is asked again."""

_log = structlog.get_logger("supply")


class _Subject(msgspec.Struct, frozen=True):
    """What one order is about."""

    service: ServiceName
    data_centre: DataCentreName


class SupplyKeeper:
    """Orders engines while this host holds the duty.

    Parameters
    ----------
    owners : OwnerBook
        Tells how many samples the steps of each model have.
    fence : callable
        Fencing token of the duty; another one makes all orders again.
    """

    def __init__(
        self,
        duty: Duty,
        routes: Callable[[], RoutingTable | None],
        directory: EndpointDirectory,
        owners: OwnerRegistry,
        fence: Callable[[], RowVersion],
        clock: Clock,
    ):
        self._duty = duty
        self._routes = routes
        self._directory = directory
        self._owners = owners
        self._fence = fence
        self._clock = clock
        self._ordered: dict[_Subject, int] = {}
        self._ordered_under: RowVersion | None = None
        self._held: dict[_Subject, HeldNeed] = {}
        self._unavailable_until: dict[_Subject, float] = {}

    async def look(self) -> None:
        """Order what is needed now and was not ordered yet."""
        table = self._routes()
        if table is None or not self._owners.is_loaded:
            return
        if self._ordered_under != self._fence():
            self._ordered_under = self._fence()
            self._ordered.clear()
            self._held.clear()
        for service in table.configuration.services:
            if service.scaling is not None and service.models:
                await self._supply(service, service.scaling)

    async def _supply(self, service: Service, scaling: Scaling) -> None:
        needed = self._needed(service)
        if not needed:
            return  # nothing is known of the work: what is there stays
        places = {
            name: PlacePrice(scaling.least, scaling.most, price)
            for name, price in scaling.prices.items()
        }
        unavailable = self._unavailable(service.name)
        wanted = spread_engines(needed, places, unavailable)
        for data_centre, wanted_now in wanted.items():
            subject = _Subject(service.name, data_centre)
            count = self._held_count(subject, wanted_now)
            if count > scaling.most:
                continue  # an order within the bounds would take some away
            is_so = count == self._ordered.get(subject, self._listed(subject))
            if not is_so and data_centre not in unavailable:
                await self._order(subject, count, needed)

    def _held_count(self, subject: _Subject, wanted: int) -> int:
        """Return the largest number of late, that which was found here included.

        A new holder has seen the work of no minute yet: what it finds was needed.
        """
        now = self._clock.monotonic()
        if subject not in self._held:
            self._held[subject] = HeldNeed()
            self._held[subject].note(now, self._listed(subject))
        return self._held[subject].note(now, wanted)

    def _needed(self, service: Service) -> int:
        samples = {
            model: count
            for model in service.models
            if (count := self._owners.largest_batch_sample_count(model))
        }
        engines = self._directory.of_service(service.name)
        slots = min((each.endpoint.slots for each in engines), default=1)
        return engines_needed(samples, slots)

    def _listed(self, subject: _Subject) -> int:
        """Return how many engines are there, of those that stay."""
        engines = self._directory.of_service(subject.service)
        return sum(
            each.endpoint.data_centre == subject.data_centre and each.takes_work
            for each in engines
        )

    def _unavailable(self, service: ServiceName) -> set[DataCentreName]:
        now = self._clock.monotonic()
        return {
            subject.data_centre
            for subject, until in self._unavailable_until.items()
            if subject.service == service and now < until
        }

    async def _order(self, subject: _Subject, count: int, needed: int) -> None:
        order = EndpointOrder(subject.service, subject.data_centre, count)
        outcome = await self._duty.call(order)
        _log.info(
            "supply: engines ordered",
            service=subject.service,
            data_centre=subject.data_centre,
            count=count,
            listed=self._listed(subject),
            needed=needed,
            outcome=outcome.value,
        )
        match outcome:
            case DutyOutcome.DONE | DutyOutcome.REJECTED:
                self._ordered[subject] = count
            case DutyOutcome.REFUSED:
                until = self._clock.monotonic() + UNAVAILABLE_S
                self._unavailable_until[subject] = until

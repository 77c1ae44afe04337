"""Scales the engines of each service to the number that its samples need.

Each order gives the total number of engines of a service in a data centre. So repeating
an order, after a lost response or on the next holder of the duty, adds no engines.
"""

from collections.abc import Callable

import msgspec
import structlog

from bankrudder.batches import OwnerRegistry
from bankrudder.duties import Duty, DutyOutcome, EndpointOrder
from bankrudder.fleet import EndpointDirectory
from bankrudder.routing import RoutingTable, Scaling, Service, ServiceName
from bankrudder.scheduling import (
    EngineOffer,
    PeakNeed,
    engines_needed,
    spread_engines,
)
from bankrudder.store import RowVersion
from bankrudder.world import Clock, DataCentreName

SUPPLY_PAUSE_S = 0.5
"""Pause between two checks: an eighth of an engine's start-up time. A check that orders
nothing makes no call."""

UNAVAILABLE_RETRY_S = 5.0
"""Time after which engines are ordered again from a data centre that had none."""

_log = structlog.get_logger("supply")


class _OrderScope(msgspec.Struct, frozen=True):
    """The service and data centre that an order applies to."""

    service: ServiceName
    data_centre: DataCentreName


class EngineScaler:
    """Orders engines while this host holds the duty.

    Parameters
    ----------
    owners : OwnerRegistry
        Gives the number of samples in the steps of each model.
    fence : callable
        Fencing token of the duty. With a new token, the scaler forgets its earlier
        orders and needs, and compares the engines that are listed with the need.
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
        self._ordered: dict[_OrderScope, int] = {}
        self._ordered_fence: RowVersion | None = None
        self._peaks: dict[_OrderScope, PeakNeed] = {}
        self._unavailable_until: dict[_OrderScope, float] = {}

    async def order_engines(self) -> None:
        """Order the engines that are needed now and were not ordered yet."""
        table = self._routes()
        if table is None or not self._owners.is_loaded:
            return
        if self._ordered_fence != self._fence():
            self._ordered_fence = self._fence()
            self._ordered.clear()
            self._peaks.clear()
        for service in table.configuration.services:
            if service.scaling is not None and service.models:
                await self._scale_service(service, service.scaling)

    async def _scale_service(self, service: Service, scaling: Scaling) -> None:
        needed = self._needed_count(service)
        if not needed:
            return  # no samples are known: the present engines stay
        offers = {
            name: EngineOffer(scaling.least, scaling.most, price)
            for name, price in scaling.prices.items()
        }
        unavailable = self._unavailable_data_centres(service.name)
        target_counts = spread_engines(needed, offers, unavailable)
        for data_centre, target_count in target_counts.items():
            scope = _OrderScope(service.name, data_centre)
            count = self._peak_count(scope, target_count)
            if count > scaling.most:
                continue  # an order within the bounds would remove engines
            is_ordered = count == self._ordered.get(scope, self._listed_count(scope))
            if not is_ordered and data_centre not in unavailable:
                await self._order(scope, count, needed)

    def _peak_count(self, scope: _OrderScope, target_count: int) -> int:
        """Return the largest recent count, including the engines listed at the start.

        A new holder of the duty knows no past needs, so it assumes that the engines it
        finds were needed.
        """
        now = self._clock.monotonic()
        if scope not in self._peaks:
            self._peaks[scope] = PeakNeed()
            self._peaks[scope].note(now, self._listed_count(scope))
        return self._peaks[scope].note(now, target_count)

    def _needed_count(self, service: Service) -> int:
        samples = {
            model: count
            for model in service.models
            if (count := self._owners.largest_batch_sample_count(model))
        }
        engines = self._directory.of_service(service.name)
        slots = min((each.endpoint.slots for each in engines), default=1)
        return engines_needed(samples, slots)

    def _listed_count(self, scope: _OrderScope) -> int:
        """Return the number of listed engines that take new requests."""
        engines = self._directory.of_service(scope.service)
        return sum(
            each.endpoint.data_centre == scope.data_centre and each.takes_work
            for each in engines
        )

    def _unavailable_data_centres(self, service: ServiceName) -> set[DataCentreName]:
        now = self._clock.monotonic()
        return {
            scope.data_centre
            for scope, until in self._unavailable_until.items()
            if scope.service == service and now < until
        }

    async def _order(self, scope: _OrderScope, count: int, needed: int) -> None:
        order = EndpointOrder(scope.service, scope.data_centre, count)
        outcome = await self._duty.call(order)
        _log.info(
            "supply: engines ordered",
            service=scope.service,
            data_centre=scope.data_centre,
            count=count,
            listed=self._listed_count(scope),
            needed=needed,
            outcome=outcome.value,
        )
        match outcome:
            case DutyOutcome.DONE | DutyOutcome.REJECTED:
                self._ordered[scope] = count
            case DutyOutcome.REFUSED:
                until = self._clock.monotonic() + UNAVAILABLE_RETRY_S
                self._unavailable_until[scope] = until

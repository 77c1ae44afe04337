"""Sharing of the engines' slots among the samples of all batches on this host."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field
from datetime import timedelta

from bankrudder.batches._values import GroupId
from bankrudder.fleet import EndpointDirectory, EndpointId, TrackedEndpoint
from bankrudder.routing import ModelName, ServiceName
from bankrudder.scheduling import is_worth_moving
from bankrudder.world import Clock, DataCentreName, ModelVersion

RECHECK_S = 0.05
"""While samples wait, the engines are looked at this often, for changes that no
sample brings about."""

REFUSAL_PAUSE_S = 0.1
"""An engine that refused is left alone for this long: it is full, or it takes new
weights, which lasts a second."""

UNTRUSTED_SLOTS = 1
"""Samples that an engine gets which failed and has shown no sign of life since: one
shows whether it is back. It comes last and is never moved to, as a sample on an engine
that is dark waits for a second or more."""

SAME_GROUP_FACTOR = 1.2
"""How much slower an engine may be and still be taken because it has read the
group's prompt."""


@dataclass(order=True)
class SlotRequest:
    """A sample that wants a slot; lower ranks go first."""

    rank: tuple[float, ...]
    sequence: int
    service: ServiceName = field(compare=False)
    model: ModelName = field(compare=False)
    min_version: ModelVersion = field(compare=False)
    group: GroupId = field(compare=False)
    data_centres: tuple[DataCentreName, ...] = field(compare=False)
    granted: "asyncio.Future[TrackedEndpoint]" = field(compare=False)


class Dispatcher:
    """Gives out slots, by rank, on the engine that should be quickest."""

    def __init__(self, directory: EndpointDirectory, clock: Clock):
        self._directory = directory
        self._clock = clock
        self._waiting: list[SlotRequest] = []
        self._sequence = itertools.count()
        self._paused: dict[tuple[EndpointId, ModelName], float] = {}
        self._group_homes: dict[tuple[GroupId, EndpointId], int] = {}

    @property
    def waiting_count(self) -> int:
        """Number of samples that wait for a slot."""
        return len(self._waiting)

    async def acquire(
        self,
        rank: tuple[float, ...],
        service: ServiceName,
        model: ModelName,
        min_version: ModelVersion,
        group: GroupId,
        data_centres: tuple[DataCentreName, ...] = (),
    ) -> TrackedEndpoint:
        """Wait for a slot; give it back with `release`."""
        request = SlotRequest(
            rank,
            next(self._sequence),
            service,
            model,
            min_version,
            group,
            data_centres,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiting, request)
        self._grant()
        try:
            return await request.granted
        except asyncio.CancelledError:
            if request.granted.done() and not request.granted.cancelled():
                self.release(request.granted.result(), group)
            raise

    def release(self, target: TrackedEndpoint, group: GroupId) -> None:
        """Give a slot back."""
        target.in_flight -= 1
        self._count_group(group, target.endpoint.id, -1)
        self._grant()

    def pause(self, target: TrackedEndpoint, model: ModelName) -> None:
        """Leave an engine alone for a moment: it refused a sample."""
        until = self._clock.monotonic() + REFUSAL_PAUSE_S
        self._paused[target.endpoint.id, model] = until

    def quicker_than(
        self,
        target: TrackedEndpoint,
        service: ServiceName,
        model: ModelName,
        min_version: ModelVersion,
        events: int,
        data_centres: tuple[DataCentreName, ...] = (),
    ) -> bool:
        """Whether a sample of so many events should go on at a free engine."""
        gap_s = target.event_gap_s
        if gap_s is None or self._waiting:
            return False
        here = timedelta(seconds=gap_s)
        return any(
            is_worth_moving(events, here, timedelta(seconds=each.event_gap_s))
            for each in self._free(service, model, min_version, data_centres)
            if each is not target and each.is_trusted and each.event_gap_s is not None
        )

    async def run(self) -> None:
        """Look at the engines from time to time until cancelled."""
        while True:
            await asyncio.sleep(RECHECK_S)
            if self._waiting:
                self._grant()

    def _grant(self) -> None:
        left: list[SlotRequest] = []
        full: set[tuple[object, ...]] = set()
        while self._waiting:
            request = heapq.heappop(self._waiting)
            if request.granted.done():
                continue
            kind = (
                request.service,
                request.model,
                request.min_version,
                request.data_centres,
            )
            target = None if kind in full else self._choose(request)
            if target is None:
                full.add(kind)
                left.append(request)
                continue
            target.in_flight += 1
            self._count_group(request.group, target.endpoint.id, 1)
            request.granted.set_result(target)
        for request in left:
            heapq.heappush(self._waiting, request)

    def _choose(self, request: SlotRequest) -> TrackedEndpoint | None:
        free = self._free(
            request.service, request.model, request.min_version, request.data_centres
        )
        if not free:
            return None
        known = sorted(each.event_gap_s for each in free if each.event_gap_s)
        usual_s = known[len(known) // 2] if known else 1.0
        return min(free, key=lambda each: self._rating(each, request.group, usual_s))

    def _rating(
        self, each: TrackedEndpoint, group: GroupId, usual_s: float
    ) -> tuple[bool, float, float]:
        gap_s = each.event_gap_s or usual_s
        if (group, each.endpoint.id) in self._group_homes:
            gap_s /= SAME_GROUP_FACTOR
        occupied = each.in_flight / each.endpoint.slots
        # Within a tenth engines count as equally quick, and the emptier one goes.
        rating = round(10 * gap_s / usual_s) + 3 * occupied
        return (not each.is_trusted, rating, occupied)

    def _free(
        self,
        service: ServiceName,
        model: ModelName,
        min_version: ModelVersion,
        data_centres: tuple[DataCentreName, ...],
    ) -> list[TrackedEndpoint]:
        now = self._clock.monotonic()
        return [
            each
            for each in self._directory.of_service(service, data_centres)
            if each.in_flight < self._slots(each)
            and not each.is_suspended(now)
            and self._paused.get((each.endpoint.id, model), 0.0) <= now
            and not each.is_loading(model, now)
            and (each.version_of(model) or 0) >= min_version
        ]

    @staticmethod
    def _slots(each: TrackedEndpoint) -> int:
        return each.endpoint.slots if each.is_trusted else UNTRUSTED_SLOTS

    def _count_group(self, group: GroupId, endpoint: EndpointId, change: int) -> None:
        key = (group, endpoint)
        count = self._group_homes.get(key, 0) + change
        if count > 0:
            self._group_homes[key] = count
        else:
            self._group_homes.pop(key, None)

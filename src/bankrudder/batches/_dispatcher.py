"""Sharing of the engines' slots among the samples of all batches on this host."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field
from datetime import timedelta

from bankrudder.fleet import EndpointDirectory, EndpointRun, TrackedEndpoint
from bankrudder.routing import ModelName, ServiceName
from bankrudder.scheduling import EngineView, is_worth_moving, placement_order
from bankrudder.world import Clock, DataCentreName, GroupId, ModelVersion, SampleId

RECHECK_S = 0.05
"""While samples wait, the engines are looked at this often, for changes that no
sample brings about. As often, all engines are searched for those with fresh enough
weights: a search for each sample took 0.9 s for a step of 96 before 3,000 engines."""

REFUSAL_PAUSE_S = 0.1
"""An engine that refused is left alone for this long: it is full, or it takes new
weights, which lasts a second."""

UNTRUSTED_SLOTS = 1
"""Samples that an engine gets which failed and has shown no sign of life since: one
shows whether it is back. It comes last and is never moved to, as a sample on an engine
that is dark waits for a second or more."""

RESERVED_EVENTS = 8
"""Events of its engine for which a slot is kept for a running sample that would gain by
moving: two of its looks, so that it finds the slot also where events are slow."""

MOST_RESERVED = 0.5
"""Share of an engine's slots that may be kept so; the rest is for samples that wait."""


@dataclass(frozen=True)
class SlotDemand:
    """What a sample asks of an engine; lower ranks go first.

    A suspect, under which engines ended, goes to none with another suspect, as nobody
    could tell then which of them ended it.
    """

    sample: SampleId
    rank: tuple[float, ...]
    service: ServiceName
    model: ModelName
    min_version: ModelVersion
    group: GroupId
    data_centres: tuple[DataCentreName, ...] = ()
    is_suspect: bool = False


@dataclass(frozen=True)
class _AbleEngines:
    """Engines with fresh enough weights for some samples, as found at one time."""

    engines: list[TrackedEndpoint]
    until: float


@dataclass(order=True)
class _Request:
    """A sample that waits for a slot."""

    rank: tuple[float, ...]
    sequence: int
    demand: SlotDemand = field(compare=False)
    granted: "asyncio.Future[TrackedEndpoint]" = field(compare=False)


class Dispatcher:
    """Gives out slots, by rank, on the engine that should be quickest."""

    def __init__(self, directory: EndpointDirectory, clock: Clock):
        self._directory = directory
        self._clock = clock
        self._waiting: list[_Request] = []
        self._has_waiting = asyncio.Event()
        self._sequence = itertools.count()
        self._paused: dict[tuple[EndpointRun, ModelName], float] = {}
        self._group_homes: dict[tuple[GroupId, EndpointRun], int] = {}
        self._reserved: dict[SampleId, tuple[EndpointRun, float]] = {}
        self._able: dict[tuple[object, ...], _AbleEngines] = {}

    @property
    def waiting_count(self) -> int:
        """Number of samples that wait for a slot."""
        return len(self._waiting)

    async def acquire(self, demand: SlotDemand) -> TrackedEndpoint:
        """Wait for a slot; give it back with `release`."""
        granted = asyncio.get_running_loop().create_future()
        request = _Request(demand.rank, next(self._sequence), demand, granted)
        heapq.heappush(self._waiting, request)
        self._grant()
        if self._waiting:
            self._has_waiting.set()
        try:
            return await request.granted
        except asyncio.CancelledError:
            if request.granted.done() and not request.granted.cancelled():
                self.release(request.granted.result(), demand.group, demand.is_suspect)
            raise

    def release(
        self, target: TrackedEndpoint, group: GroupId, is_suspect: bool = False
    ) -> None:
        """Give a slot back."""
        target.in_flight -= 1
        target.suspects -= is_suspect
        self._count_group(group, target.run, -1)
        self._grant()

    def pause(self, target: TrackedEndpoint, model: ModelName) -> None:
        """Leave an engine alone for a moment: it refused a sample."""
        until = self._clock.monotonic() + REFUSAL_PAUSE_S
        self._paused[target.run, model] = until

    def should_move(
        self, demand: SlotDemand, target: TrackedEndpoint, events: int
    ) -> bool:
        """Whether a running sample of so many events should go on elsewhere.

        If the engines on which it would gain are full, the next slot of the quickest is
        kept for it for a moment: samples that wait would take each one that is given
        back, and those that are likely to go on for long would stay where it is slow.
        """
        if target.event_gap_s is None:
            return False
        here = timedelta(seconds=target.event_gap_s)
        now = self._clock.monotonic()
        better = [
            each
            for each in self._able_engines(demand, now)
            if each is not target
            and each.event_gap_s is not None
            and each.is_trusted
            and is_worth_moving(events, here, timedelta(seconds=each.event_gap_s))
            and self._is_usable(each, demand, now)
        ]
        if any(self._has_room(each, demand.sample) for each in better):
            return True
        if better:
            seconds = RESERVED_EVENTS * target.event_gap_s
            self._reserve(min(better, key=_gap_s), demand.sample, seconds)
        return False

    async def run(self) -> None:
        """Look at the engines while samples wait, until cancelled."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(RECHECK_S)
            self._grant()
            if not self._waiting:
                self._has_waiting.clear()

    def _grant(self) -> None:
        left: list[_Request] = []
        full: set[tuple[object, ...]] = set()
        while self._waiting:
            request = heapq.heappop(self._waiting)
            if request.granted.done():
                continue
            demand = request.demand
            kind = (
                demand.service,
                demand.model,
                demand.min_version,
                demand.data_centres,
                demand.sample in self._reserved,
                demand.is_suspect,
            )
            target = None if kind in full else self._choose(demand)
            if target is None:
                full.add(kind)
                left.append(request)
                continue
            target.in_flight += 1
            target.suspects += demand.is_suspect
            target.take_connection()
            self._reserved.pop(demand.sample, None)
            self._count_group(demand.group, target.run, 1)
            request.granted.set_result(target)
        for request in left:
            heapq.heappush(self._waiting, request)

    def _choose(self, demand: SlotDemand) -> TrackedEndpoint | None:
        free = [
            each for each in self._usable(demand) if self._has_room(each, demand.sample)
        ]
        if not free:
            return None
        known = sorted(each.event_gap_s for each in free if each.event_gap_s)
        usual_s = known[len(known) // 2] if known else 1.0
        return min(
            free,
            key=lambda each: placement_order(self._view(each, demand.group, usual_s)),
        )

    def _view(
        self, each: TrackedEndpoint, group: GroupId, usual_s: float
    ) -> EngineView:
        return EngineView(
            pace=(each.event_gap_s or usual_s) / usual_s,
            occupied_share=each.in_flight / each.endpoint.slots,
            has_cached_prompt=(group, each.run) in self._group_homes,
            is_connected=each.is_connected(self._clock.monotonic()),
            is_trusted=each.is_trusted,
            runs_suspect_sample=each.suspects > 0,
        )

    def _usable(self, demand: SlotDemand) -> list[TrackedEndpoint]:
        """Return the engines that take samples of a demand, full or not."""
        now = self._clock.monotonic()
        return [
            each
            for each in self._able_engines(demand, now)
            if self._is_usable(each, demand, now)
        ]

    def _is_usable(self, each: TrackedEndpoint, demand: SlotDemand, now: float) -> bool:
        """Whether an engine with fresh enough weights takes samples at the moment."""
        endpoint = each.endpoint
        return (
            each.takes_work
            # Its entry may have moved it since it was found.
            and endpoint.service == demand.service
            and (not demand.data_centres or endpoint.data_centre in demand.data_centres)
            and not each.is_suspended(now)
            and not (demand.is_suspect and each.suspects)
            and self._paused.get((each.run, demand.model), 0.0) <= now
            and not each.is_loading(demand.model, now)
        )

    def _able_engines(self, demand: SlotDemand, now: float) -> list[TrackedEndpoint]:
        """Return the engines with fresh enough weights, searched for now and then."""
        key = (demand.service, demand.model, demand.min_version, demand.data_centres)
        known = self._able.get(key)
        if known is not None and now < known.until:
            return known.engines
        engines = [
            each
            for each in self._directory.of_service(demand.service, demand.data_centres)
            if (each.version_of(demand.model) or 0) >= demand.min_version
        ]
        self._able = {
            other: able for other, able in self._able.items() if now < able.until
        }
        self._able[key] = _AbleEngines(engines, now + RECHECK_S)
        return engines

    def _has_room(self, each: TrackedEndpoint, sample: SampleId) -> bool:
        """Whether an engine has a slot that is not kept for another sample."""
        now = self._clock.monotonic()
        kept = sum(
            run == each.run and now < until and other != sample
            for other, (run, until) in self._reserved.items()
        )
        return each.in_flight + kept < self._slots(each)

    def _reserve(
        self, engine: TrackedEndpoint, sample: SampleId, seconds: float
    ) -> None:
        now = self._clock.monotonic()
        self._reserved = {
            other: (kept_at, until)
            for other, (kept_at, until) in self._reserved.items()
            if now < until
        }
        kept = sum(run == engine.run for run, _ in self._reserved.values())
        if kept < MOST_RESERVED * engine.endpoint.slots:
            self._reserved[sample] = (engine.run, now + seconds)

    @staticmethod
    def _slots(each: TrackedEndpoint) -> int:
        return each.endpoint.slots if each.is_trusted else UNTRUSTED_SLOTS

    def _count_group(self, group: GroupId, run: EndpointRun, change: int) -> None:
        key = (group, run)
        count = self._group_homes.get(key, 0) + change
        if count > 0:
            self._group_homes[key] = count
        else:
            self._group_homes.pop(key, None)


def _gap_s(engine: TrackedEndpoint) -> float:
    return engine.event_gap_s or 0.0

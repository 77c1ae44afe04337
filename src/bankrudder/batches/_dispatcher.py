"""Assignment of engine slots to the samples of all batches on this host.

Waiting samples are served by rank. Each gets a slot on the engine that
`placement_order` prefers among those that are free and have recent enough weights.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from bankrudder.batches._slot_queue import SlotDemand, SlotQueue, SlotRequest
from bankrudder.fleet import EndpointDirectory, EndpointRun, TrackedEndpoint
from bankrudder.routing import ModelName
from bankrudder.scheduling import EngineView, Rank, is_worth_moving, placement_order
from bankrudder.world import Clock, GroupId, SampleId

RECHECK_INTERVAL_S = 0.05
"""Interval at which waiting samples are matched with the engines again, for changes
that do not come from a sample. A list of the engines with recent enough weights is
reused for as long: with one search for each sample, granting the slots of a step takes
0.9 s for 96 samples and 3,000 engines."""

REFUSAL_PAUSE_S = 0.1
"""Time for which an engine gets no samples of a model after it refused one: it is full,
or it loads new weights, which takes a second."""

UNTRUSTED_SLOT_COUNT = 1
"""Slots that are used of an engine that failed and has sent nothing since: one sample
shows whether it is back. Such an engine is chosen last, and no running sample moves to
it, as a sample on an engine that does not answer waits for a second or more."""

RESERVATION_EVENT_COUNT = 8
"""Duration of a reservation for a running sample that would gain by moving, in events
of its present engine. However slow that engine is, two move checks of the sample fall
into this time, so that it finds the reserved slot."""

MAX_RESERVED_SHARE = 0.5
"""Largest share of an engine's slots that may be reserved; waiting samples get the
others."""


@dataclass(frozen=True)
class _EligibleEngines:
    """Result of a search for engines with recent enough weights, valid ``until``."""

    engines: list[TrackedEndpoint]
    until: float


class Dispatcher:
    """Grants slots to samples by rank, on the engine expected to be fastest.

    Parameters
    ----------
    plan_ranks : callable
        Returns ranks that differ from those of the demands, by sample, or None if they
        have not changed. It is called periodically while samples wait.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        clock: Clock,
        plan_ranks: Callable[[], Mapping[SampleId, Rank] | None] = lambda: None,
    ):
        self._directory = directory
        self._clock = clock
        self._plan_ranks = plan_ranks
        self._waiting = SlotQueue()
        self._has_waiting = asyncio.Event()
        self._paused: dict[tuple[EndpointRun, ModelName], float] = {}
        self._group_slot_counts: dict[tuple[GroupId, EndpointRun], int] = {}
        self._reserved: dict[SampleId, tuple[EndpointRun, float]] = {}
        self._eligible: dict[tuple[object, ...], _EligibleEngines] = {}

    @property
    def waiting_sample_count(self) -> int:
        """Number of samples that wait for a slot."""
        return len(self._waiting)

    async def acquire(self, demand: SlotDemand) -> TrackedEndpoint:
        """Wait for a slot; the caller returns it with `release`."""
        granted = asyncio.get_running_loop().create_future()
        request = self._waiting.add(demand, granted)
        self._grant_slots()
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
        """Return a slot."""
        target.in_flight -= 1
        target.suspects -= is_suspect
        self._change_group_slot_count(group, target.run, -1)
        self._grant_slots()

    def pause(self, target: TrackedEndpoint, model: ModelName) -> None:
        """Send no samples of a model to an engine for `REFUSAL_PAUSE_S`."""
        until = self._clock.monotonic() + REFUSAL_PAUSE_S
        self._paused[target.run, model] = until

    def should_move(
        self, demand: SlotDemand, target: TrackedEndpoint, event_count: int
    ) -> bool:
        """Whether a running sample should continue on another engine.

        If all engines on which it would gain are full, the next slot of the fastest is
        reserved for it. Without reservations, waiting samples would take each released
        slot, and samples that are likely to run for long would stay on slow engines.

        Parameters
        ----------
        event_count : int
            Number of events that the sample has so far.
        """
        if target.event_gap_s is None:
            return False
        present_gap = timedelta(seconds=target.event_gap_s)
        now = self._clock.monotonic()
        faster = [
            candidate
            for candidate in self._eligible_engines(demand, now)
            if candidate is not target
            and candidate.event_gap_s is not None
            and candidate.is_trusted
            and is_worth_moving(
                event_count, present_gap, timedelta(seconds=candidate.event_gap_s)
            )
            and self._is_usable(candidate, demand, now)
        ]
        if any(self._has_free_slot(candidate, demand.sample) for candidate in faster):
            return True
        if faster:
            seconds = RESERVATION_EVENT_COUNT * target.event_gap_s
            self._reserve(min(faster, key=_gap_s), demand.sample, seconds)
        return False

    async def run(self) -> None:
        """Match waiting samples with the engines periodically, until cancelled."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(RECHECK_INTERVAL_S)
            self.update_ranks()
            self._grant_slots()
            if not self._waiting:
                self._has_waiting.clear()

    def update_ranks(self) -> None:
        """Order the waiting samples by newly planned ranks, if there are any."""
        if (ranks := self._plan_ranks()) is not None:
            self._waiting.set_ranks(ranks)

    def rank_of(self, sample: SampleId, usual_rank: Rank) -> Rank:
        """Return the present rank of a sample."""
        return self._waiting.rank_of(sample, usual_rank)

    def _grant_slots(self) -> None:
        ungranted: list[SlotRequest] = []
        full_kinds: set[tuple[object, ...]] = set()
        while self._waiting:
            request = self._waiting.pop()
            if request.granted.done():
                continue
            demand = request.demand
            demand_kind = (
                demand.service,
                demand.model,
                demand.min_version,
                demand.data_centres,
                demand.sample in self._reserved,
                demand.is_suspect,
            )
            target = None if demand_kind in full_kinds else self._choose_engine(demand)
            if target is None:
                full_kinds.add(demand_kind)
                ungranted.append(request)
                continue
            target.in_flight += 1
            target.suspects += demand.is_suspect
            target.take_connection()
            self._reserved.pop(demand.sample, None)
            self._change_group_slot_count(demand.group, target.run, 1)
            request.granted.set_result(target)
        self._waiting.put_back(ungranted)

    def _choose_engine(self, demand: SlotDemand) -> TrackedEndpoint | None:
        free = [
            candidate
            for candidate in self._usable_engines(demand)
            if self._has_free_slot(candidate, demand.sample)
        ]
        if not free:
            return None
        known = sorted(
            candidate.event_gap_s for candidate in free if candidate.event_gap_s
        )
        median_gap_s = known[len(known) // 2] if known else 1.0
        return min(
            free,
            key=lambda candidate: placement_order(
                self._engine_view(candidate, demand.group, median_gap_s)
            ),
        )

    def _engine_view(
        self, candidate: TrackedEndpoint, group: GroupId, median_gap_s: float
    ) -> EngineView:
        return EngineView(
            pace=(candidate.event_gap_s or median_gap_s) / median_gap_s,
            occupied_share=candidate.in_flight / candidate.endpoint.slots,
            has_cached_prompt=(group, candidate.run) in self._group_slot_counts,
            is_connected=candidate.is_connected(self._clock.monotonic()),
            is_trusted=candidate.is_trusted,
            runs_suspect_sample=candidate.suspects > 0,
        )

    def _usable_engines(self, demand: SlotDemand) -> list[TrackedEndpoint]:
        """Return the engines that accept samples of a demand, including full ones."""
        now = self._clock.monotonic()
        return [
            candidate
            for candidate in self._eligible_engines(demand, now)
            if self._is_usable(candidate, demand, now)
        ]

    def _is_usable(
        self, candidate: TrackedEndpoint, demand: SlotDemand, now: float
    ) -> bool:
        """Whether an engine with recent enough weights accepts samples now."""
        endpoint = candidate.endpoint
        return (
            candidate.takes_work
            # Its entry may have changed since the search.
            and endpoint.service == demand.service
            and (not demand.data_centres or endpoint.data_centre in demand.data_centres)
            and not candidate.is_suspended(now)
            and not (demand.is_suspect and candidate.suspects)
            and self._paused.get((candidate.run, demand.model), 0.0) <= now
            and not candidate.is_loading(demand.model, now)
        )

    def _eligible_engines(
        self, demand: SlotDemand, now: float
    ) -> list[TrackedEndpoint]:
        """Return the engines with recent enough weights, from a cached search."""
        key = (demand.service, demand.model, demand.min_version, demand.data_centres)
        known = self._eligible.get(key)
        if known is not None and now < known.until:
            return known.engines
        engines = [
            candidate
            for candidate in self._directory.of_service(
                demand.service, demand.data_centres
            )
            if (candidate.version_of(demand.model) or 0) >= demand.min_version
        ]
        self._eligible = {
            other: cached
            for other, cached in self._eligible.items()
            if now < cached.until
        }
        self._eligible[key] = _EligibleEngines(engines, now + RECHECK_INTERVAL_S)
        return engines

    def _has_free_slot(self, candidate: TrackedEndpoint, sample: SampleId) -> bool:
        """Whether an engine has a slot that is not reserved for another sample."""
        now = self._clock.monotonic()
        reserved_count = sum(
            run == candidate.run and now < until and other != sample
            for other, (run, until) in self._reserved.items()
        )
        return candidate.in_flight + reserved_count < self._slot_limit(candidate)

    def _reserve(
        self, engine: TrackedEndpoint, sample: SampleId, seconds: float
    ) -> None:
        now = self._clock.monotonic()
        self._reserved = {
            other: (engine_run, until)
            for other, (engine_run, until) in self._reserved.items()
            if now < until
        }
        reserved_count = sum(run == engine.run for run, _ in self._reserved.values())
        if reserved_count < MAX_RESERVED_SHARE * engine.endpoint.slots:
            self._reserved[sample] = (engine.run, now + seconds)

    @staticmethod
    def _slot_limit(candidate: TrackedEndpoint) -> int:
        return (
            candidate.endpoint.slots if candidate.is_trusted else UNTRUSTED_SLOT_COUNT
        )

    def _change_group_slot_count(
        self, group: GroupId, run: EndpointRun, change: int
    ) -> None:
        key = (group, run)
        count = self._group_slot_counts.get(key, 0) + change
        if count > 0:
            self._group_slot_counts[key] = count
        else:
            self._group_slot_counts.pop(key, None)


def _gap_s(engine: TrackedEndpoint) -> float:
    return engine.event_gap_s or 0.0

"""Assignment of engine slots to the samples of all batches on this host.

Waiting samples are served by rank. Each gets a slot on the engine that
`placement_order` prefers among those that are free and have recent enough weights.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from bankrudder.batches._moving import MovePlanner, RunView
from bankrudder.batches._reservations import Reservations
from bankrudder.batches._slot_queue import (
    EngineDemand,
    SlotDemand,
    SlotQueue,
    SlotRequest,
)
from bankrudder.fleet import EndpointDirectory, EndpointRun, TrackedEndpoint
from bankrudder.routing import ModelName
from bankrudder.scheduling import (
    EngineView,
    Move,
    MoveReason,
    Rank,
    RunningSample,
    is_worth_moving,
    may_move,
    placement_order,
)
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
        self._reserved = Reservations(clock)
        self._eligible: dict[tuple[object, ...], _EligibleEngines] = {}
        self._moves = MovePlanner(
            clock, self._accepts, self._free_slot_count, self._has_cached_prompt
        )

    @property
    def moves(self) -> MovePlanner:
        """The moves of running samples."""
        return self._moves

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
            if request.granted.cancelled():
                self._waiting.note_done()
            elif request.granted.done():
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

    def find_move(
        self, demand: SlotDemand, target: TrackedEndpoint, sample: RunningSample
    ) -> Move | None:
        """Return the move with which a running sample should begin now, if any.

        A slot is reserved for it: on the chosen engine if there is a free one, or else
        the next one of the best engine. `should_move` decides for engines that do not
        report the slowdown of their machine.
        """
        if not target.reports_slowdown:
            if not self.should_move(demand, target, sample.event_count):
                return None
            self._moves.count(MoveReason.FASTER_ENGINE)
            return Move(MoveReason.FASTER_ENGINE)
        if not may_move(sample):
            return None
        now = self._clock.monotonic()
        view = RunView(demand, target, sample)
        planned = self._moves.find(view, self._eligible_engines(demand, now))
        if planned is None:
            return None
        run, move = planned.engine.run, planned.move
        if not planned.has_slot:
            self._reserved.reserve_next(
                planned.engine, demand.sample, sample.present_gap_s, move.saving_s or 0
            )
            return None
        self._reserved.reserve_destination(run, demand.sample)
        self._moves.begin(view, move, run)
        return move

    def should_move(
        self, demand: SlotDemand, target: TrackedEndpoint, event_count: int
    ) -> bool:
        """Whether a running sample should continue on another engine.

        If all engines on which it would gain are full, the next slot of the fastest is
        reserved for it.

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
            fastest = min(faster, key=_gap_s)
            self._reserved.reserve_next(fastest, demand.sample, target.event_gap_s)
        return False

    def forget(self, sample: SampleId) -> None:
        """Remove the moves of a sample that ended or was given up."""
        self._moves.forget(sample)
        self._reserved.release_planned(sample)

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
        full: set[EngineDemand] = set()
        # Whether there is room beside suspects, by demands of suspects without a slot.
        blocked: dict[tuple[EngineDemand, bool], bool] = {}
        now = self._clock.monotonic()
        while (request := self._waiting.pop(full)) is not None:
            if request.granted.done():
                continue
            demand = request.demand
            if demand.is_suspect:
                if not self._grant_to_suspect(request, blocked, now):
                    ungranted.append(request)
            elif not self._grant(request):
                ungranted.append(request)
                if demand.sample not in self._reserved:
                    full.add(demand.engine_demand)
        for sample in self._reserved.samples():
            # The slots reserved for it are full only for the others.
            reserved_request = self._waiting.waiting_request(sample)
            if reserved_request is None or reserved_request.granted.done():
                continue
            if self._grant(reserved_request):
                self._waiting.note_done()
        self._waiting.put_back(ungranted)

    def _grant_to_suspect(
        self,
        request: SlotRequest,
        blocked: dict[tuple[EngineDemand, bool], bool],
        now: float,
    ) -> bool:
        """Grant a slot to a suspect if there is one, and note why there is none."""
        demand = request.demand
        may_share = request.may_share(now)
        key = (demand.engine_demand, may_share)
        is_reserved = demand.sample in self._reserved
        if (key not in blocked or is_reserved) and self._grant(request, may_share):
            return True
        if key not in blocked:
            blocked[key] = self._has_room_beside_suspects(demand)
        if blocked[key]:
            request.note_blocked(now)
        return False

    def _grant(self, request: SlotRequest, may_share: bool = False) -> bool:
        """Grant a slot to a request if there is one for it."""
        demand = request.demand
        target = self._choose_engine(demand, may_share)
        if target is None:
            return False
        target.in_flight += 1
        target.suspects += demand.is_suspect
        target.take_connection()
        self._reserved.release(demand.sample)
        self._change_group_slot_count(demand.group, target.run, 1)
        request.granted.set_result(target)
        return True

    def _has_room_beside_suspects(self, demand: SlotDemand) -> bool:
        return demand.is_suspect and bool(self._free_engines(demand, may_share=True))

    def _free_engines(
        self, demand: SlotDemand, may_share: bool
    ) -> list[TrackedEndpoint]:
        return [
            candidate
            for candidate in self._usable_engines(demand, may_share)
            if self._has_free_slot(candidate, demand.sample)
        ]

    def _choose_engine(
        self, demand: SlotDemand, may_share: bool
    ) -> TrackedEndpoint | None:
        free = self._free_engines(demand, may_share)
        if not free:
            return None
        if demand.is_suspect:
            least = min(candidate.suspects for candidate in free)
            free = [candidate for candidate in free if candidate.suspects == least]
        destination = self._move_destination(demand.sample, free)
        if destination is not None:
            return destination
        known = sorted(gap for each in free if (gap := self._placement_gap_s(each)))
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
            pace=(self._placement_gap_s(candidate) or median_gap_s) / median_gap_s,
            occupied_share=candidate.in_flight / candidate.endpoint.slots,
            has_cached_prompt=self._has_cached_prompt(group, candidate.run),
            is_connected=candidate.is_connected(self._clock.monotonic()),
            is_trusted=candidate.is_trusted,
            runs_suspect_sample=candidate.suspects > 0,
        )

    def _move_destination(
        self, sample: SampleId, free: list[TrackedEndpoint]
    ) -> TrackedEndpoint | None:
        """Return the engine to which a sample has begun to move, if it is free."""
        run = self._reserved.destination(sample)
        return next((each for each in free if each.run == run), None)

    def _placement_gap_s(self, candidate: TrackedEndpoint) -> float | None:
        """Return the time between events by which engines are compared for placement.

        It is the lasting time where the engine's report tells the momentary slowness of
        its machine, which is over before a sample ends.
        """
        if candidate.reports_slowdown and not self._moves.is_avoided(candidate.run):
            return candidate.lasting_gap_s
        return candidate.event_gap_s

    def _has_cached_prompt(self, group: GroupId, run: EndpointRun) -> bool:
        return (group, run) in self._group_slot_counts

    def _accepts(self, candidate: TrackedEndpoint, demand: SlotDemand) -> bool:
        """Whether an engine may run samples of a demand now, if it has a slot."""
        version = candidate.version_of(demand.model) or 0
        return version >= demand.min_version and self._is_usable(
            candidate, demand, self._clock.monotonic()
        )

    def _usable_engines(
        self, demand: SlotDemand, may_share: bool
    ) -> list[TrackedEndpoint]:
        """Return the engines that accept samples of a demand, including full ones."""
        now = self._clock.monotonic()
        return [
            candidate
            for candidate in self._eligible_engines(demand, now)
            if self._is_usable(candidate, demand, now, may_share)
        ]

    def _is_usable(
        self,
        candidate: TrackedEndpoint,
        demand: SlotDemand,
        now: float,
        may_share: bool = False,
    ) -> bool:
        """Whether an engine with recent enough weights accepts samples now.

        With ``may_share``, a suspect may run beside another one.
        """
        endpoint = candidate.endpoint
        return (
            candidate.takes_work
            # Its entry may have changed since the search.
            and endpoint.service == demand.service
            and (not demand.data_centres or endpoint.data_centre in demand.data_centres)
            and not candidate.is_suspended(now)
            and not (demand.is_suspect and candidate.suspects and not may_share)
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
        return self._free_slot_count(candidate, sample) > 0

    def _free_slot_count(self, candidate: TrackedEndpoint, sample: SampleId) -> int:
        """Return the slots of an engine that are not reserved for another sample.

        Samples of other hosts are not counted: a reported load is of the time at which
        the last answer began, and mostly consists of this host's own samples.
        """
        reserved_count = self._reserved.count_for_others(candidate, sample)
        return self._slot_limit(candidate) - candidate.in_flight - reserved_count

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

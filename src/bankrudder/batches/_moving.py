"""Moves of this host's running samples between engines that report their slowdown.

`lasting_move` decides whether the move of one sample to one engine pays. The planner
chooses among the samples and engines of this host: a free slot goes to the sample that
saves most, two samples never swap places, and no sample moves to an engine that another
one left because it had become slow.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from bankrudder.fleet import EndpointRun, TrackedEndpoint
from bankrudder.scheduling import (
    Move,
    MoveDestination,
    MoveReason,
    RunningSample,
    lasting_move,
)
from bankrudder.world import Clock, GroupId, SampleId

if TYPE_CHECKING:
    from bankrudder.batches._slot_queue import SlotDemand

WISH_EVENT_COUNT = 8
"""Time for which a sample that would gain by moving goes before others after its last
move check, in events of its engine. Two move checks fall into this time; a run that
misses both has stalled, and must not keep others from a free slot."""

AVOIDANCE_S = 5.0
"""Time for which no sample moves to an engine that another one left because it was slow
for longer than a spell. Its lasting speed may not show it, if it is slow because of
other programs."""


@dataclass(frozen=True)
class RunView:
    """What was known of a running sample at its last move check."""

    demand: "SlotDemand"
    engine: TrackedEndpoint
    sample: RunningSample


@dataclass(frozen=True)
class _Wish:
    """A running sample that would gain by moving, and by how much at best."""

    view: RunView
    saving_s: float
    until: float

    def is_rival_of(self, demand: "SlotDemand") -> bool:
        """Whether the sample needs the same engines as one with a demand."""
        own = self.view.demand
        return (
            own.sample != demand.sample
            and (own.service, own.model) == (demand.service, demand.model)
            and own.min_version == demand.min_version
            and own.data_centres == demand.data_centres
        )


@dataclass(frozen=True)
class PlannedMove:
    """The best move of a sample; it has to wait if `has_slot` is false."""

    move: Move
    engine: TrackedEndpoint
    has_slot: bool


class MovePlanner:
    """Chooses the moves of running samples.

    Parameters
    ----------
    accepts : callable
        Takes an engine and a demand; whether the engine may run the sample, also if it
        is full.
    free_slot_count : callable
        Takes an engine and a sample; returns the slots that the sample may take there.
    has_cached_prompt : callable
        Takes a group and an engine; whether the engine has processed its prompt.
    """

    def __init__(
        self,
        clock: Clock,
        accepts: Callable[[TrackedEndpoint, "SlotDemand"], bool],
        free_slot_count: Callable[[TrackedEndpoint, SampleId], int],
        has_cached_prompt: Callable[[GroupId, EndpointRun], bool],
    ):
        self._clock = clock
        self._accepts = accepts
        self._free_slot_count = free_slot_count
        self._has_cached_prompt = has_cached_prompt
        self._wishes: dict[SampleId, _Wish] = {}
        self._moved: dict[SampleId, tuple[EndpointRun, EndpointRun]] = {}
        self._avoided: dict[EndpointRun, float] = {}
        self._counts: Counter[MoveReason] = Counter()
        self._expected_saving_s = 0.0
        self._seen_saving_s = 0.0

    @property
    def counts(self) -> Mapping[MoveReason, int]:
        """Number of moves so far, by reason."""
        return self._counts

    @property
    def expected_saving_s(self) -> float:
        """Time that the moves that have ended were expected to save, in seconds."""
        return self._expected_saving_s

    @property
    def seen_saving_s(self) -> float:
        """Time that the moves that have ended did save, negative if they cost more."""
        return self._seen_saving_s

    def is_avoided(self, run: EndpointRun) -> bool:
        """Whether a sample left the engine lately because it had become slow."""
        until = self._avoided.get(run)
        return until is not None and self._clock.monotonic() < until

    def find(
        self, view: RunView, candidates: Iterable[TrackedEndpoint]
    ) -> PlannedMove | None:
        """Return the best move of a running sample now, None if none pays.

        Samples that save more go before it: it takes the best slot that these leave.
        Without any, the move that saves most is returned, for a reservation.
        """
        longest_gap_s = view.sample.longest_destination_gap_s
        options = [
            (move, engine)
            for engine in candidates
            # Most engines of a large service were not measured or are no faster.
            if (gap_s := engine.lasting_gap_s) is not None
            and gap_s <= longest_gap_s
            and (move := self._move_to(view, engine)) is not None
        ]
        if not options:
            self._wishes.pop(view.demand.sample, None)
            return None
        options.sort(key=lambda option: -_saving_s(option[0]))
        self._wish(view, options[0][0])
        sample = view.demand.sample
        free = [
            option
            for option in options
            for _ in range(self._free_slot_count(option[1], sample))
        ]
        position = self._rival_count(view, free) if free else 0
        if position < len(free):
            return PlannedMove(*free[position], has_slot=True)
        return PlannedMove(*options[0], has_slot=False)

    def begin(self, view: RunView, move: Move, destination: EndpointRun) -> None:
        """Record that a sample leaves its engine for another one."""
        self.count(move.reason)
        self._moved[view.demand.sample] = (view.engine.run, destination)
        if move.reason is MoveReason.ENGINE_SLOWED_DOWN:
            now = self._clock.monotonic()
            self._avoided = {
                run: until for run, until in self._avoided.items() if now < until
            }
            self._avoided[view.engine.run] = now + AVOIDANCE_S

    def count(self, reason: MoveReason) -> None:
        """Count a move."""
        self._counts[reason] += 1

    def note_start(self, sample: SampleId, run: EndpointRun) -> None:
        """Record the engine on which a sample runs, maybe another than was planned."""
        if sample in self._moved:
            self._moved[sample] = (self._moved[sample][0], run)

    def note_end(self, sample: SampleId, run: EndpointRun) -> None:
        """Record that a run of a sample ended."""
        self._wishes.pop(sample, None)
        if sample in self._moved and self._moved[sample][1] == run:
            del self._moved[sample]

    def note_saving(self, move: Move, seen_saving_s: float) -> None:
        """Record what a move has saved, once the run after it has ended."""
        self._expected_saving_s += _saving_s(move)
        self._seen_saving_s += seen_saving_s

    def forget(self, sample: SampleId) -> None:
        """Remove a sample that ended or was given up."""
        self._wishes.pop(sample, None)
        self._moved.pop(sample, None)

    def _move_to(self, view: RunView, engine: TrackedEndpoint) -> Move | None:
        gap_s = engine.lasting_gap_s
        if (
            gap_s is None
            or gap_s > view.sample.longest_destination_gap_s
            or engine is view.engine
            or not engine.is_trusted
            or self.is_avoided(engine.run)
            or not self._accepts(engine, view.demand)
            or self._would_swap(view, engine)
        ):
            return None
        now = self._clock.monotonic()
        destination = MoveDestination(
            gap_s=gap_s,
            slowdown=engine.slowdown(now),
            has_cached_prompt=self._has_cached_prompt(view.demand.group, engine.run),
            is_connected=engine.is_connected(now),
        )
        return lasting_move(view.sample, destination)

    def _would_swap(self, view: RunView, engine: TrackedEndpoint) -> bool:
        """Whether a running sample made the opposite move."""
        opposite = (engine.run, view.engine.run)
        return any(
            moved == opposite and sample != view.demand.sample
            for sample, moved in self._moved.items()
        )

    def _wish(self, view: RunView, move: Move) -> None:
        now = self._clock.monotonic()
        until = now + WISH_EVENT_COUNT * view.sample.present_gap_s
        self._wishes[view.demand.sample] = _Wish(view, _saving_s(move), until)

    def _rival_count(
        self, view: RunView, free: Sequence[tuple[Move, TrackedEndpoint]]
    ) -> int:
        """Return how many other samples save more and may take the best free slot.

        No more are counted than there are free slots.
        """
        now = self._clock.monotonic()
        own_saving_s = self._wishes[view.demand.sample].saving_s
        _, best_engine = free[0]
        rivals = (
            wish
            for wish in self._wishes.values()
            if wish.saving_s > own_saving_s
            and now < wish.until
            and wish.is_rival_of(view.demand)
            and self._move_to(wish.view, best_engine) is not None
        )
        return sum(1 for _ in islice(rivals, len(free)))


def _saving_s(move: Move) -> float:
    return move.saving_s or 0.0

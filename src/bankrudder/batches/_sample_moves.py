"""Moves of one sample: when they are checked, how many there were, what they saved."""

from dataclasses import dataclass, field

import structlog

from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._slot_queue import SlotDemand
from bankrudder.batches._values import BatchId, Sample
from bankrudder.fleet import TrackedEndpoint
from bankrudder.scheduling import Move, RunningSample, SustainedGap
from bankrudder.world import Clock

EVENTS_PER_MOVE_CHECK = 4
"""Number of events between two checks whether a sample should move."""

_log = structlog.get_logger("batches")


@dataclass
class _MoveInProgress:
    """A move that was decided, until the run after it ends.

    Attributes
    ----------
    gap_s : float
        Time between events that was expected on the engine that the sample left.
    decided_at : float
        Monotonic time of the last event there.
    has_arrived : bool
        Whether the sample runs on another engine than before.
    """

    move: Move
    source: TrackedEndpoint
    event_count: int
    gap_s: float
    decided_at: float
    has_arrived: bool = False


@dataclass
class _Run:
    """The events of one run; times are monotonic."""

    last_event_at: float
    last_check_at: float | None = None
    event_count: int = 0
    sustained_gap: SustainedGap = field(default_factory=SustainedGap)


class SampleMoves:
    """Checks with the events of a sample whether it should move, and logs its moves.

    Parameters
    ----------
    due_at : float or None
        Monotonic time at which the results of the batch are due, None if unknown.
    """

    def __init__(
        self,
        batch: BatchId,
        sample: Sample,
        dispatcher: Dispatcher,
        clock: Clock,
        due_at: float | None,
    ):
        self._batch = batch
        self._sample = sample
        self._dispatcher = dispatcher
        self._clock = clock
        self._due_at = due_at
        self._count = 0
        self._in_progress: _MoveInProgress | None = None
        self._run = _Run(clock.monotonic())

    @property
    def count(self) -> int:
        """Number of moves so far."""
        return self._count

    def begin_run(self, target: TrackedEndpoint, event_count: int) -> None:
        """Record that a run begins on an engine, after a move or otherwise."""
        self._run = _Run(self._clock.monotonic())
        self._dispatcher.moves.note_start(self._sample.id, target.run)
        moved = self._in_progress
        if moved is None or moved.source is target:
            self._in_progress = None
            return
        moved.has_arrived = True
        if moved.move.saving_s is not None:
            _log.info(
                "batches: sample moved",
                batch=self._batch,
                sample=self._sample.id,
                endpoint_before=moved.source.endpoint.id,
                endpoint=target.endpoint.id,
                reason=moved.move.reason.value,
                events=event_count,
                moves=self._count,
                expected_saving_s=round(moved.move.saving_s, 3),
                after_s=round(self._clock.monotonic() - moved.decided_at, 3),
            )

    def note_event(
        self,
        target: TrackedEndpoint,
        demand: SlotDemand,
        now: float,
        event_count: int,
    ) -> Move | None:
        """Record an event of the run; return the move that should begin now, if any.

        Parameters
        ----------
        event_count : int
            Events that the sample has, with this one.
        """
        run = self._run
        run.last_event_at = now
        if run.last_check_at is None:
            target.note_alive()
            run.last_check_at = now
            return None
        run.event_count += 1
        if run.event_count % EVENTS_PER_MOVE_CHECK:
            return None
        gap_s = (now - run.last_check_at) / EVENTS_PER_MOVE_CHECK
        target.note_event_gap(gap_s, now)
        run.sustained_gap.note(gap_s, run.last_check_at)
        run.last_check_at = now
        running = self._running_sample(target, event_count, now)
        move = self._dispatcher.find_move(demand, target, running)
        if move is not None:
            self._count += 1
            self._log_saving(target, event_count)
            self._in_progress = _MoveInProgress(
                move, target, event_count, running.present_gap_s, now
            )
        return move

    def end_run(self, target: TrackedEndpoint, event_count: int) -> None:
        """Record that the run on an engine ended."""
        self._dispatcher.moves.note_end(self._sample.id, target.run)
        if self._in_progress is not None and self._in_progress.has_arrived:
            self._log_saving(target, event_count)
            self._in_progress = None

    def end(self) -> None:
        """Record that the sample is complete or given up."""
        self._dispatcher.forget(self._sample.id)

    def _running_sample(
        self, target: TrackedEndpoint, event_count: int, now: float
    ) -> RunningSample:
        return RunningSample(
            event_count=event_count,
            length_hint=self._sample.length_hint,
            move_count=self._count,
            gap_s=target.lasting_gap_s,
            sustained_gap_s=self._run.sustained_gap.value_s(now),
            due_in_s=None if self._due_at is None else self._due_at - now,
        )

    def _log_saving(self, target: TrackedEndpoint, event_count: int) -> None:
        """Log what the last move saved: its events at the gap before, less the time."""
        moved = self._in_progress
        if moved is None or not moved.has_arrived or moved.move.saving_s is None:
            return
        # The text is shorter than before if it had to be generated again.
        events = max(event_count - moved.event_count, 0)
        elapsed_s = self._run.last_event_at - moved.decided_at
        seen_saving_s = events * moved.gap_s - elapsed_s
        self._dispatcher.moves.note_saving(moved.move, seen_saving_s)
        _log.info(
            "batches: moved run ended",
            batch=self._batch,
            sample=self._sample.id,
            endpoint=target.endpoint.id,
            reason=moved.move.reason.value,
            events=events,
            expected_saving_s=round(moved.move.saving_s, 3),
            seen_saving_s=round(seen_saving_s, 3),
        )

"""Decision whether a running sample moves to a lastingly faster engine.

It applies to engines that report the slowdown of their machine; `is_worth_moving`
applies to the others.

Load pattern: engines differ in lasting speed up to three times, because their machines
do. At any moment, other programs make a part of the machines several times slower for a
spell of about half a second. A sample that moves away from a spell arrives when it is
over, and has paid for a connection and for the reading of its prompt and its text.
Lengths of samples vary widely, and a step ends with its longest samples.

Policy: a sample moves if the time that it is expected to save over its remaining
length, by lasting times between events, exceeds the cost of the move by a minimum. It
stays if it is expected to end well before its step is due, as the trainer gains nothing
then. An engine that has been slower for longer than a spell lasts is taken at the speed
that the sample sees there. Each sample moves `MAX_MOVE_COUNT` times at most.
"""

import math
from collections import deque
from enum import Enum

import msgspec

MAX_MOVE_COUNT = 2
"""Largest number of moves of one sample: one away from the engine on which it started,
and one in case the engine that it moved to becomes slow."""

MIN_LASTING_GAP_RATIO = 1.3
"""Smallest ratio of the times between events on the current and the other engine.
Lasting times are estimates that are off by a tenth or more, and the load of engines
makes less of a difference."""

MIN_SAVING_S = 0.3
"""Smallest expected saving, after the cost of the move. A trainer's step lasts for
seconds; less than a few tenths of a second does not make a difference to it."""

HINT_LOG_SPREAD = 0.6
"""Standard deviation of the logarithm of a sample's length around its hint: a third of
the samples are shorter or longer than their hint by a factor of 1.8 or more."""

MAX_HINT_DEVIATIONS = 4.0
"""Standard deviations beyond which the hint is ignored. The tail of the distribution is
too thin there to be divided by."""

OUTGROWN_SHARE = 0.5
"""Least expected rest of a sample, as a share of the existing part. A text that is much
longer than its hint mostly goes on for long."""

DUE_LENGTH_FACTOR = 4.0
"""Multiple of its expected remaining length that a sample must be able to generate on
its present engine before its step is due, to be regarded as in time."""

RESULT_DELAY_S = 1.0
"""Time before a step is due by which a sample should end: its reward call follows, and
its result is listed and read."""

CONNECTION_COST_S = 0.02
"""Time for a new connection: a few round trips within a region."""

PROMPT_READ_EVENT_COUNT = 1.0
"""Time for reading a prompt, in events of the engine that reads it."""

TEXT_READ_SHARE = 0.02
"""Time for reading one event of existing text, as a share of the time for generating
it."""

SPELL_S = 0.6
"""Usual duration of a spell, for which the machine of an engine is slower."""

SUSTAINED_S = 2.0
"""Time for which an engine must have been slow without a break to be taken as lastingly
slow. Spells seldom follow each other for this long."""


class MoveReason(Enum):
    """Why a sample moves. The values appear in log lines."""

    FASTER_ENGINE = "a faster engine has a free slot"
    ENGINE_SLOWED_DOWN = "the engine is slow for longer than a spell"


class Move(msgspec.Struct, frozen=True):
    """A move that pays; the expected saving is None if it was not estimated."""

    reason: MoveReason
    saving_s: float | None = None


class RunningSample(msgspec.Struct, frozen=True):
    """What a host knows of a sample that runs on an engine.

    Attributes
    ----------
    event_count : int
        Events that the sample has so far.
    length_hint : int
        Estimated number of events of the whole sample; 0 without estimate.
    move_count : int
        Moves of the sample so far.
    gap_s : float or None
        Lasting time between events on its engine, None if unknown.
    sustained_gap_s : float or None
        Time between events which the sample's run has not fallen below for
        `SUSTAINED_S`; None if the run is shorter.
    due_in_s : float or None
        Time until the sample's step is due, None if unknown.
    """

    event_count: int
    length_hint: int
    move_count: int
    gap_s: float | None
    sustained_gap_s: float | None = None
    due_in_s: float | None = None

    @property
    def present_gap_s(self) -> float:
        """Time between events that is expected on its engine, 0 if unknown."""
        return max(self.gap_s or 0.0, self.sustained_gap_s or 0.0)

    @property
    def longest_destination_gap_s(self) -> float:
        """Lasting time between events above which an engine is no destination."""
        return self.present_gap_s / MIN_LASTING_GAP_RATIO


class MoveDestination(msgspec.Struct, frozen=True):
    """What a host knows of an engine to which a sample may move.

    Attributes
    ----------
    gap_s : float
        Lasting time between events on the engine.
    slowdown : float
        Duration of work on its machine at present, as a multiple of the usual duration.
    has_cached_prompt : bool
        Whether the engine has already processed the prompt of the sample's group.
    is_connected : bool
        Whether this host has an open, idle connection to the engine.
    """

    gap_s: float
    slowdown: float = 1.0
    has_cached_prompt: bool = False
    is_connected: bool = False


def may_move(sample: RunningSample) -> bool:
    """Whether a move of the sample pays if some engine is fast enough."""
    if sample.gap_s is None or sample.move_count >= MAX_MOVE_COUNT:
        return False
    remaining = expected_remaining_events(sample.event_count, sample.length_hint)
    end_s = remaining * sample.present_gap_s
    if sample.due_in_s is None:
        return end_s >= MIN_SAVING_S
    return DUE_LENGTH_FACTOR * end_s > sample.due_in_s - RESULT_DELAY_S


def lasting_move(sample: RunningSample, destination: MoveDestination) -> Move | None:
    """Return the move of a sample to another engine if it pays, None otherwise."""
    if sample.gap_s is None or not may_move(sample):
        return None
    saving_s = _saving_s(sample, sample.gap_s, destination)
    if saving_s is not None:
        return Move(MoveReason.FASTER_ENGINE, saving_s)
    saving_s = _saving_s(sample, sample.present_gap_s, destination)
    if saving_s is not None:
        return Move(MoveReason.ENGINE_SLOWED_DOWN, saving_s)
    return None


def expected_remaining_events(event_count: int, length_hint: int) -> float:
    """Return how many more events a sample is expected to have.

    Lengths are taken as log-normal around the hint, which is their median, and the
    result is the mean rest of those that are longer than the existing part. A sample
    that outgrew its hint by far was not one of these: its rest is expected to be at
    least `OUTGROWN_SHARE` of the existing part. Without a hint, the rest is expected to
    be as long as the existing part.
    """
    mean_factor = math.exp(HINT_LOG_SPREAD**2 / 2)
    if not event_count:
        return length_hint * mean_factor
    if not length_hint:
        return float(event_count)
    deviations = math.log(event_count / length_hint) / HINT_LOG_SPREAD
    outgrown = OUTGROWN_SHARE * event_count
    if deviations > MAX_HINT_DEVIATIONS:
        return outgrown
    mean_longer = length_hint * mean_factor * _upper_tail(deviations - HINT_LOG_SPREAD)
    return max(mean_longer / _upper_tail(deviations) - event_count, outgrown)


def move_cost_s(
    sample: RunningSample, gap_s: float, destination: MoveDestination
) -> float:
    """Return the time that a move costs a sample.

    It consists of the work on the next event, which is half done on average and lost, a
    connection unless there is an idle one, the reading of prompt and text, and the rest
    of a spell in which the destination is.

    Parameters
    ----------
    gap_s : float
        Time between events on the present engine.
    """
    read_events = TEXT_READ_SHARE * sample.event_count
    if not destination.has_cached_prompt:
        read_events += PROMPT_READ_EVENT_COUNT
    cost_s = gap_s / 2 + read_events * destination.gap_s
    if not destination.is_connected:
        cost_s += CONNECTION_COST_S
    if destination.slowdown > 1.0:
        cost_s += SPELL_S * (1 - 1 / destination.slowdown)
    return cost_s


class SustainedGap:
    """The time between events which a run has not fallen below for `SUSTAINED_S`."""

    def __init__(self) -> None:
        self._gaps: deque[tuple[float, float]] = deque()

    def note(self, gap_s: float, since: float) -> None:
        """Add the mean time between some events, the first of them at `since`."""
        self._gaps.append((since, gap_s))

    def value_s(self, now: float) -> float | None:
        """Return the shortest of the times noted, None if the run is too short."""
        start = now - SUSTAINED_S
        while len(self._gaps) > 1 and self._gaps[1][0] <= start:
            self._gaps.popleft()
        if not self._gaps or self._gaps[0][0] > start:
            return None
        return min(gap_s for _, gap_s in self._gaps)


def _saving_s(
    sample: RunningSample, gap_s: float, destination: MoveDestination
) -> float | None:
    """Return the time that a move saves, None if it does not pay."""
    if gap_s < MIN_LASTING_GAP_RATIO * destination.gap_s:
        return None
    remaining = expected_remaining_events(sample.event_count, sample.length_hint)
    saving_s = remaining * (gap_s - destination.gap_s)
    saving_s -= move_cost_s(sample, gap_s, destination)
    return saving_s if saving_s >= MIN_SAVING_S else None


def _upper_tail(deviations: float) -> float:
    """Return the share of a normal distribution above a number of deviations."""
    return math.erfc(deviations / math.sqrt(2)) / 2

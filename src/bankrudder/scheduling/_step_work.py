"""Open steps, their groups and samples as their planner sees them, and its plan."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from bankrudder.scheduling._ranking import Rank
from bankrudder.world import GroupId, SampleId

OVERRUN_SHARE = 0.2
"""Remaining duration of a sample that is longer than its hint says, as a share of the
duration so far: the further off a hint was, the less is known about the rest."""


class GroupKey(NamedTuple):
    """Identifies a group: carried groups have the same name in several steps."""

    step: str
    group: GroupId


@dataclass(frozen=True, slots=True)
class SampleWork:
    """A sample that is not generated yet.

    Attributes
    ----------
    rank : Rank
        Rank of the sample in the usual order.
    left_s : float
        Expected remaining time on an engine, in seconds.
    is_running : bool
        Whether the sample has a slot.
    """

    id: SampleId
    rank: Rank
    left_s: float
    is_running: bool


@dataclass(frozen=True, slots=True)
class GroupWork:
    """A group that is not complete yet; samples that are generated are left out."""

    id: GroupId
    samples: tuple[SampleWork, ...]
    is_carried: bool = False


@dataclass(frozen=True, slots=True)
class StepWork:
    """An open step; times are of the monotonic clock, in seconds.

    Attributes
    ----------
    accepted_at, due_at, given_up_at : float
        When the step was accepted, when its groups are due, and when its trainer stops
        waiting for them.
    missing_groups : int
        Number of groups that the trainer still waits for.
    """

    id: str
    accepted_at: float
    due_at: float
    given_up_at: float
    missing_groups: int
    groups: tuple[GroupWork, ...]

    @property
    def turn_at(self) -> float:
        """When a waiting group of the step has a turn, whatever else waits.

        Trainers end a step when they give up, so only the groups of a step that stays
        open for twice as long have turns, one group of a model at a time.
        """
        return 2 * self.given_up_at - self.accepted_at


@dataclass(frozen=True)
class StepPlan:
    """The order of the waiting samples of one model.

    Attributes
    ----------
    ranks : mapping
        Ranks of the waiting samples; empty if the usual order stays.
    in_time, late, given_up : tuple of GroupKey
        Groups that can be complete when due, those that can be complete until the
        trainer gives up, and the others. Empty if all that trainers wait for are
        complete when due.
    needed_s : float
        Slot-seconds that the groups that trainers wait for still need.
    """

    ranks: Mapping[SampleId, Rank]
    in_time: tuple[GroupKey, ...] = ()
    late: tuple[GroupKey, ...] = ()
    given_up: tuple[GroupKey, ...] = ()
    needed_s: float = 0.0

    @property
    def is_scarce(self) -> bool:
        """Whether groups that a trainer waits for cannot be complete when due."""
        return bool(self.late or self.given_up)


USUAL_ORDER = StepPlan({})


def expected_left_s(expected_s: float, generated_s: float) -> float:
    """Return the expected remaining duration of a sample, in seconds.

    Parameters
    ----------
    expected_s : float
        Duration of the whole sample by its length hint.
    generated_s : float
        Usual duration of what has been generated.
    """
    return max(expected_s - generated_s, OVERRUN_SHARE * generated_s)

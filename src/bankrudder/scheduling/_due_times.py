"""Which groups of the open steps of one model can still be complete when they are due.

A group counts in full only if all of its samples are listed when its step is due, less
until the trainer gives up, and not at all afterwards. Trainers that ask for more than
the slots can generate in time fall behind. If the older step and its longest groups
then go first, groups that are late in any case take the slots from groups that could
be in time, until every group of every step is late.

Load pattern: steps of 4 to 21 groups of 8 or 16 samples, one each 4 s for each model,
due after 7.5 s and given up after 12 s, at more than the number of samples that the
slots can serve in that time.

The planner assigns the waiting samples to slots for several orders of the groups, one
sample after the other, each to the slot that is free first. It keeps the order in
which most groups are complete when due, of those the order in which most are complete
before the trainer gives up, and of those the one that ends first, as the trainer asks
for the next step only when a step has ended. A group that is late in any case may
therefore still start before others: its long samples decide when the step ends.

Moving a group behind others delays none of these: samples are independent and the slots
are alike, so each sample starts at the same time or sooner. An order in which a late
group makes another one late is never kept, as the order with the late groups behind the
others is compared as well and completes more groups in time.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cached_property
from heapq import heapify, heapreplace

from bankrudder.scheduling._ranking import AWAITED, CARRIED, SURPLUS, Rank
from bankrudder.scheduling._step_work import (
    USUAL_ORDER,
    GroupKey,
    GroupWork,
    StepPlan,
    StepWork,
)
from bankrudder.world import SampleId

COMPLETION_MARGIN_S = 0.2
"""Time between the last event of a group and the moment when the trainer can read it:
its samples are scored and their results written to the store."""

MAX_STEP_ORDERS = 4
"""Most steps of which each is tried as the first. A trainer has two steps open, three
at times."""

TURN, GIVEN_UP = CARRIED - 1.0, SURPLUS + 1.0
"""Classes of groups under scarcity, besides those of the usual order: a group that has
waited for the longest time that any group waits, and groups that are not complete
before the trainer gives up, or that it does not wait for. Groups that can be in time
have the class `AWAITED`, late ones `SURPLUS`."""


def plan_steps(steps: Sequence[StepWork], slot_count: int, now: float) -> StepPlan:
    """Return the order in which most groups can be complete when they are due.

    It is the usual order while that completes all groups in time for which trainers
    wait.

    Parameters
    ----------
    steps : sequence of StepWork
        All open steps of a model at one owner.
    slot_count : int
        Slots that the model's samples can use.
    """
    groups = [
        _Group.from_work(step, group, now) for step in steps for group in step.groups
    ]
    if slot_count <= 0 or not any(group.waiting_s for group in groups):
        return USUAL_ORDER
    planner = _Planner(steps, groups, slot_count)
    turn = _group_with_turn(groups, now)
    usual = planner.outcome(sorted(groups, key=_rank))
    if turn is None and len(usual.in_time) == planner.awaited_count:
        return USUAL_ORDER
    return planner.plan(usual, turn)


class _Group:
    """A group with the figures that decide its place; times are seconds from now."""

    def __init__(
        self, step: StepWork, work: GroupWork, due_s: float, given_up_s: float
    ):
        samples = sorted(work.samples, key=lambda sample: sample.rank)
        self.key = GroupKey(step.id, work.id)
        self.step = step
        self.is_carried = work.is_carried
        self.waiting = [sample for sample in samples if not sample.is_running]
        self.waiting_s = [sample.left_s for sample in self.waiting]
        self.running_s = [sample.left_s for sample in samples if sample.is_running]
        self.longest_running_s = max(self.running_s, default=0.0)
        self.work_s = sum(self.waiting_s) + sum(self.running_s)
        self.rank = samples[0].rank if samples else ()
        self.due_s = due_s
        self.given_up_s = given_up_s

    @classmethod
    def from_work(cls, step: StepWork, work: GroupWork, now: float) -> "_Group":
        """Describe a group as of `now`."""
        offset = now + COMPLETION_MARGIN_S
        return cls(step, work, step.due_at - offset, step.given_up_at - offset)


_Order = Sequence[_Group]


def _rank(group: _Group) -> Rank:
    return group.rank


def _least_work(group: _Group) -> tuple[float, Rank]:
    return group.work_s, group.rank


@dataclass(frozen=True)
class _Outcome:
    """What an order completes of the groups that trainers wait for."""

    order: _Order
    in_time: frozenset[GroupKey]
    in_use: frozenset[GroupKey]
    """Groups that are complete before their trainer gives up."""

    end_s: float
    """Time until the last of these groups is complete."""

    @cached_property
    def value(self) -> tuple[int, int, float]:
        """Orders of higher value are preferred."""
        return len(self.in_time), len(self.in_use), -self.end_s


class _Planner:
    """Compares orders of the groups of one model."""

    def __init__(
        self, steps: Sequence[StepWork], groups: Sequence[_Group], slot_count: int
    ):
        self._groups = groups
        self._slot_count = slot_count
        self._quotas = {step.id: _uncarried_quota(step) for step in steps}
        self._free_slots = self._slot_times()
        self._steps = steps
        self._awaited = self._awaited_groups()
        awaited_keys = {group.key for group in self._awaited}
        self._others = sorted(
            (group for group in groups if group.key not in awaited_keys), key=_rank
        )

    @property
    def awaited_count(self) -> int:
        """Number of groups that the trainers still wait for."""
        return len(self._awaited)

    def outcome(self, order: _Order) -> _Outcome:
        """Assign the samples to slots in the given order of their groups."""
        slots = list(self._free_slots)
        finished: list[tuple[float, _Group]] = []
        for group in order:
            latest = group.longest_running_s
            for left_s in group.waiting_s:
                end = slots[0] + left_s
                heapreplace(slots, end)
                if end > latest:
                    latest = end
            finished.append((latest, group))
        in_use = self._counted(finished, lambda group: group.given_up_s)
        return _Outcome(
            order,
            self._counted(finished, lambda group: group.due_s),
            in_use,
            max((end for end, group in finished if group.key in in_use), default=0.0),
        )

    def plan(self, usual: _Outcome, turn: _Group | None) -> StepPlan:
        """Return the ranks by the best order."""
        first = [turn] if turn is not None else []
        if first:
            usual = self._with_first(first, usual.order)
        outcomes = [
            usual,
            *(self._with_first(first, order) for order in self._other_orders()),
        ]
        best = self._with_late_groups_behind(_best(outcomes), first)
        in_time = [group for group in best.order if group.key in best.in_time]
        rest = [group for group in best.order if group.key not in best.in_time]
        late = [group for group in rest if group.key in best.in_use]
        given_up = [group for group in rest if group.key not in best.in_use]
        return StepPlan(
            {} if best is usual and not first else _sample_ranks(best, first),
            tuple(group.key for group in in_time),
            tuple(group.key for group in late),
            tuple(group.key for group in given_up),
            sum(group.work_s for group in self._awaited),
        )

    def _with_late_groups_behind(self, best: _Outcome, first: _Order) -> _Outcome:
        """Return an order with the late groups behind the others if it is better."""
        in_time = [group for group in best.order if group.key in best.in_time]
        late = [group for group in best.order if group.key not in best.in_time]
        usual_late = sorted(late, key=_rank)
        orders = (
            [*in_time, *usual_late],
            [*in_time, *sorted(late, key=_least_work)],
            [*sorted(in_time, key=_rank), *usual_late],
        )
        return _best([best, *(self._with_first(first, order) for order in orders)])

    def _with_first(self, first: _Order, order: _Order) -> _Outcome:
        keys = {group.key for group in first}
        rest = (group for group in order if group.key not in keys)
        return self.outcome([*first, *rest])

    def _other_orders(self) -> list[_Order]:
        """Return the orders to compare with the usual one."""
        awaited, others = self._awaited, self._others
        orders = [sorted(awaited, key=_least_work), self._without_largest()]
        if 1 < len(self._steps) <= MAX_STEP_ORDERS:
            orders += [self._step_first(step) for step in self._steps]
        compared: list[_Order] = [[*order, *others] for order in orders]
        if len(self._steps) > 1:
            by_due_time = sorted(
                self._groups, key=lambda group: (group.due_s, group.rank)
            )
            compared.append(by_due_time)
        return compared

    def _step_first(self, step: StepWork) -> _Order:
        return sorted(
            self._awaited, key=lambda each: (each.step is not step, *_least_work(each))
        )

    def _without_largest(self) -> _Order:
        """Return the order by due time, with the groups that do not fit at the end.

        It is the rule of Moore and Hodgson with the slots taken as one fast machine:
        whenever a group would be late, the largest group so far is taken out.
        """
        kept: list[_Group] = []
        removed: list[_Group] = []
        work_s = 0.0
        for group in sorted(self._awaited, key=lambda each: (each.due_s, each.rank)):
            kept.append(group)
            work_s += group.work_s
            if work_s > group.due_s * self._slot_count:
                largest = max(kept, key=lambda each: each.work_s)
                kept.remove(largest)
                removed.append(largest)
                work_s -= largest.work_s
        return [*kept, *sorted(removed, key=_least_work)]

    def _slot_times(self) -> list[float]:
        """Return when each slot is free, in seconds from now, as a heap."""
        running_s = sorted(left for group in self._groups for left in group.running_s)
        # More samples run than there are slots if engines are about to leave: the slots
        # that are free first are not given to other samples.
        excess = max(len(running_s) - self._slot_count, 0)
        times = [0.0] * (self._slot_count - len(running_s)) + running_s[excess:]
        heapify(times)
        return times

    def _awaited_groups(self) -> list[_Group]:
        """Return the carried groups, and the smallest others that trainers wait for."""
        awaited = [group for group in self._groups if group.is_carried]
        quotas = dict(self._quotas)
        for group in sorted(self._groups, key=_least_work):
            if not group.is_carried and quotas[group.step.id] > 0:
                quotas[group.step.id] -= 1
                awaited.append(group)
        return awaited

    def _counted(
        self,
        finished: Sequence[tuple[float, _Group]],
        limit: Callable[[_Group], float],
    ) -> frozenset[GroupKey]:
        """Return the groups within a time limit that their trainers wait for."""
        counted = set()
        quotas = dict(self._quotas)
        for end, group in sorted(finished, key=lambda pair: pair[0]):
            if end > limit(group):
                continue
            if not group.is_carried:
                if quotas[group.step.id] <= 0:
                    continue
                quotas[group.step.id] -= 1
            counted.add(group.key)
        return frozenset(counted)


def _uncarried_quota(step: StepWork) -> int:
    """Return how many groups the trainer waits for besides the carried ones."""
    carried = sum(group.is_carried for group in step.groups)
    missing = min(step.missing_groups, len(step.groups))
    return max(missing - carried, 0)


def _group_with_turn(groups: Sequence[_Group], now: float) -> _Group | None:
    """Return the group that has waited longest of those whose turn has come."""
    overdue = (
        group for group in groups if group.waiting_s and group.step.turn_at <= now
    )
    return min(overdue, key=lambda each: (each.step.turn_at, each.rank), default=None)


def _best(outcomes: Sequence[_Outcome]) -> _Outcome:
    """Return the first of the best outcomes."""
    return max(outcomes, key=lambda outcome: outcome.value)


def _sample_ranks(outcome: _Outcome, first: _Order) -> dict[SampleId, Rank]:
    """Return ranks in the order of an outcome.

    Groups behind the last one that is in time have classes of their own, so that a step
    that begins goes before them until it is planned.
    """
    ranks: dict[SampleId, Rank] = {}
    keys_with_turn = {group.key for group in first}
    has_in_time_behind = False
    for position, group in reversed(list(enumerate(outcome.order))):
        has_in_time_behind |= group.key in outcome.in_time
        if group.key in keys_with_turn:
            group_class = TURN
        elif has_in_time_behind:
            group_class = AWAITED
        else:
            group_class = SURPLUS if group.key in outcome.in_use else GIVEN_UP
        for sample in group.waiting:
            ranks[sample.id] = (group_class, float(position), *sample.rank)
    return ranks

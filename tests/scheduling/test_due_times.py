"""Under scarcity most groups are complete when due; otherwise the usual order stays."""

import heapq

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.scheduling import (
    GroupWork,
    SampleWork,
    StepWork,
    expected_left_s,
    plan_steps,
)
from bankrudder.scheduling._due_times import COMPLETION_MARGIN_S
from step_load import Trainer

NOW = 100.0


@st.composite
def step_works(draw, name, min_age_s=0.0, max_age_s=14.0):
    groups = []
    for number in range(draw(st.integers(1, 7))):
        lengths = draw(st.lists(st.floats(0.0, 6.0), min_size=1, max_size=4))
        running = draw(st.integers(0, 2))
        samples = tuple(
            SampleWork(
                f"{name}{number}-{each}",
                (1.0, -max(lengths), number),
                length,
                each < running,
            )
            for each, length in enumerate(lengths)
        )
        is_carried = draw(st.booleans()) and draw(st.booleans())
        groups.append(GroupWork(f"g{number}", samples, is_carried))
    accepted_at = NOW - draw(st.floats(min_age_s, max_age_s))
    missing = draw(st.integers(1, len(groups)))
    due_at, given_up_at = accepted_at + 7.5, accepted_at + 12.0
    return StepWork(name, accepted_at, due_at, given_up_at, missing, tuple(groups))


loads = st.tuples(
    st.one_of(st.tuples(step_works("a")), st.tuples(step_works("a"), step_works("b"))),
    st.integers(1, 6),
)


def groups_of(steps):
    return {
        (step.id, group.id): (step, group) for step in steps for group in step.groups
    }


def usual_order(steps):
    groups = groups_of(steps)
    return sorted(groups, key=lambda key: min(s.rank for s in groups[key][1].samples))


def due_order(steps):
    groups = groups_of(steps)
    return sorted(usual_order(steps), key=lambda key: groups[key][0].due_at)


def planned_order(steps, plan):
    ranks = plan.ranks
    return sorted(
        usual_order(steps),
        key=lambda key: min(
            (ranks[s.id] for s in groups_of(steps)[key][1].samples if s.id in ranks),
            default=(),
        ),
    )


def in_time(steps, slot_count, order):
    """Return which groups are in time of those that the trainers wait for."""
    groups = groups_of(steps)
    running = [s.left_s for _, g in groups.values() for s in g.samples if s.is_running]
    slots = sorted(running)[max(len(running) - slot_count, 0) :]
    slots += [0.0] * (slot_count - len(slots))
    heapq.heapify(slots)
    ends = {}
    for key in order:
        samples = sorted(groups[key][1].samples, key=lambda sample: sample.rank)
        ends[key] = max((s.left_s for s in samples if s.is_running), default=0.0)
        for sample in samples:
            if not sample.is_running:
                end = heapq.heapreplace(slots, slots[0] + sample.left_s)
                ends[key] = max(ends[key], end + sample.left_s)
    counted = set()
    left = {
        step.id: max(step.missing_groups - sum(g.is_carried for g in step.groups), 0)
        for step in steps
    }
    for key in sorted(ends, key=ends.get):
        step, group = groups[key]
        if ends[key] > step.due_at - NOW - COMPLETION_MARGIN_S:
            continue
        if group.is_carried or left[step.id] > 0:
            left[step.id] -= not group.is_carried
            counted.add(key)
    return counted


@given(loads)
def test_as_many_groups_are_in_time_as_by_the_usual_order_or_by_due_time(load):
    steps, slot_count = load
    plan = plan_steps(steps, slot_count, NOW)
    planned = in_time(steps, slot_count, planned_order(steps, plan))
    for order in (usual_order(steps), due_order(steps)):
        assert len(planned) >= len(in_time(steps, slot_count, order))
    if plan.is_scarce:
        assert len(planned) == len(plan.in_time)


@given(loads)
def test_no_group_that_is_late_makes_another_one_late(load):
    steps, slot_count = load
    order = planned_order(steps, plan_steps(steps, slot_count, NOW))
    planned = in_time(steps, slot_count, order)
    behind = sorted(order, key=lambda key: key not in planned)
    assert len(in_time(steps, slot_count, behind)) == len(planned)


@given(loads)
def test_the_usual_order_stays_while_all_awaited_groups_are_in_time(load):
    steps, slot_count = load
    awaited = sum(
        max(step.missing_groups, sum(group.is_carried for group in step.groups))
        for step in steps
    )
    if len(in_time(steps, slot_count, usual_order(steps))) == awaited:
        assert plan_steps(steps, slot_count, NOW).ranks == {}


@given(loads)
def test_each_waiting_sample_has_one_rank_and_no_running_one_has_any(load):
    steps, slot_count = load
    ranks = plan_steps(steps, slot_count, NOW).ranks
    waiting = {
        sample.id
        for _, group in groups_of(steps).values()
        for sample in group.samples
        if not sample.is_running
    }
    assert not ranks or ranks.keys() == waiting
    assert len(set(ranks.values())) <= len(ranks)


@given(step_works("old", 24.0, 60.0), step_works("new"))
def test_a_group_of_a_step_that_stays_open_has_its_turn(old, new):
    """Such a group is late for its step, so nothing else would ever let it start."""
    waiting = {s.id for g in old.groups for s in g.samples if not s.is_running}
    ranks = plan_steps((old, new), 3, NOW).ranks
    if waiting:
        assert min(ranks, key=ranks.get) in waiting


def test_without_slots_the_usual_order_stays():
    samples = (SampleWork("x", (0.0,), 20.0, False),)
    step = StepWork("a", 0.0, 7.5, 12.0, 1, (GroupWork("g", samples),))
    assert plan_steps([step], 0, 0.0).ranks == {}
    assert plan_steps([], 8, 0.0).ranks == {}


def test_the_step_of_which_more_can_be_kept_goes_first():
    """Of two steps due together, four groups of the second fit, or one of the first."""

    def step(name, count, seconds):
        groups = tuple(
            GroupWork(str(n), (SampleWork(f"{name}{n}", (0.0, n), seconds, False),))
            for n in range(count)
        )
        return StepWork(name, 0.0, 7.5, 12.0, count, groups)

    plan = plan_steps([step("a", 2, 6.5), step("b", 4, 1.5)], 1, 0.0)
    assert {key.step for key in plan.in_time} == {"b"}
    assert len(plan.in_time) == 4


def test_a_sample_beyond_its_hint_is_expected_to_run_on():
    assert expected_left_s(4.0, 1.0) == 3.0
    assert expected_left_s(4.0, 5.0) == pytest.approx(1.0)


def played(load, *, plans):
    return [Trainer(load, seed, plans=plans).play() for seed in range(3)]


def test_steps_that_the_slots_can_serve_are_played_as_without_plans():
    without, planned = played(1.0, plans=False), played(1.0, plans=True)
    assert [each.ages for each in planned] == [each.ages for each in without]


@pytest.mark.parametrize("load", [2.4, 3.2])
def test_more_groups_are_in_time_when_steps_need_more_than_the_slots(load):
    """The usual order starts all groups early, and most of them end late."""
    without, planned = played(load, plans=False), played(load, plans=True)
    assert all(
        each.in_time() > usual.in_time()
        for each, usual in zip(planned, without, strict=True)
    )

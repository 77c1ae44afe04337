"""Samples move by lasting speeds, and only where a step would be late."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.scheduling import (
    MoveDestination,
    MoveReason,
    RunningSample,
    SustainedGap,
    lasting_move,
    may_move,
)
from bankrudder.scheduling._lasting_moves import (
    MAX_MOVE_COUNT,
    MIN_LASTING_GAP_RATIO,
    MIN_SAVING_S,
    SUSTAINED_S,
    expected_remaining_events,
    move_cost_s,
)

FAST = MoveDestination(gap_s=0.027)
SLOW_GAP_S = 0.072
LONG = RunningSample(event_count=30, length_hint=60, move_count=0, gap_s=SLOW_GAP_S)

gaps_s = st.floats(0.001, 2.0)
samples = st.builds(
    RunningSample,
    event_count=st.integers(0, 5000),
    length_hint=st.integers(0, 5000),
    move_count=st.integers(0, 5),
    gap_s=st.none() | gaps_s,
    sustained_gap_s=st.none() | gaps_s,
    due_in_s=st.none() | st.floats(-10, 1000),
)
destinations = st.builds(
    MoveDestination,
    gap_s=gaps_s,
    slowdown=st.floats(0.5, 10),
    has_cached_prompt=st.booleans(),
    is_connected=st.booleans(),
)


def changed(sample, **changes):
    return msgspec.structs.replace(sample, **changes)


@given(samples, destinations)
def test_no_sample_moves_to_an_engine_that_is_not_lastingly_faster(sample, destination):
    present_gap_s = max(sample.gap_s or 0, sample.sustained_gap_s or 0)
    if present_gap_s < MIN_LASTING_GAP_RATIO * destination.gap_s:
        assert lasting_move(sample, destination) is None


@given(samples, destinations)
def test_a_move_saves_at_least_the_minimum_and_is_one_that_was_possible(
    sample, destination
):
    move = lasting_move(sample, destination)
    if move is not None:
        assert move.saving_s >= MIN_SAVING_S
        assert sample.move_count < MAX_MOVE_COUNT
        assert may_move(sample)


@given(samples)
def test_an_estimate_of_the_rest_is_finite_and_never_negative(sample):
    rest = expected_remaining_events(sample.event_count, sample.length_hint)
    assert 0 <= rest < math.inf


def test_a_long_sample_on_a_slow_engine_moves_to_a_fast_one():
    move = lasting_move(LONG, FAST)
    assert move.reason is MoveReason.FASTER_ENGINE
    rest_s = expected_remaining_events(30, 60) * (SLOW_GAP_S - FAST.gap_s)
    assert move.saving_s == rest_s - move_cost_s(LONG, SLOW_GAP_S, FAST)


def test_a_short_sample_stays_as_the_move_costs_more_than_it_saves():
    assert lasting_move(changed(LONG, event_count=6, length_hint=6), FAST) is None


@pytest.mark.parametrize("count", [MAX_MOVE_COUNT, MAX_MOVE_COUNT + 1])
def test_a_sample_that_has_moved_often_enough_stays(count):
    assert lasting_move(changed(LONG, move_count=count), FAST) is None


@pytest.mark.parametrize(
    ("due_in_s", "moves"), [(20.0, False), (10.0, True), (-1.0, True)]
)
def test_a_sample_moves_unless_it_ends_well_before_its_step_is_due(due_in_s, moves):
    move = lasting_move(changed(LONG, due_in_s=due_in_s), FAST)
    assert (move is not None) == moves


def test_a_sample_on_an_engine_of_unknown_speed_stays():
    sample = changed(LONG, gap_s=None, sustained_gap_s=1.0)
    assert lasting_move(sample, FAST) is None


def test_a_sample_leaves_a_fast_engine_that_became_slow_for_long():
    sample = changed(LONG, gap_s=FAST.gap_s)
    assert lasting_move(sample, FAST) is None
    move = lasting_move(changed(sample, sustained_gap_s=4 * FAST.gap_s), FAST)
    assert move.reason is MoveReason.ENGINE_SLOWED_DOWN


@pytest.mark.parametrize(
    "cheaper", [{"is_connected": True}, {"has_cached_prompt": True}, {"slowdown": 1.0}]
)
def test_a_move_costs_less_with_what_is_there(cheaper):
    usual = changed(FAST, slowdown=2.5)
    assert move_cost_s(LONG, SLOW_GAP_S, changed(usual, **cheaper)) < move_cost_s(
        LONG, SLOW_GAP_S, usual
    )


def test_the_rest_of_a_sample_follows_its_hint_until_it_outgrows_it():
    assert expected_remaining_events(0, 60) == pytest.approx(60, rel=0.25)
    assert expected_remaining_events(30, 60) == pytest.approx(47, abs=3)
    assert expected_remaining_events(60, 10) == 30
    assert expected_remaining_events(60, 0) == 60


def sustained_gap_s(gaps):
    sustained, now = SustainedGap(), 100.0
    for gap_s in gaps:
        sustained.note(gap_s, now)
        now += 4 * gap_s
    return sustained.value_s(now)


def test_a_spell_does_not_count_as_lasting_slowness():
    usual, spell = [0.045] * 20, [0.1125] * 2
    assert sustained_gap_s(usual + spell) == 0.045
    assert sustained_gap_s(spell * 2 + usual[:2] + spell * 2) == 0.045


def test_slowness_without_a_break_is_known_after_the_stated_time():
    slow = [0.1125] * math.ceil(SUSTAINED_S / 0.45)
    assert sustained_gap_s([0.045] * 20 + slow[:-1]) == 0.045
    assert sustained_gap_s([0.045] * 20 + slow) == 0.1125


def test_a_run_shorter_than_the_stated_time_shows_nothing():
    assert sustained_gap_s([0.1] * 4) is None

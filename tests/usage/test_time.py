"""The agreed time of day while some clocks are seconds off or jump."""

import random

import pytest

from bankrudder.usage import FleetTime, StoreClock
from manual_clock import START_WALL_S, ManualClock

STORE_AHEAD_S = 40_000.0
"""How far the store's clock, whose epoch is unknown, is ahead of the hosts' monotonic
clocks."""


def record_answer_after(clock, store_clock, round_trip_s=0.004):
    sent_at = clock.monotonic()
    clock.advance(round_trip_s / 2)
    store_time = clock.monotonic() + STORE_AHEAD_S
    clock.advance(round_trip_s / 2)
    store_clock.record_store_time(sent_at, store_time)


@pytest.fixture
def store_clock(manual_clock):
    store_clock = StoreClock(manual_clock)
    record_answer_after(manual_clock, store_clock)
    return store_clock


def test_the_store_clock_is_derived_from_an_answer(manual_clock, store_clock):
    assert store_clock.time_at(manual_clock.monotonic()) == pytest.approx(
        manual_clock.monotonic() + STORE_AHEAD_S
    )


def test_the_store_clock_is_unknown_before_the_first_answer(manual_clock):
    store_clock = StoreClock(manual_clock)
    store_clock.record_store_time(0.0, 0.0)
    assert store_clock.time_at(0.0) is None
    assert store_clock.wall_ahead_s() is None


def test_the_answer_with_the_shortest_round_trip_is_used(manual_clock, store_clock):
    sent_at = manual_clock.monotonic()
    manual_clock.advance(0.8)
    store_clock.record_store_time(sent_at, sent_at + STORE_AHEAD_S)
    assert store_clock.time_at(0.0) == pytest.approx(STORE_AHEAD_S, abs=0.001)


def test_a_host_without_a_store_answer_uses_its_own_clock(manual_clock):
    time = FleetTime(StoreClock(manual_clock), list, manual_clock)
    manual_clock.advance(3.0)
    assert time.now() == START_WALL_S + 3.0
    assert time.time_at(1.0) == START_WALL_S + 1.0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("error_s", [6.0, -6.0])
def test_up_to_half_of_the_clocks_may_be_wrong(seed, error_s):
    rng = random.Random(seed)
    true_clock = ManualClock()
    hosts = [
        ManualClock(wall=START_WALL_S + rng.uniform(-0.01, 0.01)) for _ in range(19)
    ]
    store_clocks = [StoreClock(each) for each in hosts]
    for clock, store_clock in zip(hosts, store_clocks, strict=True):
        record_answer_after(clock, store_clock, rng.uniform(0.002, 0.02))
    for clock in rng.sample(hosts, 9):
        clock._wall += error_s
    ahead = [store_clock.wall_ahead_s() for store_clock in store_clocks]
    for clock, store_clock in zip(hosts, store_clocks, strict=True):
        time = FleetTime(store_clock, lambda: ahead, clock)
        moment = clock.monotonic()
        expected = true_clock.wall() + moment
        assert time.now() == pytest.approx(expected, abs=0.03)


def test_a_published_clock_offset_changes_only_on_real_change(
    manual_clock, store_clock
):
    first = store_clock.wall_ahead_s()
    for step in range(20):
        record_answer_after(manual_clock, store_clock, 0.002 + step * 0.0001)
        assert store_clock.wall_ahead_s() == first
    manual_clock._wall += 0.02
    assert store_clock.wall_ahead_s() == pytest.approx(first + 0.02, abs=0.005)


def test_one_clock_that_jumps_does_not_change_the_agreed_time(
    manual_clock, store_clock
):
    ahead = [store_clock.wall_ahead_s()] * 3
    time = FleetTime(
        store_clock, lambda: [*ahead[:2], store_clock.wall_ahead_s()], manual_clock
    )
    before = time.now()
    manual_clock._wall += 6.0
    assert time.now() == pytest.approx(before, abs=0.001)

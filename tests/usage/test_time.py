"""True time from clocks of which some are seconds off or jump."""

import random

import pytest

from bankrudder.usage import StoreClock, TrueTime
from manual_clock import START_WALL_S, ManualClock

STORE_AHEAD_S = 40_000.0
"""How far the store's clock, of no known origin, is ahead of the hosts' steady ones."""


def told(clock, store, took_s=0.004):
    sent_at = clock.monotonic()
    clock.advance(took_s / 2)
    store_time = clock.monotonic() + STORE_AHEAD_S
    clock.advance(took_s / 2)
    store.note(sent_at, store_time)


@pytest.fixture
def store(manual_clock):
    store = StoreClock(manual_clock)
    told(manual_clock, store)
    return store


def test_the_store_tells_its_time(manual_clock, store):
    assert store.at(manual_clock.monotonic()) == pytest.approx(
        manual_clock.monotonic() + STORE_AHEAD_S
    )


def test_before_the_first_answer_its_time_is_not_known(manual_clock):
    store = StoreClock(manual_clock)
    store.note(0.0, 0.0)
    assert store.at(0.0) is None
    assert store.wall_ahead_s() is None


def test_the_quickest_answer_counts(manual_clock, store):
    sent_at = manual_clock.monotonic()
    manual_clock.advance(0.8)
    store.note(sent_at, sent_at + STORE_AHEAD_S)
    assert store.at(0.0) == pytest.approx(STORE_AHEAD_S, abs=0.001)


def test_a_host_without_the_store_believes_its_own_clock(manual_clock):
    time = TrueTime(StoreClock(manual_clock), list, manual_clock)
    manual_clock.advance(3.0)
    assert time.now() == START_WALL_S + 3.0
    assert time.at(1.0) == START_WALL_S + 1.0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("off_s", [6.0, -6.0])
def test_up_to_half_of_the_clocks_may_be_wrong(seed, off_s):
    rng = random.Random(seed)
    true = ManualClock()
    hosts = [
        ManualClock(wall=START_WALL_S + rng.uniform(-0.01, 0.01)) for _ in range(19)
    ]
    stores = [StoreClock(each) for each in hosts]
    for clock, store in zip(hosts, stores, strict=True):
        told(clock, store, rng.uniform(0.002, 0.02))
    for clock in rng.sample(hosts, 9):
        clock._wall += off_s
    ahead = [store.wall_ahead_s() for store in stores]
    for clock, store in zip(hosts, stores, strict=True):
        time = TrueTime(store, lambda: ahead, clock)
        moment = clock.monotonic()
        expected = true.wall() + moment
        assert time.now() == pytest.approx(expected, abs=0.03)


def test_what_a_host_tells_of_its_clock_is_steady(manual_clock, store):
    first = store.wall_ahead_s()
    for step in range(20):
        told(manual_clock, store, 0.002 + step * 0.0001)
        assert store.wall_ahead_s() == first
    manual_clock._wall += 0.02
    assert store.wall_ahead_s() == pytest.approx(first + 0.02, abs=0.005)


def test_a_clock_that_jumps_moves_no_window(manual_clock, store):
    ahead = [store.wall_ahead_s()] * 3
    time = TrueTime(store, lambda: [*ahead[:2], store.wall_ahead_s()], manual_clock)
    before = time.now()
    manual_clock._wall += 6.0
    assert time.now() == pytest.approx(before, abs=0.001)

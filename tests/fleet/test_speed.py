"""Lasting speeds are told apart from momentary slowness."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.fleet import Endpoint, ReportedLoad, TrackedEndpoint
from bankrudder.fleet._speed import (
    BIN_S,
    MAX_CHANGE_DELAY_S,
    SLOWDOWN_DECAY_S,
    BinnedMedian,
)

SPELL_S = 0.6
WORK_S = 0.03
GAP_S = 0.04
ANSWERS = 40
ANSWERS_PER_S = 16.0
CASES = 200


def load(slowdown, waiting=0):
    return ReportedLoad(1, waiting, 6, slowdown)


@pytest.fixture
def tracked():
    tracked = TrackedEndpoint(Endpoint("e", "s", "a:1", "north", 6))
    tracked.note_load(load(1.0), 0.0)
    return tracked


class Machine:
    """The slowdown of a machine that is drawn anew for each spell."""

    def __init__(self, rng, share=0.15, factor=2.5):
        self._rng, self._share, self._factor = rng, share, factor
        self._spells = {}

    def slowdown(self, now):
        spell = int(now / SPELL_S)
        if spell not in self._spells:
            is_slow = self._rng.random() < self._share
            self._spells[spell] = self._factor if is_slow else 1.0
        return self._spells[spell]


def estimate_from_answers(speed, seed, **noise):
    """Return the lasting latency after `ANSWERS` answers with unlike work."""
    rng = random.Random(seed)
    machine = Machine(rng, **noise)
    tracked = TrackedEndpoint(Endpoint("e", "s", "a:1", "north", 6))
    now = 1.0
    for _ in range(ANSWERS):
        now += rng.expovariate(ANSWERS_PER_S)
        slowdown = machine.slowdown(now)
        tracked.note_load(load(round(slowdown, 2)), now)
        work_s = WORK_S * rng.lognormvariate(0.0, 0.5)
        tracked.note_answer(work_s * speed * slowdown, now)
    return tracked.lasting_latency_s


@pytest.mark.parametrize("noise", [{}, {"share": 0.6}, {"factor": 7.0}])
@pytest.mark.parametrize("classes", [(0.6, 1.0, 1.6), (0.5, 1.0, 2.0)])
def test_classes_are_told_apart_after_40_answers(classes, noise):
    ordered = 0
    for seed in range(CASES):
        estimates_s = [
            estimate_from_answers(speed, f"{seed}/{speed}", **noise)
            for speed in classes
        ]
        ordered += estimates_s == sorted(estimates_s)
    assert ordered >= 0.99 * CASES


@pytest.mark.parametrize("classes", [(0.6, 1.0, 1.6), (0.8, 1.0, 1.25)])
def test_classes_are_told_apart_by_four_seconds_of_events(classes):
    """Events carry no report, and two streams at a time yield gaps."""
    ordered = 0
    for seed in range(CASES):
        estimates_s = []
        for speed in classes:
            rng = random.Random(f"{seed}/{speed}")
            machine, now = Machine(rng), 0.0
            tracked = TrackedEndpoint(Endpoint("e", "s", "a:1", "north", 6))
            tracked.note_load(load(1.0), now)
            while now < 4.0:
                gap_s = GAP_S * speed * machine.slowdown(now) * rng.gauss(1.0, 0.05)
                now += 2 * gap_s
                tracked.note_event_gap(gap_s, now)
            estimates_s.append(tracked.lasting_gap_s)
        ordered += estimates_s == sorted(estimates_s)
    assert ordered >= 0.95 * CASES


def note_gaps(tracked, gap_s, began, seconds):
    now = began
    while now < began + seconds:
        now += 4 * gap_s
        tracked.note_event_gap(gap_s, now)
    return now


def test_a_spell_of_slowness_does_not_change_the_lasting_gap(tracked):
    """The moving average follows the spell, and samples were moved because of it."""
    now = note_gaps(tracked, GAP_S, 1.0, 4.0)
    now = note_gaps(tracked, 2.5 * GAP_S, now, SPELL_S)
    assert tracked.lasting_gap_s == pytest.approx(GAP_S)
    assert tracked.event_gap_s > 1.5 * GAP_S


def test_a_lasting_change_is_known_in_a_stated_time(tracked):
    now = note_gaps(tracked, 0.6 * GAP_S, 1.0, 10.0)
    note_gaps(tracked, 1.6 * GAP_S, now, MAX_CHANGE_DELAY_S + BIN_S)
    assert tracked.lasting_gap_s == pytest.approx(1.6 * GAP_S, rel=0.05)


def test_reported_slowdown_and_queue_are_taken_out_of_a_latency(tracked):
    tracked.note_load(load(2.5, waiting=6), 1.0)
    tracked.note_answer(2.5 * 2 * WORK_S, 1.0)
    assert tracked.lasting_latency_s == pytest.approx(WORK_S)


def test_a_report_does_not_explain_what_took_much_longer(tracked):
    tracked.note_load(load(2.5), 1.0)
    tracked.note_answer(2.0, 1.0)
    assert tracked.lasting_latency_s == pytest.approx(2.0)


def test_a_reported_slowdown_loses_its_weight_with_its_age(tracked):
    tracked.note_load(load(3.0), 1.0)
    assert tracked.slowdown(1.0) == 3.0
    assert tracked.slowdown(1.0 + SLOWDOWN_DECAY_S) == pytest.approx(1 + 2 / math.e)
    assert tracked.slowdown(2.5) == 1.0


def test_without_reported_slowdown_the_moving_averages_apply(tracked):
    """Endpoints of earlier deployments report no slowdown: nothing changes there."""
    tracked.note_load(ReportedLoad(1, 0, 6), 1.0)
    for latency_s in (0.1, 0.2):
        tracked.note_answer(latency_s, 1.0)
        tracked.note_event_gap(latency_s, 1.0)
    assert tracked.lasting_latency_s == tracked.latency_s == pytest.approx(0.12)
    assert tracked.lasting_gap_s == tracked.event_gap_s == pytest.approx(0.12)
    assert tracked.slowdown(1.0) == 1.0
    assert tracked.speed is None


@given(
    st.lists(
        st.tuples(st.floats(allow_nan=True), st.floats(0, 1e6)), min_size=1, max_size=60
    )
)
def test_the_median_is_within_the_observed_range(observations):
    lasting = BinnedMedian()
    for duration_s, now in observations:
        lasting.note(duration_s, now)
    valid = [each for each, _ in observations if 0 < each < math.inf]
    if not valid:
        assert lasting.value is None
        return
    # Logarithms round, so the bounds are met up to a relative error.
    assert lasting.value >= min(valid) * (1 - 1e-9)
    assert lasting.value <= max(valid) * (1 + 1e-9)


@given(
    st.floats(1e-3, 0.25),
    st.lists(st.floats(0.01, 100), min_size=1, max_size=30),
    st.floats(0.25, 100),
)
def test_lasting_latency_is_within_the_range_of_answers_less_their_slowdown(
    latency_s, slowdowns, pause_s
):
    tracked = TrackedEndpoint(Endpoint("e", "s", "a:1", "north", 6))
    for number, slowdown in enumerate(slowdowns):
        now = number * pause_s
        tracked.note_load(load(slowdown), now)
        tracked.note_answer(latency_s, now)
    scaled = [latency_s / slowdown for slowdown in slowdowns]
    assert min(scaled) * (1 - 1e-9) <= tracked.lasting_latency_s
    assert tracked.lasting_latency_s <= max(scaled) * (1 + 1e-9)

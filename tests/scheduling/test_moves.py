"""Samples that are likely to run for long leave slow engines early."""

from datetime import timedelta

import pytest

from bankrudder.scheduling import is_worth_moving

FAST = timedelta(milliseconds=38)
SLOW = timedelta(milliseconds=49)
VERY_SLOW = timedelta(milliseconds=120)


def test_a_short_sample_stays_on_a_slightly_slower_engine():
    assert not is_worth_moving(4, SLOW, FAST)
    assert not is_worth_moving(8, SLOW, FAST)


def test_a_longer_sample_leaves_a_slightly_slower_engine():
    assert is_worth_moving(14, SLOW, FAST)


def test_a_short_sample_leaves_a_very_slow_engine():
    assert is_worth_moving(4, VERY_SLOW, FAST)


def test_samples_stay_on_engines_of_similar_or_higher_speed():
    assert not is_worth_moving(180, timedelta(milliseconds=44), FAST)
    assert not is_worth_moving(180, FAST, SLOW)


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_the_length_that_justifies_a_move_depends_on_engine_speed(factor):
    least = next(
        events
        for events in range(1, 200)
        if is_worth_moving(events, factor * SLOW, factor * FAST)
    )
    assert least == pytest.approx(13.6 / factor, abs=1)

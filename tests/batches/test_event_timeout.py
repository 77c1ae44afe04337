"""The timeout of the next event follows the usual gap of the engine."""

import pytest

from bankrudder.batches._event_timeout import (
    EVENT_TIMEOUT_GAP_FACTOR,
    MAX_EVENT_TIMEOUT_S,
    MIN_EVENT_TIMEOUT_S,
    event_timeout_s,
)


def test_the_timeout_is_a_multiple_of_the_usual_gap():
    assert event_timeout_s(0.05) == pytest.approx(EVENT_TIMEOUT_GAP_FACTOR * 0.05)
    assert event_timeout_s(0.07) > event_timeout_s(0.05)


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_the_timeout_stays_within_bounds(factor):
    assert MIN_EVENT_TIMEOUT_S <= event_timeout_s(0.04 * factor) <= MAX_EVENT_TIMEOUT_S


def test_the_longest_timeout_applies_when_no_gap_is_known():
    assert event_timeout_s(None) == MAX_EVENT_TIMEOUT_S

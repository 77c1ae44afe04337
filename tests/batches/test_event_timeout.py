"""How long a run waits for its next event."""

import pytest

from bankrudder.batches._event_timeout import (
    LEAST_SILENCE_S,
    MOST_SILENCE_S,
    SILENT_GAPS,
    silence_s,
)


def test_silence_is_told_by_what_is_usual_on_the_engine():
    assert silence_s(0.05) == pytest.approx(SILENT_GAPS * 0.05)
    assert silence_s(0.07) > silence_s(0.05)


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_it_stays_within_bounds(factor):
    assert LEAST_SILENCE_S <= silence_s(0.04 * factor) <= MOST_SILENCE_S


def test_without_anything_known_the_longest_is_allowed():
    assert silence_s(None) == MOST_SILENCE_S

"""Quantiles of recent times follow each new time."""

from hypothesis import given
from hypothesis import strategies as st

from bankrudder.overload import RecentTimes


@given(st.lists(st.floats(0.0005, 100.0), min_size=1, max_size=100), st.floats(0, 1))
def test_a_quantile_does_not_depend_on_earlier_questions(times, share):
    asked, unasked = RecentTimes(), RecentTimes()
    for each in times:
        asked.note(each)
        asked.quantile_s(share)
        unasked.note(each)
    assert asked.quantile_s(share) == unasked.quantile_s(share)

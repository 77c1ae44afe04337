"""The times of a planned stop, for any grace period."""

from hypothesis import given
from hypothesis import strategies as st

from bankrudder.node._planned_stop import PlannedStop

TIMES = st.floats(0, 1e6)


@given(TIMES, st.floats(0, 600))
def test_everything_is_closed_within_the_grace(begun_at, grace_s):
    stop = PlannedStop(begun_at, grace_s)
    assert begun_at <= stop.answers_end_at <= stop.closed_at <= begun_at + grace_s


@given(TIMES, st.floats(0, 600), st.floats(0, 600))
def test_only_what_ends_before_the_close_is_taken(begun_at, grace_s, latest_end_s):
    stop = PlannedStop(begun_at, grace_s)
    has_time = stop.has_time_until(begun_at + latest_end_s)
    assert has_time == (begun_at + latest_end_s <= stop.answers_end_at)

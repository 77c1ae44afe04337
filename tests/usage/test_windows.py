"""Bounds of usage windows, and when each is reported."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.usage import ReportSchedule
from bankrudder.usage._windows import ReportStep

SCHEDULE = ReportSchedule(timedelta(seconds=5), timedelta(seconds=10))


@given(st.floats(0, 4e9), st.sampled_from([0.5, 1.0, 5.0, 60.0]))
def test_each_moment_is_in_one_window(moment, length_s):
    schedule = ReportSchedule(timedelta(seconds=length_s), timedelta(seconds=10))
    window = schedule.window_at(moment)
    assert schedule.end_of(window) - length_s <= moment < schedule.end_of(window)


def test_windows_are_counted_from_the_epoch():
    assert SCHEDULE.window_at(0.0) == 0
    assert SCHEDULE.window_at(5.0) == 1
    assert SCHEDULE.end_of(353_445_120) == 5 * 353_445_121


@pytest.mark.parametrize(
    ("after_s", "has_heard_all_hosts", "is_due"),
    [
        (-1.0, True, False),
        (3.9, True, False),
        (4.0, True, True),
        (4.0, False, False),
        (7.9, False, False),
        (8.0, False, True),
        (600.0, False, True),
    ],
)
def test_a_window_waits_for_silent_hosts_but_not_past_its_due_time(
    after_s, has_heard_all_hosts, is_due
):
    window = SCHEDULE.window_at(1_700_000_000.0)
    now = SCHEDULE.end_of(window) + after_s
    assert (
        SCHEDULE.should_report(window, now, has_heard_all_hosts=has_heard_all_hosts)
        is is_due
    )


@pytest.mark.parametrize("factor", [0.25, 1.0, 4.0])
def test_report_times_scale_with_the_platform_deadline(factor):
    schedule = ReportSchedule(
        timedelta(seconds=5 * factor), timedelta(seconds=10 * factor)
    )
    end = schedule.end_of(schedule.window_at(1_700_000_000.0))
    window = schedule.window_at(1_700_000_000.0)
    assert schedule.should_report(window, end + 4.1 * factor, has_heard_all_hosts=True)
    assert not schedule.should_report(
        window, end + 3.9 * factor, has_heard_all_hosts=True
    )


@pytest.mark.parametrize("factor", [0.25, 1.0, 4.0])
@pytest.mark.parametrize("moment", [1_700_000_000.0, 1_700_000_004.9])
def test_the_oldest_reportable_window_is_not_overdue_but_its_predecessor_is(
    moment, factor
):
    schedule = ReportSchedule(timedelta(seconds=5), timedelta(seconds=10 * factor))
    oldest = schedule.oldest_reportable(moment)
    assert schedule.end_of(oldest) + 10 * factor > moment
    assert schedule.end_of(oldest - 1) + 10 * factor <= moment


@pytest.mark.parametrize(
    ("after_s", "has_heard_all_hosts", "drafted_after_s", "is_lease_ending", "step"),
    [
        (2.4, True, None, False, ReportStep.WAIT),
        (2.5, True, None, False, ReportStep.DRAFT),
        (3.0, True, 2.5, False, ReportStep.WAIT),
        (3.9, True, 2.5, False, ReportStep.WAIT),
        (4.0, True, 2.5, False, ReportStep.REPORT),
        (3.0, True, 2.5, True, ReportStep.REPORT),
        (3.0, True, None, True, ReportStep.DRAFT),
        (5.4, False, 2.5, False, ReportStep.WAIT),
        (5.5, False, 2.5, False, ReportStep.DRAFT),
        (7.9, False, 5.5, False, ReportStep.WAIT),
        (8.0, False, 5.5, False, ReportStep.REPORT),
    ],
)
def test_a_draft_is_stored_early_and_reported_when_nothing_better_can_come(
    after_s, has_heard_all_hosts, drafted_after_s, is_lease_ending, step
):
    window = SCHEDULE.window_at(1_700_000_000.0)
    end = SCHEDULE.end_of(window)
    assert (
        SCHEDULE.next_step(
            window,
            end + after_s,
            has_heard_all_hosts=has_heard_all_hosts,
            drafted_at=None if drafted_after_s is None else end + drafted_after_s,
            is_lease_ending=is_lease_ending,
        )
        is step
    )

"""Counts of one host, by the window in which a request started to run."""

from datetime import timedelta

import pytest

from bankrudder.usage import FleetTime, ReportSchedule, StoreClock, UsageCounter
from bankrudder.world import NO_WORKSPACE

SCHEDULE = ReportSchedule(timedelta(seconds=5), timedelta(seconds=10))


@pytest.fixture
def counter(manual_clock):
    time = FleetTime(StoreClock(manual_clock), list, manual_clock)
    return UsageCounter(SCHEDULE, time)


@pytest.fixture
def window(manual_clock):
    return SCHEDULE.window_at(manual_clock.wall())


def test_a_request_counts_in_the_window_in_which_it_started(
    counter, window, manual_clock
):
    counter.note_begun("north", manual_clock.monotonic())
    manual_clock.advance(7.0)
    counter.note_begun("north", manual_clock.monotonic() - 6.9)
    counter.note_begun("south", manual_clock.monotonic())
    assert counter.unsaved_windows == [window, window + 1]
    assert counter.take_counts(window) == {"north": 2}
    assert counter.take_counts(window + 1) == {"south": 1}


def test_requests_of_no_workspace_are_not_counted(counter, manual_clock):
    counter.note_begun(NO_WORKSPACE, manual_clock.monotonic())
    assert counter.unsaved_windows == []


def test_counts_marked_unsaved_are_taken_again(counter, window, manual_clock):
    counter.note_begun("north", manual_clock.monotonic())
    counter.take_counts(window)
    assert counter.unsaved_windows == []
    counter.mark_unsaved(window)
    counter.note_begun("north", manual_clock.monotonic())
    assert counter.take_counts(window) == {"north": 2}


def test_unsaved_counts_are_not_discarded(counter, window, manual_clock):
    counter.note_begun("north", manual_clock.monotonic())
    counter.discard_before(window + 100)
    assert counter.take_counts(window) == {"north": 1}
    counter.discard_before(window + 100)
    assert counter.take_counts(window) == {}

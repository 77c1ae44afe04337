"""Counts of one host, by the window in which a request started to run."""

from datetime import timedelta

import pytest

from bankrudder.usage import StoreClock, TrueTime, UsageBook, UsageTerms
from bankrudder.world import NO_WORKSPACE

TERMS = UsageTerms(timedelta(seconds=5), timedelta(seconds=10))


@pytest.fixture
def book(hand_clock):
    time = TrueTime(StoreClock(hand_clock), list, hand_clock)
    return UsageBook(TERMS, time)


@pytest.fixture
def window(hand_clock):
    return TERMS.window_at(hand_clock.wall())


def test_a_request_counts_in_the_window_in_which_it_started(book, window, hand_clock):
    book.note_begun("north", hand_clock.monotonic())
    hand_clock.advance(7.0)
    book.note_begun("north", hand_clock.monotonic() - 6.9)
    book.note_begun("south", hand_clock.monotonic())
    assert book.unsaved_windows == [window, window + 1]
    assert book.take_counts(window) == {"north": 2}
    assert book.take_counts(window + 1) == {"south": 1}


def test_requests_of_no_workspace_are_not_counted(book, hand_clock):
    book.note_begun(NO_WORKSPACE, hand_clock.monotonic())
    assert book.unsaved_windows == []


def test_counts_marked_unsaved_are_taken_again(book, window, hand_clock):
    book.note_begun("north", hand_clock.monotonic())
    book.take_counts(window)
    assert book.unsaved_windows == []
    book.mark_unsaved(window)
    book.note_begun("north", hand_clock.monotonic())
    assert book.take_counts(window) == {"north": 2}


def test_unsaved_counts_are_not_discarded(book, window, hand_clock):
    book.note_begun("north", hand_clock.monotonic())
    book.discard_before(window + 100)
    assert book.take_counts(window) == {"north": 1}
    book.discard_before(window + 100)
    assert book.take_counts(window) == {}

"""Counts of one host, by the window in which a request began to run."""

from datetime import timedelta

import pytest

from bankrudder.usage import StoreClock, TrueTime, UsageBook, UsageTerms
from bankrudder.world import NO_WORKSPACE

TERMS = UsageTerms(timedelta(seconds=5), timedelta(seconds=10))


@pytest.fixture
def book(manual_clock):
    time = TrueTime(StoreClock(manual_clock), list, manual_clock)
    return UsageBook(TERMS, time)


@pytest.fixture
def window(manual_clock):
    return TERMS.window_at(manual_clock.wall())


def test_a_request_counts_in_the_window_in_which_it_began(book, window, manual_clock):
    book.note_begun("north", manual_clock.monotonic())
    manual_clock.advance(7.0)
    book.note_begun("north", manual_clock.monotonic() - 6.9)
    book.note_begun("south", manual_clock.monotonic())
    assert book.changed == [window, window + 1]
    assert book.take(window) == {"north": 2}
    assert book.take(window + 1) == {"south": 1}


def test_requests_of_no_workspace_are_not_counted(book, manual_clock):
    book.note_begun(NO_WORKSPACE, manual_clock.monotonic())
    assert book.changed == []


def test_counts_that_were_not_kept_are_taken_again(book, window, manual_clock):
    book.note_begun("north", manual_clock.monotonic())
    book.take(window)
    assert book.changed == []
    book.put_back(window)
    book.note_begun("north", manual_clock.monotonic())
    assert book.take(window) == {"north": 2}


def test_counts_that_were_not_kept_yet_are_not_forgotten(book, window, manual_clock):
    book.note_begun("north", manual_clock.monotonic())
    book.forget_before(window + 100)
    assert book.take(window) == {"north": 1}
    book.forget_before(window + 100)
    assert book.take(window) == {}

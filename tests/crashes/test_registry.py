"""What is kept of ends, and that it stays bounded."""

import pytest

from bankrudder.crashes import Admission, CrashBook, Strike
from bankrudder.crashes._registry import MAX_CONTENTS, MAX_RUNS
from bankrudder.fleet import EndpointRun

HOUR_S = 3600.0


def strike(content="a", run=1, at=0.0):
    return Strike(content, EndpointRun(f"endpoint-{run}"), at, at)


@pytest.fixture
def book():
    return CrashBook()


def test_a_run_of_an_endpoint_counts_once_whoever_tells_of_it(book):
    for _ in range(5):
        book.add(strike())
    assert book.verdict("a", 0.0).strikes == 1


def test_runs_of_one_endpoint_count_each(book):
    for born in (1, 2, 3):
        book.add(Strike("a", EndpointRun("endpoint", born), 0.0, 0.0))
    assert book.verdict("a", 0.0).admission is Admission.REFUSED


def test_an_answer_clears_all(book):
    for run in range(5):
        book.add(strike(run=run))
    assert len(book.clear("a")) == 5
    assert "a" not in book
    assert book.verdict("a", 0.0).admission is Admission.FREE


def test_a_strike_that_was_wrong_is_taken_back(book):
    book.add(strike())
    assert book.remove("a", EndpointRun("endpoint-1"))
    assert not book.remove("a", EndpointRun("endpoint-1"))
    assert len(book) == 0


def test_the_oldest_contents_are_forgotten_first(book):
    forgotten = [
        each for number in range(MAX_CONTENTS + 2) for each in book.add(strike(number))
    ]
    assert len(book) == MAX_CONTENTS
    assert [each.content for each in forgotten] == [0, 1]


def test_the_oldest_runs_of_a_content_are_forgotten_first(book):
    for run in range(MAX_RUNS + 3):
        book.add(strike(run=run, at=float(run)))
    kept = {each.at for each in book.strikes("a")}
    assert kept == {float(run) for run in range(3, MAX_RUNS + 3)}


def test_what_is_old_is_forgotten_and_what_is_refused_is_kept_longer(book):
    book.add(strike("few"))
    for run in range(3):
        book.add(strike("many", run))
    assert book.clear_outdated(5 * HOUR_S) == []
    assert {each.content for each in book.clear_outdated(7 * HOUR_S)} == {"few"}
    assert {each.content for each in book.clear_outdated(25 * HOUR_S)} == {"many"}
    assert len(book) == 0

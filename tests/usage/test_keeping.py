"""Rows of usage: each run of a host writes its own, a report's body never changes."""

from datetime import timedelta

import pytest

from bankrudder.store import ABSENT, StoreUnavailableError
from bankrudder.usage import (
    StoreClock,
    TrueTime,
    UsageBook,
    UsageKeeper,
    UsageRows,
    UsageTerms,
)
from bankrudder.world import SystemClock
from hand_clock import HandClock
from outside.store import GateMode

WINDOW = 340_000_000
TERMS = UsageTerms(timedelta(seconds=5), timedelta(seconds=10))


@pytest.fixture
def usage(store):
    return UsageRows(store, SystemClock())


async def test_counts_of_all_runs_are_added_up(usage):
    await usage.put_counts(WINDOW, "a.1", {"north": 2, "south": 1}, ABSENT)
    await usage.put_counts(WINDOW, "a.2", {"north": 3}, ABSENT)
    await usage.put_counts(WINDOW + 1, "a.2", {"north": 9}, ABSENT)
    assert await usage.counts(WINDOW) == {"north": 5, "south": 1}
    assert await usage.counts(WINDOW - 1) == {}
    assert await usage.counted() == [WINDOW, WINDOW + 1]


async def test_counts_replace_those_of_the_same_run(usage):
    version = await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    await usage.put_counts(WINDOW, "a.1", {"north": 5}, version)
    assert await usage.counts(WINDOW) == {"north": 5}


@pytest.mark.parametrize("lost", ["lose_replies", "delay_commits"])
async def test_a_lost_reply_counts_nothing_twice(usage, gate, lost):
    version = await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    setattr(gate, lost, 1)
    version = await usage.put_counts(WINDOW, "a.1", {"north": 5}, version)
    await usage.put_counts(WINDOW, "a.1", {"north": 6}, version)
    if lost == "delay_commits":
        gate.apply_delayed()
    assert await usage.counts(WINDOW) == {"north": 6}


async def test_a_window_is_settled_once(usage):
    first = await usage.settle(WINDOW, {"north": 2})
    second = await usage.settle(WINDOW, {"north": 3})
    assert second == first
    assert first.row.counts == {"north": 2}


async def test_a_report_that_was_made_is_noted_and_its_counts_go(usage):
    await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    report = await usage.settle(WINDOW, {"north": 2})
    await usage.note_done(report)
    [kept] = await usage.reports()
    assert kept.row.is_done
    assert kept.row.counts == {"north": 2}
    assert await usage.counts(WINDOW) == {}


async def test_old_reports_are_removed(usage):
    for number in range(5):
        await usage.settle(WINDOW + number, {})
    await usage.put_counts(WINDOW, "late.1", {"north": 1}, ABSENT)
    await usage.put_counts(WINDOW + 4, "a.1", {"north": 1}, ABSENT)
    await usage.drop_before(WINDOW + 3)
    assert await usage.counted() == [WINDOW + 4]
    assert [each.window for each in await usage.reports()] == [WINDOW + 3, WINDOW + 4]


@pytest.fixture
def clock():
    return HandClock()


@pytest.fixture
def book(clock):
    return UsageBook(TERMS, TrueTime(StoreClock(clock), list, clock))


@pytest.fixture
def keeper(book, usage):
    return UsageKeeper(book, usage, "a", "1", lambda: 1)


async def test_a_request_that_ends_late_is_added_to_its_window(
    keeper, book, usage, clock
):
    # Began in the window before those that are written while it runs.
    window = TERMS.window_at(clock.wall())
    slow_began = clock.monotonic()
    for _ in range(3):
        book.note_begun("north", clock.monotonic())
    await keeper.keep()
    clock.advance(5.0)
    book.note_begun("north", clock.monotonic())
    await keeper.keep()
    clock.advance(1.0)
    book.note_begun("south", clock.monotonic())
    await keeper.keep()
    book.note_begun("north", slow_began)
    await keeper.keep()
    assert await usage.counts(window) == {"north": 4}
    assert await usage.counts(window + 1) == {"north": 1, "south": 1}


async def test_a_keeper_forgets_windows_whose_reports_have_been_made(
    keeper, book, clock
):
    window = TERMS.window_at(clock.wall())
    for _ in range(10):
        book.note_begun("north", clock.monotonic())
        await keeper.keep()
        clock.advance(5.0)
    book.note_begun("north", clock.monotonic())
    await keeper.keep()
    assert [book.take(window + k) for k in range(8)] == [{}] * 8
    assert book.take(window + 9) == {"north": 1}


async def test_without_the_store_nothing_is_taken_for_kept(usage, gate):
    gate.mode = GateMode.BUSY
    with pytest.raises(StoreUnavailableError):
        await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    with pytest.raises(StoreUnavailableError):
        await usage.settle(WINDOW, {"north": 2})

"""Stored counts and reports: one row per run of a host; report bodies never change."""

from datetime import timedelta

import pytest

from bankrudder.store import ABSENT, StoreUnavailableError
from bankrudder.usage import (
    FleetTime,
    ReportSchedule,
    StoreClock,
    UsageCounter,
    UsageRows,
    UsageWriter,
)
from bankrudder.world import SystemClock
from manual_clock import ManualClock
from outside.store import GateMode

WINDOW = 340_000_000
SCHEDULE = ReportSchedule(timedelta(seconds=5), timedelta(seconds=10))


@pytest.fixture
def usage(store):
    return UsageRows(store, SystemClock())


async def test_counts_of_all_runs_are_added_up(usage):
    await usage.put_counts(WINDOW, "a.1", {"north": 2, "south": 1}, ABSENT)
    await usage.put_counts(WINDOW, "a.2", {"north": 3}, ABSENT)
    await usage.put_counts(WINDOW + 1, "a.2", {"north": 9}, ABSENT)
    assert await usage.counts(WINDOW) == {"north": 5, "south": 1}
    assert await usage.counts(WINDOW - 1) == {}
    assert await usage.counted_windows() == [WINDOW, WINDOW + 1]


async def test_counts_replace_those_of_the_same_run(usage):
    version = await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    await usage.put_counts(WINDOW, "a.1", {"north": 5}, version)
    assert await usage.counts(WINDOW) == {"north": 5}


@pytest.mark.parametrize("fault", ["lose_replies", "delay_commits"])
async def test_a_lost_reply_does_not_count_requests_twice(usage, gate, fault):
    version = await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    setattr(gate, fault, 1)
    version = await usage.put_counts(WINDOW, "a.1", {"north": 5}, version)
    await usage.put_counts(WINDOW, "a.1", {"north": 6}, version)
    if fault == "delay_commits":
        gate.apply_delayed()
    assert await usage.counts(WINDOW) == {"north": 6}


async def test_only_the_first_report_of_a_window_is_stored(usage):
    first = await usage.settle(WINDOW, {"north": 2})
    second = await usage.settle(WINDOW, {"north": 3})
    assert second == first
    assert first.row.counts == {"north": 2}


async def test_counts_are_removed_once_their_report_is_accepted(usage):
    await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    report = await usage.settle(WINDOW, {"north": 2})
    await usage.record_answer(report)
    [kept] = await usage.reports()
    assert kept.row.is_done
    assert kept.row.counts == {"north": 2}
    assert await usage.counts(WINDOW) == {}


async def test_old_reports_are_removed(usage):
    for number in range(5):
        await usage.settle(WINDOW + number, {})
    await usage.put_counts(WINDOW, "late.1", {"north": 1}, ABSENT)
    await usage.put_counts(WINDOW + 4, "a.1", {"north": 1}, ABSENT)
    await usage.remove_before(WINDOW + 3)
    assert await usage.counted_windows() == [WINDOW + 4]
    assert [each.window for each in await usage.reports()] == [WINDOW + 3, WINDOW + 4]


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def counter(clock):
    return UsageCounter(SCHEDULE, FleetTime(StoreClock(clock), list, clock))


@pytest.fixture
def usage_writer(counter, usage):
    return UsageWriter(counter, usage, "a", "1", lambda: 1)


async def test_a_request_that_ends_late_is_added_to_its_window(
    usage_writer, counter, usage, clock
):
    # The slow request starts in the first window and ends after later windows were
    # written.
    window = SCHEDULE.window_at(clock.wall())
    slow_began_at = clock.monotonic()
    for _ in range(3):
        counter.note_begun("north", clock.monotonic())
    await usage_writer.write_unsaved()
    clock.advance(5.0)
    counter.note_begun("north", clock.monotonic())
    await usage_writer.write_unsaved()
    clock.advance(1.0)
    counter.note_begun("south", clock.monotonic())
    await usage_writer.write_unsaved()
    counter.note_begun("north", slow_began_at)
    await usage_writer.write_unsaved()
    assert await usage.counts(window) == {"north": 4}
    assert await usage.counts(window + 1) == {"north": 1, "south": 1}


async def test_counts_of_overdue_windows_are_discarded(usage_writer, counter, clock):
    window = SCHEDULE.window_at(clock.wall())
    for _ in range(10):
        counter.note_begun("north", clock.monotonic())
        await usage_writer.write_unsaved()
        clock.advance(5.0)
    counter.note_begun("north", clock.monotonic())
    await usage_writer.write_unsaved()
    assert [counter.take_counts(window + k) for k in range(8)] == [{}] * 8
    assert counter.take_counts(window + 9) == {"north": 1}


async def test_writes_raise_while_the_store_is_unavailable(usage, gate):
    gate.mode = GateMode.BUSY
    with pytest.raises(StoreUnavailableError):
        await usage.put_counts(WINDOW, "a.1", {"north": 2}, ABSENT)
    with pytest.raises(StoreUnavailableError):
        await usage.settle(WINDOW, {"north": 2})


async def test_odd_rows_of_counts_and_reports_are_passed_over(usage, rows):
    """One of them ended the reporting of all windows."""
    await usage.put_counts(7, "a.1", {"north": 2}, 0)
    for part, key in (("7", "odd"), ("odd", "x"), ("\u0667", "y"), ("9" * 99, "z")):
        rows.commit([], [(("usage", part, key), b'{"north": -1}')], [])
    for key in ("odd", "9" * 99, "000000000009"):
        rows.commit([], [(("usage_reports", "", key), b"[" * 9000)], [])
    assert await usage.counts(7) == {"north": 2}
    assert await usage.counted_windows() == [7]
    assert await usage.reports() == []
    settled = await usage.settle(9, {"north": 3})
    assert [(each.window, each.row.counts) for each in await usage.reports()] == [
        (9, {"north": 3})
    ]
    await usage.record_answer(settled)
    assert (await usage.reports())[0].row.is_done

"""The cache answers only reads for which its reader sent all changes recently."""

import asyncio

import pytest

from bankrudder.feeds import (
    FeedCache,
    FeedChanges,
    FeedHeartbeat,
    FeedPublisher,
    RelayedRow,
    RowReference,
)
from bankrudder.feeds._cache import MAX_READ_AGE_S, SILENCE_LIMIT_S
from bankrudder.store import Changes, RemovedRow, Row, RowKey

ROW_KEY = RowKey("hosts", "", "h1")
OTHER_ROW_KEY = RowKey("hosts", "", "h2")


@pytest.fixture
def cache(manual_clock):
    return FeedCache(manual_clock)


def changes(number, after, version, rows=(), touched=(), removed=()):
    return FeedChanges(
        number,
        "hosts",
        after,
        version,
        tuple(RelayedRow(*row) for row in rows),
        tuple(RowReference(*row) for row in touched),
        tuple(RowReference(*row) for row in removed),
    )


async def test_changes_since_a_version_are_returned(cache):
    cache.apply(changes(1, 10, 12, rows=[(ROW_KEY, 11, b"a")]))
    cache.apply(
        changes(2, 12, 14, rows=[(OTHER_ROW_KEY, 13, b"b")], removed=[(ROW_KEY, 14)])
    )
    cached = await cache.changes_since("hosts", 11, 0.0)
    assert cached == Changes(
        (Row(OTHER_ROW_KEY, 13, b"b"), RemovedRow(ROW_KEY, 14)), 14
    )
    assert await cache.changes_since("hosts", 14, 0.0) == Changes((), 14)


async def test_a_version_before_the_cached_changes_is_a_miss(cache):
    cache.apply(changes(1, 10, 12))
    assert await cache.changes_since("hosts", 9, 0.0) is None
    assert await cache.changes_since("another", 11, 0.0) is None


async def test_a_host_that_read_a_newer_version_itself_gets_no_older_changes(cache):
    cache.apply(changes(1, 10, 12))
    assert await cache.changes_since("hosts", 15, 0.0) == Changes((), 15)
    cache.apply(
        changes(2, 12, 17, rows=[(ROW_KEY, 14, b"a"), (OTHER_ROW_KEY, 16, b"b")])
    )
    assert await cache.changes_since("hosts", 15, 0.0) == Changes(
        (Row(OTHER_ROW_KEY, 16, b"b"),), 17
    )


async def test_new_changes_end_a_wait(cache):
    cache.apply(changes(1, 10, 12))
    waiting = asyncio.ensure_future(cache.changes_since("hosts", 12, 5.0))
    await asyncio.sleep(0.01)
    cache.apply(changes(2, 12, 13, rows=[(ROW_KEY, 13, b"a")]))
    assert (await waiting).version == 13


async def test_versions_before_a_lost_message_are_a_miss(cache):
    cache.apply(changes(1, 10, 12))
    cache.apply(changes(3, 14, 15))
    assert await cache.changes_since("hosts", 12, 0.0) is None
    assert await cache.changes_since("hosts", 14, 0.0) == Changes((), 15)


async def test_versions_before_a_version_gap_are_a_miss(cache):
    cache.apply(changes(1, 10, 12))
    cache.apply(changes(2, 13, 15))
    assert await cache.changes_since("hosts", 12, 0.0) is None


async def test_a_silent_reader_makes_the_cache_miss(cache, manual_clock):
    cache.apply(changes(1, 10, 12))
    manual_clock.advance(SILENCE_LIMIT_S - 0.1)
    assert await cache.changes_since("hosts", 12, 0.0) is not None
    manual_clock.advance(0.2)
    assert await cache.changes_since("hosts", 12, 0.0) is None
    cache.apply(FeedHeartbeat(2, {"hosts": 0.1}))
    assert await cache.changes_since("hosts", 12, 0.0) is not None


async def test_old_reads_of_the_reader_make_the_cache_miss(cache, manual_clock):
    cache.apply(changes(1, 10, 12))
    cache.apply(FeedHeartbeat(2, {"hosts": MAX_READ_AGE_S - 0.1}))
    assert await cache.changes_since("hosts", 12, 0.0) is not None
    manual_clock.advance(0.2)
    assert await cache.changes_since("hosts", 12, 0.0) is None


async def test_a_wait_ends_when_the_reader_goes_silent(cache, manual_clock):
    cache.apply(changes(1, 10, 12))
    waiting = asyncio.ensure_future(cache.changes_since("hosts", 12, 60.0))
    await asyncio.sleep(0.01)
    manual_clock.advance(SILENCE_LIMIT_S + 0.1)
    assert await asyncio.wait_for(waiting, 2.0) is None


async def test_a_touched_row_has_its_known_value(cache):
    cache.remember(Row(ROW_KEY, 5, b"known"))
    cache.apply(changes(1, 10, 12, touched=[(ROW_KEY, 11)]))
    cached = await cache.changes_since("hosts", 10, 0.0)
    assert cached.changes == (Row(ROW_KEY, 11, b"known"),)


async def test_a_touched_row_does_not_have_the_value_of_a_late_read(cache):
    """A read that was answered late gave a row its earlier value back."""
    cache.apply(changes(1, 10, 12, rows=[(ROW_KEY, 11, b"new")]))
    cache.remember(Row(ROW_KEY, 5, b"old"))
    cache.apply(changes(2, 12, 14, touched=[(ROW_KEY, 13)]))
    cached = await cache.changes_since("hosts", 12, 0.0)
    assert cached.changes == (Row(ROW_KEY, 13, b"new"),)


async def test_a_touched_row_of_unknown_value_makes_the_cache_miss(cache):
    cache.apply(changes(1, 10, 12, touched=[(ROW_KEY, 11)]))
    assert await cache.changes_since("hosts", 10, 0.0) is None
    assert await cache.changes_since("hosts", 12, 0.0) is not None


def test_a_publisher_sends_values_only_if_their_content_changed(manual_clock):
    sent = []
    publisher = FeedPublisher(
        sent.append,
        lambda row: row.value[:1],
        lambda table: table == "hosts",
        manual_clock,
    )
    publisher.publish("hosts", 10, Changes((Row(ROW_KEY, 11, b"a1"),), 11))
    publisher.publish("hosts", 11, Changes((Row(ROW_KEY, 12, b"a2"),), 12))
    publisher.publish("hosts", 12, Changes((Row(ROW_KEY, 13, b"b1"),), 13))
    publisher.publish("hosts", 13, Changes((RemovedRow(ROW_KEY, 14),), 14))
    server = RowKey("servers", "", "s")
    publisher.publish("servers", 1, Changes((Row(server, 2, b"a1"),), 2))
    publisher.publish("servers", 2, Changes((Row(server, 3, b"a2"),), 3))
    manual_clock.advance(0.5)
    publisher.send_heartbeat()
    counts = [(len(m.rows), len(m.touched), len(m.removed)) for m in sent[:-1]]
    assert counts == [(1, 0, 0), (0, 1, 0), (1, 0, 0), (0, 0, 1), (1, 0, 0), (0, 0, 0)]
    assert [message.number for message in sent] == list(range(1, 8))
    assert sent[-1].ages == {"hosts": 0.5, "servers": 0.5}

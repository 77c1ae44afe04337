"""What a subscriber may answer from what its reader sent."""

import asyncio

import pytest

from bankrudder.feeds import (
    FeedBeat,
    FeedCache,
    FeedChanges,
    FeedPublisher,
    RelayedRow,
    TouchedRow,
)
from bankrudder.feeds._cache import MAX_AGE_S, SILENCE_S
from bankrudder.store import Changes, RemovedRow, Row, RowKey

KEY = RowKey("hosts", "", "h1")
OTHER = RowKey("hosts", "", "h2")


@pytest.fixture
def cache(hand_clock):
    return FeedCache(hand_clock)


def changes(number, after, version, rows=(), touched=(), removed=()):
    return FeedChanges(
        number,
        "hosts",
        after,
        version,
        tuple(RelayedRow(*row) for row in rows),
        tuple(TouchedRow(*row) for row in touched),
        tuple(TouchedRow(*row) for row in removed),
    )


async def test_changes_since_a_version_are_answered(cache):
    cache.take(changes(1, 10, 12, rows=[(KEY, 11, b"a")]))
    cache.take(changes(2, 12, 14, rows=[(OTHER, 13, b"b")], removed=[(KEY, 14)]))
    found = await cache.next("hosts", 11, 0.0)
    assert found == Changes((Row(OTHER, 13, b"b"), RemovedRow(KEY, 14)), 14)
    assert await cache.next("hosts", 14, 0.0) == Changes((), 14)


async def test_a_version_before_what_is_held_is_not_answered(cache):
    cache.take(changes(1, 10, 12))
    assert await cache.next("hosts", 9, 0.0) is None
    assert await cache.next("another", 11, 0.0) is None


async def test_a_host_that_read_further_itself_waits_for_its_reader(cache):
    cache.take(changes(1, 10, 12))
    assert await cache.next("hosts", 15, 0.0) == Changes((), 15)
    cache.take(changes(2, 12, 17, rows=[(KEY, 14, b"a"), (OTHER, 16, b"b")]))
    assert await cache.next("hosts", 15, 0.0) == Changes((Row(OTHER, 16, b"b"),), 17)


async def test_news_end_a_wait(cache):
    cache.take(changes(1, 10, 12))
    waiting = asyncio.ensure_future(cache.next("hosts", 12, 5.0))
    await asyncio.sleep(0.01)
    cache.take(changes(2, 12, 13, rows=[(KEY, 13, b"a")]))
    assert (await waiting).version == 13


async def test_after_a_lost_message_nothing_before_it_is_answered(cache):
    cache.take(changes(1, 10, 12))
    cache.take(changes(3, 14, 15))
    assert await cache.next("hosts", 12, 0.0) is None
    assert await cache.next("hosts", 14, 0.0) == Changes((), 15)


async def test_a_gap_between_versions_is_not_passed_over(cache):
    cache.take(changes(1, 10, 12))
    cache.take(changes(2, 13, 15))
    assert await cache.next("hosts", 12, 0.0) is None


async def test_a_silent_reader_is_not_relied_on(cache, hand_clock):
    cache.take(changes(1, 10, 12))
    hand_clock.advance(SILENCE_S - 0.1)
    assert await cache.next("hosts", 12, 0.0) is not None
    hand_clock.advance(0.2)
    assert await cache.next("hosts", 12, 0.0) is None
    cache.take(FeedBeat(2, {"hosts": 0.1}))
    assert await cache.next("hosts", 12, 0.0) is not None


async def test_a_reader_whose_own_reads_are_old_is_not_relied_on(cache, hand_clock):
    cache.take(changes(1, 10, 12))
    cache.take(FeedBeat(2, {"hosts": MAX_AGE_S - 0.1}))
    assert await cache.next("hosts", 12, 0.0) is not None
    hand_clock.advance(0.2)
    assert await cache.next("hosts", 12, 0.0) is None


async def test_a_wait_ends_when_the_reader_falls_silent(cache, hand_clock):
    cache.take(changes(1, 10, 12))
    waiting = asyncio.ensure_future(cache.next("hosts", 12, 60.0))
    await asyncio.sleep(0.01)
    hand_clock.advance(SILENCE_S + 0.1)
    assert await asyncio.wait_for(waiting, 2.0) is None


async def test_a_touch_brings_the_value_that_is_known(cache):
    cache.note(Row(KEY, 5, b"known"))
    cache.take(changes(1, 10, 12, touched=[(KEY, 11)]))
    found = await cache.next("hosts", 10, 0.0)
    assert found.changes == (Row(KEY, 11, b"known"),)


async def test_a_touch_of_an_unknown_row_makes_the_host_read_itself(cache):
    cache.take(changes(1, 10, 12, touched=[(KEY, 11)]))
    assert await cache.next("hosts", 10, 0.0) is None
    assert await cache.next("hosts", 12, 0.0) is not None


def test_a_publisher_passes_on_what_means_something(hand_clock):
    sent = []
    publisher = FeedPublisher(
        sent.append,
        lambda row: row.value[:1],
        lambda table: table == "hosts",
        hand_clock,
    )
    publisher.publish("hosts", 10, Changes((Row(KEY, 11, b"a1"),), 11))
    publisher.publish("hosts", 11, Changes((Row(KEY, 12, b"a2"),), 12))
    publisher.publish("hosts", 12, Changes((Row(KEY, 13, b"b1"),), 13))
    publisher.publish("hosts", 13, Changes((RemovedRow(KEY, 14),), 14))
    server = RowKey("servers", "", "s")
    publisher.publish("servers", 1, Changes((Row(server, 2, b"a1"),), 2))
    publisher.publish("servers", 2, Changes((Row(server, 3, b"a2"),), 3))
    hand_clock.advance(0.5)
    publisher.beat()
    counts = [(len(m.rows), len(m.touched), len(m.removed)) for m in sent[:-1]]
    assert counts == [(1, 0, 0), (0, 1, 0), (1, 0, 0), (0, 0, 1), (1, 0, 0), (0, 0, 0)]
    assert [message.number for message in sent] == list(range(1, 8))
    assert sent[-1].ages == {"hosts": 0.5, "servers": 0.5}

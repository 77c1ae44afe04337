"""Heartbeats are written in time, whatever becomes of the answers."""

import asyncio
import time
from contextlib import asynccontextmanager, suppress

import msgspec
import pytest

from bankrudder.platform._store import PlatformStore
from bankrudder.presence._sending import MAX_UNANSWERED, HeartbeatSender, Rhythm
from bankrudder.presence._values import HOSTS_TABLE, Heartbeat, Lifetime
from bankrudder.world import HostId, SystemClock
from outside.site import until
from outside.store import GateMode

HOST = HostId("a")
LONG = Rhythm(interval_s=60.0, is_resent=False)


def compose(count):
    return Heartbeat(Lifetime("life"), count)


def sender_of(store, rhythm):
    return HeartbeatSender(store, HOST, SystemClock(), compose, lambda: rhythm)


@asynccontextmanager
async def running(sender):
    task = asyncio.ensure_future(sender.run())
    yield sender
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


def written(rows):
    """Return the number of the heartbeat in the row, zero if there is none."""
    _, value = rows.rows.get((HOSTS_TABLE, "", HOST), (0, b""))
    return msgspec.json.decode(value, type=Heartbeat).count if value else 0


async def test_a_change_is_told_at_once(rows, store):
    async with running(sender_of(store, LONG)) as sender:
        await until(lambda: written(rows) == 1)
        sender.hurry()
        await until(lambda: written(rows) == 2)


async def test_heartbeats_follow_each_other_by_the_interval(rows, store):
    async with running(sender_of(store, Rhythm(interval_s=0.1, is_resent=False))):
        await until(lambda: written(rows) >= 5, 5.0)


class StuckStore:
    """A store whose commits are never answered."""

    def __init__(self):
        self.commits = 0

    async def commit(self, transaction):
        self.commits += 1
        await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("is_resent", "sent"), [(True, MAX_UNANSWERED), (False, 1)], ids=["busy", "idle"]
)
async def test_only_a_busy_host_sends_again_without_an_answer(is_resent, sent):
    store = StuckStore()
    rhythm = Rhythm(interval_s=60.0, is_resent=is_resent)
    async with running(sender_of(store, rhythm)):
        await until(lambda: store.commits >= sent, 5.0)
        await asyncio.sleep(0.5)
        assert store.commits == sent


async def test_a_heartbeat_that_was_not_written_is_soon_sent_again(gate, rows, store):
    gate.mode = GateMode.BUSY
    async with running(sender_of(store, LONG)) as sender:
        await until(lambda: sender.fails)
        gate.mode = GateMode.OPEN
        await until(lambda: not sender.fails, 5.0)
        assert written(rows) > 0


async def test_a_heartbeat_whose_reply_hangs_is_soon_sent_again(gate, rows, store):
    # The failure shows only while the host, idle for long, waits for the next one.
    gate.hang_replies = True
    async with running(sender_of(store, LONG)) as sender:
        await until(lambda: written(rows) == 1)
        gate.hang_replies = False
        await until(lambda: sender.fails, 3.0)
        await until(lambda: written(rows) == 2, 3.0)
        await until(lambda: not sender.fails)


async def test_heartbeats_that_are_not_written_come_no_more_often_than_usual(gate):
    store = PlatformStore.from_config(gate.address)
    gate.mode = GateMode.BUSY
    rhythm = Rhythm(interval_s=1.0, is_resent=False)
    try:
        async with running(sender_of(store, rhythm)) as sender:
            # One at once, one after half a second, and then one each second.
            await until(lambda: sender.count >= 3, 5.0)
            started = time.monotonic()
            await until(lambda: sender.count >= 5, 5.0)
            assert time.monotonic() - started > 1.5
    finally:
        await store.close()


async def test_a_run_is_announced_once_the_store_answered(gate, store):
    sender = sender_of(store, LONG)
    assert not sender.was_answered
    gate.mode = GateMode.BUSY
    await sender.send()
    assert sender.was_answered


async def test_writes_that_fail_are_known_until_they_work_again(gate, store):
    sender = sender_of(store, LONG)
    gate.mode = GateMode.BUSY
    await sender.send()
    assert sender.fails
    gate.mode = GateMode.OPEN
    await sender.send()
    assert not sender.fails
    assert sender.works_since > 0

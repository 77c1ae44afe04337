"""Heartbeats are written in time even if answers are late, lost or negative."""

import asyncio
import time
from contextlib import asynccontextmanager, suppress

import msgspec
import pytest

from bankrudder.platform._store import PlatformStore
from bankrudder.presence._sending import (
    MAX_UNANSWERED,
    HeartbeatSchedule,
    HeartbeatSender,
)
from bankrudder.presence._values import HOSTS_TABLE, Heartbeat, Lifetime
from bankrudder.world import HostId, SystemClock
from outside.site import until
from outside.store import GateMode

HOST = HostId("a")
LONG_SCHEDULE = HeartbeatSchedule(interval_s=60.0, should_resend=False)


def make_heartbeat(count):
    return Heartbeat(Lifetime("life"), count)


def make_sender(store, schedule):
    return HeartbeatSender(store, HOST, SystemClock(), make_heartbeat, lambda: schedule)


@asynccontextmanager
async def run_sender(sender):
    task = asyncio.ensure_future(sender.run())
    yield sender
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


def stored_count(rows):
    """Return the number of the heartbeat in the row, 0 if there is none."""
    _, value = rows.rows.get((HOSTS_TABLE, "", HOST), (0, b""))
    return msgspec.json.decode(value, type=Heartbeat).count if value else 0


async def test_a_requested_heartbeat_is_sent_at_once(rows, store):
    async with run_sender(make_sender(store, LONG_SCHEDULE)) as sender:
        await until(lambda: stored_count(rows) == 1)
        sender.request_send()
        await until(lambda: stored_count(rows) == 2)


async def test_heartbeats_are_sent_at_the_interval(rows, store):
    async with run_sender(
        make_sender(store, HeartbeatSchedule(interval_s=0.1, should_resend=False))
    ):
        await until(lambda: stored_count(rows) >= 5, 5.0)


class UnansweringStore:
    """A store whose commits are never answered."""

    def __init__(self):
        self.commits = 0

    async def commit(self, transaction):
        self.commits += 1
        await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("should_resend", "sent"),
    [(True, MAX_UNANSWERED), (False, 1)],
    ids=["busy", "idle"],
)
async def test_only_a_busy_host_resends_without_an_answer(should_resend, sent):
    store = UnansweringStore()
    schedule = HeartbeatSchedule(interval_s=60.0, should_resend=should_resend)
    async with run_sender(make_sender(store, schedule)):
        await until(lambda: store.commits >= sent, 5.0)
        await asyncio.sleep(0.5)
        assert store.commits == sent


async def test_a_heartbeat_that_was_not_written_is_resent_early(gate, rows, store):
    gate.mode = GateMode.BUSY
    async with run_sender(make_sender(store, LONG_SCHEDULE)) as sender:
        await until(lambda: sender.is_failing)
        gate.mode = GateMode.OPEN
        await until(lambda: not sender.is_failing, 5.0)
        assert stored_count(rows) > 0


async def test_a_heartbeat_whose_reply_fails_late_is_resent_early(gate, rows, store):
    # The failure becomes known only while the idle host waits to send the next one.
    gate.hang_replies = True
    async with run_sender(make_sender(store, LONG_SCHEDULE)) as sender:
        await until(lambda: stored_count(rows) == 1)
        gate.hang_replies = False
        await until(lambda: sender.is_failing, 3.0)
        await until(lambda: stored_count(rows) == 2, 3.0)
        await until(lambda: not sender.is_failing)


async def test_failing_heartbeats_are_not_sent_more_often_than_usual(gate):
    store = PlatformStore.from_config(gate.address)
    gate.mode = GateMode.BUSY
    schedule = HeartbeatSchedule(interval_s=1.0, should_resend=False)
    try:
        async with run_sender(make_sender(store, schedule)) as sender:
            # The first is sent at once, the second after 0.5 s, then one every second.
            await until(lambda: sender.count >= 3, 5.0)
            started = time.monotonic()
            await until(lambda: sender.count >= 5, 5.0)
            assert time.monotonic() - started > 1.5
    finally:
        await store.close()


async def test_a_sender_is_answered_once_the_store_replies(gate, store):
    sender = make_sender(store, LONG_SCHEDULE)
    assert not sender.was_answered
    gate.mode = GateMode.BUSY
    await sender.send()
    assert sender.was_answered


async def test_a_sender_is_failing_until_a_write_succeeds(gate, store):
    sender = make_sender(store, LONG_SCHEDULE)
    gate.mode = GateMode.BUSY
    await sender.send()
    assert sender.is_failing
    gate.mode = GateMode.OPEN
    await sender.send()
    assert not sender.is_failing
    assert sender.recovered_at > 0

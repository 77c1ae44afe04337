"""Waiting and hung calls resume as soon as an outage of the store ends."""

import asyncio
import time

import pytest

from bankrudder.store import (
    Committed,
    Expectation,
    NotCommitted,
    Page,
    Put,
    RecoveringStore,
    RowKey,
    StoreErrorKind,
    StoreUnavailableError,
    Transaction,
)
from bankrudder.store._recovering import HUNG_CALL_GRACE_S, MAX_WAIT_S
from bankrudder.world import SystemClock
from outside.site import until
from outside.store import GateMode

KEY = RowKey("results", "batch", "0")
TRANSACTION = Transaction((Expectation(KEY, 0),), (Put(KEY, b"x"),))
RESUME_LIMIT_S = 0.45
"""Time of a few probe pauses, far below the timeout of a call."""


@pytest.fixture
def recovering(store):
    return RecoveringStore(store, SystemClock())


async def start_outage(store):
    """Make calls fail until the outage is detected."""
    for _ in range(2):
        with pytest.raises(StoreUnavailableError):
            await store.read("results", "batch")


@pytest.mark.parametrize("mode", [GateMode.SILENT, GateMode.BUSY, GateMode.RESET])
async def test_waiting_calls_are_carried_out_after_an_outage(recovering, gate, mode):
    gate.mode = mode
    await start_outage(recovering)
    write = asyncio.ensure_future(recovering.commit(TRANSACTION))
    read = asyncio.ensure_future(recovering.read("results", "other"))
    await asyncio.sleep(0.2)
    gate.mode = GateMode.OPEN
    returned_at = time.monotonic()
    assert isinstance(await write, Committed)
    assert (await read).rows == ()
    assert time.monotonic() - returned_at < RESUME_LIMIT_S


async def test_a_call_that_waits_too_long_is_not_committed(recovering, gate, rows):
    gate.mode = GateMode.SILENT
    await start_outage(recovering)
    began = time.monotonic()
    assert isinstance(await recovering.commit(TRANSACTION), NotCommitted)
    assert time.monotonic() - began < MAX_WAIT_S + 0.5
    gate.mode = GateMode.OPEN
    await until(lambda: not recovering._detector.is_out)
    assert not rows.rows


async def test_hung_calls_are_abandoned_after_an_outage(recovering, gate):
    gate.mode = GateMode.SILENT
    hanging = asyncio.ensure_future(recovering.follow("results", 0, 30.0))
    await start_outage(recovering)
    gate.mode = GateMode.OPEN
    returned_at = time.monotonic()
    with pytest.raises(StoreUnavailableError):
        await hanging
    assert time.monotonic() - returned_at < RESUME_LIMIT_S


async def test_lost_replies_beside_answered_calls_are_no_outage(recovering, gate):
    gate.hang_replies = True
    lost = [
        asyncio.ensure_future(recovering.commit(Transaction(puts=(Put(KEY, b"x"),))))
        for _ in range(3)
    ]
    await until(lambda: len(gate.calls) >= 3)
    gate.hang_replies = False
    await recovering.read("results", "batch")
    await asyncio.gather(*lost)
    assert not recovering._detector.is_out


async def test_rejected_commits_are_no_outage(recovering, gate):
    gate.rejects_after_delay = True
    for _ in range(3):
        assert isinstance(await recovering.commit(TRANSACTION), NotCommitted)
    gate.rejects_after_delay = False
    assert isinstance(await recovering.commit(TRANSACTION), Committed)


class SlowCancellationStore:
    """A store whose feed reads take 0.5 s to end once they are cancelled."""

    def __init__(self):
        self.is_away = False

    async def follow(self, table, after, wait_s):
        try:
            await asyncio.sleep(60)
        finally:
            await asyncio.sleep(0.5)

    async def read(self, table, part, start="", end="", limit=500):
        if self.is_away:
            raise StoreUnavailableError(StoreErrorKind.BUSY)
        return Page((), 1, False)


async def test_a_call_still_being_cancelled_does_not_break_the_next_outage():
    store = SlowCancellationStore()
    recovering = RecoveringStore(store, SystemClock())
    hanging = []
    for _ in range(2):
        hanging.append(asyncio.ensure_future(recovering.follow("results", 0, 30.0)))
        await asyncio.sleep(0)
        store.is_away = True
        await start_outage(recovering)
        store.is_away = False
        await recovering.read("results", "batch")
        # After this pause the first call is being cancelled.
        await asyncio.sleep(HUNG_CALL_GRACE_S + 0.05)
    for each in hanging:
        with pytest.raises(StoreUnavailableError):
            await asyncio.wait_for(each, 5.0)

"""Calls go on when the store returns, whatever they were waiting for."""

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
    StoreTrouble,
    StoreUnavailableError,
    Transaction,
)
from bankrudder.store._recovering import ABANDON_S, MAX_WAIT_S
from bankrudder.world import SystemClock
from outside.site import until
from outside.store import GateMode

KEY = RowKey("results", "batch", "0")
WRITE = Transaction((Expectation(KEY, 0),), (Put(KEY, b"x"),))
AT_ONCE_S = 0.45
"""A few probes' pauses: far less than the timeout of a call."""


@pytest.fixture
def recovering(store):
    return RecoveringStore(store, SystemClock())


async def lose(store):
    """Let calls fail until the outage is known."""
    for _ in range(2):
        with pytest.raises(StoreUnavailableError):
            await store.read("results", "batch")


@pytest.mark.parametrize("mode", [GateMode.SILENT, GateMode.BUSY, GateMode.RESET])
async def test_calls_that_wait_are_carried_out_at_the_return(recovering, gate, mode):
    gate.mode = mode
    await lose(recovering)
    write = asyncio.ensure_future(recovering.commit(WRITE))
    read = asyncio.ensure_future(recovering.read("results", "other"))
    await asyncio.sleep(0.2)
    gate.mode = GateMode.OPEN
    returned = time.monotonic()
    assert isinstance(await write, Committed)
    assert (await read).rows == ()
    assert time.monotonic() - returned < AT_ONCE_S


async def test_a_call_that_waits_in_vain_was_not_done(recovering, gate, rows):
    gate.mode = GateMode.SILENT
    await lose(recovering)
    began = time.monotonic()
    assert isinstance(await recovering.commit(WRITE), NotCommitted)
    assert time.monotonic() - began < MAX_WAIT_S + 0.5
    gate.mode = GateMode.OPEN
    await until(lambda: not recovering._detector.is_out)
    assert not rows.rows


async def test_calls_that_hang_are_given_up_at_the_return(recovering, gate):
    gate.mode = GateMode.SILENT
    hanging = asyncio.ensure_future(recovering.follow("results", 0, 30.0))
    await lose(recovering)
    gate.mode = GateMode.OPEN
    returned = time.monotonic()
    with pytest.raises(StoreUnavailableError):
        await hanging
    assert time.monotonic() - returned < AT_ONCE_S


async def test_lost_replies_among_others_hold_nothing_up(recovering, gate):
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


async def test_what_the_store_refuses_for_good_is_no_outage(recovering, gate):
    gate.rejects_after_delay = True
    for _ in range(3):
        assert isinstance(await recovering.commit(WRITE), NotCommitted)
    gate.rejects_after_delay = False
    assert isinstance(await recovering.commit(WRITE), Committed)


class SlowlyEndingStore:
    """A store whose feed takes a while to end when it is given up."""

    def __init__(self):
        self.is_away = False

    async def follow(self, table, after, wait_s):
        try:
            await asyncio.sleep(60)
        finally:
            await asyncio.sleep(0.5)

    async def read(self, table, part, start="", end="", limit=500):
        if self.is_away:
            raise StoreUnavailableError(StoreTrouble.BUSY)
        return Page((), 1, False)


async def test_what_is_being_given_up_does_not_hold_up_the_next_outages_calls():
    store = SlowlyEndingStore()
    recovering = RecoveringStore(store, SystemClock())
    hanging = []
    for _ in range(2):
        hanging.append(asyncio.ensure_future(recovering.follow("results", 0, 30.0)))
        await asyncio.sleep(0)
        store.is_away = True
        await lose(recovering)
        store.is_away = False
        await recovering.read("results", "batch")
        await asyncio.sleep(ABANDON_S + 0.05)  # the first one is being given up now
    for each in hanging:
        with pytest.raises(StoreUnavailableError):
            await asyncio.wait_for(each, 5.0)

"""The client of the platform's store tells its four outcomes apart."""

import pytest

from bankrudder.platform import _store
from bankrudder.store import (
    ABSENT,
    Committed,
    CommitUnknown,
    Conflict,
    Expectation,
    HistoryLostError,
    NotCommitted,
    Put,
    RemovedRow,
    RowKey,
    StoreTrouble,
    StoreUnavailableError,
    Transaction,
)
from outside.store import GateMode

KEY = RowKey("my", "p", "a")
PUT = Transaction((Expectation(KEY, ABSENT),), (Put(KEY, b"\0one"),))


async def test_a_transaction_is_applied_once(store, rows):
    rows.now_s = lambda: 1.0
    assert await store.commit(PUT) == Committed(1, 1.0)
    outcome = await store.commit(PUT)
    assert isinstance(outcome, Conflict)
    assert outcome.row(KEY).value == b"\0one"
    assert outcome.row(KEY).version == 1


async def test_refused_and_unreachable_mean_not_done(store, gate):
    gate.mode = GateMode.BUSY
    assert await store.commit(PUT) == NotCommitted(StoreTrouble.BUSY)
    await gate.stop()
    assert await store.commit(PUT) == NotCommitted(StoreTrouble.UNREACHABLE)


async def test_a_lost_reply_means_unknown(store, gate):
    gate.lose_replies = 1
    assert await store.commit(PUT) == CommitUnknown(StoreTrouble.NO_REPLY)


async def test_a_silent_store_means_unknown_after_a_time(store, gate, monkeypatch):
    monkeypatch.setattr(_store, "CALL_TIMEOUT_S", 0.1)
    gate.mode = GateMode.SILENT
    assert await store.commit(PUT) == CommitUnknown(StoreTrouble.NO_REPLY)


async def test_reads_are_ordered_and_bounded(store):
    puts = tuple(Put(RowKey("my", "p", f"k{n}"), b"%d" % n) for n in range(5))
    await store.commit(Transaction(puts=puts))
    page = await store.read("my", "p", "k1", "k4", limit=2)
    assert [row.value for row in page.rows] == [b"1", b"2"]
    assert page.has_more
    assert await store.parts("my") == ("p",)


async def test_the_feed_tells_of_removals_and_of_lost_history(store, rows):
    await store.commit(PUT)
    await store.commit(Transaction(removals=(KEY,)))
    news = await store.follow("my", ABSENT, 0.1)
    assert news.changes[-1] == RemovedRow(KEY, 2)
    rows.discard_history()
    with pytest.raises(HistoryLostError):
        await store.follow("my", ABSENT, 0.1)


async def test_an_unreadable_store_raises(store, gate):
    gate.mode = GateMode.BUSY
    with pytest.raises(StoreUnavailableError):
        await store.read("my", "p")


async def test_objects_are_written_once(store):
    assert isinstance(await store.put_object("a", b"one"), Committed)
    assert isinstance(await store.put_object("a", b"two"), Conflict)
    assert await store.get_object("a") == b"one"
    await store.drop_object("a")
    assert await store.get_object("a") is None


@pytest.mark.parametrize(
    "reply", [b"{", b'{"rows": 7}', b'{"rows":[{"table":"t","ver":1,"value":"?"}]}']
)
async def test_a_reply_that_cannot_be_understood_is_none(store, gate, reply):
    gate.garbled_reply = reply
    assert await store.commit(PUT) == CommitUnknown(StoreTrouble.NO_REPLY)
    with pytest.raises(StoreUnavailableError):
        await store.read("my", "p")
    with pytest.raises(StoreUnavailableError):
        await store.follow("my", ABSENT, 0.1)

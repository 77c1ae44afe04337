"""The client of the platform's store distinguishes the four outcomes of a commit."""

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
    StoreErrorKind,
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


async def test_a_refused_or_unsent_commit_is_not_committed(store, gate):
    gate.mode = GateMode.BUSY
    assert await store.commit(PUT) == NotCommitted(StoreErrorKind.BUSY)
    await gate.stop()
    assert await store.commit(PUT) == NotCommitted(StoreErrorKind.UNREACHABLE)


async def test_a_commit_with_a_lost_reply_has_an_unknown_outcome(store, gate):
    gate.lose_replies = 1
    assert await store.commit(PUT) == CommitUnknown(StoreErrorKind.NO_REPLY)


async def test_a_commit_to_a_silent_store_times_out_with_an_unknown_outcome(
    store, gate, monkeypatch
):
    monkeypatch.setattr(_store, "CALL_TIMEOUT_S", 0.1)
    gate.mode = GateMode.SILENT
    assert await store.commit(PUT) == CommitUnknown(StoreErrorKind.NO_REPLY)


async def test_reads_are_ordered_by_key_and_limited(store):
    puts = tuple(Put(RowKey("my", "p", f"k{n}"), b"%d" % n) for n in range(5))
    await store.commit(Transaction(puts=puts))
    page = await store.read("my", "p", "k1", "k4", limit=2)
    assert [row.value for row in page.rows] == [b"1", b"2"]
    assert page.has_more
    assert await store.parts("my") == ("p",)


async def test_the_feed_reports_removals_and_lost_history(store, rows):
    await store.commit(PUT)
    await store.commit(Transaction(removals=(KEY,)))
    feed_changes = await store.follow("my", ABSENT, 0.1)
    assert feed_changes.changes[-1] == RemovedRow(KEY, 2)
    rows.discard_history()
    with pytest.raises(HistoryLostError):
        await store.follow("my", ABSENT, 0.1)


async def test_a_refused_read_raises(store, gate):
    gate.mode = GateMode.BUSY
    with pytest.raises(StoreUnavailableError):
        await store.read("my", "p")


async def test_objects_are_written_once(store):
    assert isinstance(await store.put_object("a", b"one"), Committed)
    assert isinstance(await store.put_object("a", b"two"), Conflict)
    assert await store.get_object("a") == b"one"
    await store.drop_object("a")
    assert await store.get_object("a") is None


@pytest.mark.parametrize("name", ["a?b", "a#b", "a%3Fb", "a b/c", "a%"])
async def test_the_names_of_objects_are_kept_apart(store, gate, name):
    """A name was cut at a question mark, so that two batches had one object."""
    await store.put_object("a", b"other")
    assert isinstance(await store.put_object(name, b"one"), Committed)
    assert await store.get_object(name) == b"one"
    assert gate.rows.objects == {"a": b"other", name: b"one"}
    await store.drop_object(name)
    assert gate.rows.objects == {"a": b"other"}


async def test_an_object_that_may_be_written_is_not_reported_as_unwritten(store, gate):
    """Guards against a repetition that finds no store and hides the first write."""
    gate.ends_after_object = True
    assert isinstance(await store.put_object("a", b"one"), CommitUnknown)
    assert gate.rows.objects == {"a": b"one"}


async def test_a_commit_whose_connection_ends_is_not_repeated(store, gate):
    gate.mode = GateMode.RESET
    assert await store.commit(PUT) == CommitUnknown(StoreErrorKind.NO_REPLY)
    assert len(gate.calls) == 1


async def test_a_read_whose_connection_ends_is_repeated_once(store, gate):
    gate.mode = GateMode.RESET
    with pytest.raises(StoreUnavailableError):
        await store.read("my", "p")
    assert len(gate.calls) == 2


@pytest.mark.parametrize(
    "reply",
    [
        b"{",
        b'{"rows": 7}',
        b'{"rows":[{"table":"t","ver":1,"value":"?"}]}',
        b'{"rows":[{"table":"t","ver":-1}]}',
        b'{"ver": 99999999999999999999}',
        b'{"more": ' + b"[" * 100_000,
        b"\xff",
    ],
)
async def test_an_unreadable_reply_counts_as_no_reply(store, gate, reply):
    gate.garbled_reply = reply
    assert await store.commit(PUT) == CommitUnknown(StoreErrorKind.NO_REPLY)
    with pytest.raises(StoreUnavailableError):
        await store.read("my", "p")
    with pytest.raises(StoreUnavailableError):
        await store.follow("my", ABSENT, 0.1)

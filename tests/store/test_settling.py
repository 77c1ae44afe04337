"""A commit is never taken for done, or for not done, while that is not known."""

import pytest

from bankrudder.store import (
    ABSENT,
    Committed,
    Conflict,
    Expectation,
    NotCommitted,
    NotSettledError,
    Put,
    RowKey,
    Transaction,
    commit_settled,
)
from bankrudder.world import SystemClock
from outside.store import GateMode

KEY = RowKey("my", "p", "owner")


def taking(value, version=ABSENT):
    return Transaction((Expectation(KEY, version),), (Put(KEY, value),))


async def settled(store, value, version=ABSENT, give_up_s=2.0):
    return await commit_settled(
        store,
        taking(value, version),
        lambda conflict: any(row.value == value for row in conflict.rows),
        SystemClock(),
        give_up_s,
    )


async def test_a_commit_whose_reply_was_lost_is_found_to_be_done(store, gate, rows):
    gate.lose_replies = 1
    outcome = await settled(store, b"me")
    assert outcome == Committed(1)
    assert rows.version == 1


async def test_a_commit_that_comes_late_is_made_harmless(store, gate, rows):
    gate.delay_commits = 1
    outcome = await settled(store, b"me")
    assert isinstance(outcome, Committed)
    assert gate.apply_delayed() == 0
    assert rows.version == 1


async def test_another_writer_wins_a_conflict(store, rows):
    rows.commit([], [((KEY.table, KEY.part, KEY.key), b"other")], [])
    outcome = await settled(store, b"me")
    assert isinstance(outcome, Conflict)
    assert outcome.row(KEY).value == b"other"


async def test_a_store_that_refuses_has_surely_not_committed(store, gate, rows):
    gate.mode = GateMode.BUSY
    outcome = await settled(store, b"me", give_up_s=0.2)
    assert isinstance(outcome, NotCommitted)
    assert rows.version == 0


async def test_a_commit_that_stays_without_reply_is_not_settled(store, gate):
    gate.delay_commits = 100
    with pytest.raises(NotSettledError):
        await settled(store, b"me", give_up_s=0.2)


async def test_a_rejection_after_an_unknown_try_settles_nothing(store, gate):
    # The first try may still be carried out, whatever the store says of the second.
    gate.delay_commits = 1
    gate.rejects_after_delay = True
    with pytest.raises(NotSettledError):
        await settled(store, b"me")

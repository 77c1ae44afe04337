"""A commit is reported as committed or not committed only if that is certain."""

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


def write_transaction(value, version=ABSENT):
    return Transaction((Expectation(KEY, version),), (Put(KEY, value),))


async def commit_value(store, value, version=ABSENT, give_up_s=2.0):
    return await commit_settled(
        store,
        write_transaction(value, version),
        lambda conflict: any(row.value == value for row in conflict.rows),
        SystemClock(),
        give_up_s,
    )


async def test_a_commit_with_a_lost_reply_is_found_committed(store, gate, rows):
    gate.lose_replies = 1
    outcome = await commit_value(store, b"me")
    assert outcome == Committed(1)
    assert rows.version == 1


async def test_a_delayed_commit_cannot_take_effect_after_its_retry(store, gate, rows):
    gate.delay_commits = 1
    outcome = await commit_value(store, b"me")
    assert isinstance(outcome, Committed)
    assert gate.apply_delayed() == 0
    assert rows.version == 1


async def test_a_row_of_another_writer_is_a_conflict(store, rows):
    rows.commit([], [((KEY.table, KEY.part, KEY.key), b"other")], [])
    outcome = await commit_value(store, b"me")
    assert isinstance(outcome, Conflict)
    assert outcome.row(KEY).value == b"other"


async def test_a_refused_commit_is_not_committed(store, gate, rows):
    gate.mode = GateMode.BUSY
    outcome = await commit_value(store, b"me", give_up_s=0.2)
    assert isinstance(outcome, NotCommitted)
    assert rows.version == 0


async def test_a_commit_without_any_reply_is_not_settled(store, gate):
    gate.delay_commits = 100
    with pytest.raises(NotSettledError):
        await commit_value(store, b"me", give_up_s=0.2)


async def test_a_rejected_retry_does_not_settle_an_unknown_attempt(store, gate):
    # The first attempt may still be carried out although the second is rejected.
    gate.delay_commits = 1
    gate.rejects_after_delay = True
    with pytest.raises(NotSettledError):
        await commit_value(store, b"me")

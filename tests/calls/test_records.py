"""Records of idempotency keys: creation, completion, withdrawal and removal."""

import time

import msgspec
import pytest

from bankrudder.calls import CallRecordCleaner
from bankrudder.calls._keys import record_name, record_timestamp
from bankrudder.calls._values import CallRecord, RecordState
from bankrudder.client import new_key
from bankrudder.store import StoreUnavailableError
from bankrudder.world import SystemClock

RECORD = CallRecord(b"f" * 16, "host", "life", "attempt-1")


class ValidLease:
    is_valid = True


@pytest.fixture
def name():
    """Return the name of a record whose key is made when the test starts."""
    return record_name("broker", new_key())


async def test_only_one_of_two_attempts_creates_the_record(records, name):
    first = await records.begin(name, RECORD, 1.0)
    other = msgspec.structs.replace(RECORD, attempt="attempt-2")
    second = await records.begin(name, other, 1.0)
    assert (first.is_ours, second.is_ours) == (True, False)
    assert second.record == RECORD


@pytest.mark.parametrize("attribute", ["lose_replies", "delay_commits"])
async def test_a_record_is_ours_if_the_reply_to_its_creation_is_lost(
    records, gate, attribute, name
):
    setattr(gate, attribute, 1)
    assert (await records.begin(name, RECORD, 2.0)).is_ours


async def test_finishing_a_withdrawn_record_does_not_change_its_successor(
    records, rows, name
):
    stored = await records.begin(name, RECORD, 1.0)
    await records.withdraw(name, stored.version)
    again = msgspec.structs.replace(RECORD, attempt="attempt-2")
    await records.begin(name, again, 1.0)
    answered = msgspec.structs.replace(RECORD, state=RecordState.ANSWERED)
    await records.finish(name, stored.version, answered)
    assert (await records.read(name)).record == again


async def test_a_long_answer_is_stored_and_deleted_with_its_record(records, rows, name):
    stored = await records.begin(name, RECORD, 1.0)
    long = msgspec.structs.replace(
        RECORD, state=RecordState.ANSWERED, body=bytes(50_000)
    )
    await records.finish(name, stored.version, long)
    record = (await records.read(name)).record
    assert record.body == b""
    assert await records.body_of(record) == bytes(50_000)
    await records.delete(name)
    assert (rows.rows, rows.objects) == ({}, {})


async def test_only_records_older_than_the_retry_window_are_removed(
    records, rows, name
):
    old = record_name("broker", "00000001-0000-7000-8000-000000000000")
    for each in (old, name):
        await records.begin(each, RECORD, 1.0)
    cleaner = CallRecordCleaner(records, ValidLease(), lambda: 60.0, SystemClock())
    await cleaner.clean()
    assert await records.names() == (name,)


def test_a_record_name_contains_the_timestamp_of_its_key(name):
    assert abs(record_timestamp(name) - time.time()) < 60.0


async def test_an_odd_record_is_not_ours_and_is_removed_after_its_window(
    records, rows, name
):
    """Records with odd names or values ended each pass that removes old ones."""
    old = record_name("broker", "00000001-0000-7000-8000-000000000000")
    for part, key in ((old, "record"), (name, "record"), ("odd", "x"), ("9" * 99, "y")):
        rows.commit([], [(("calls", part, key), b"\xc1")], [])
    with pytest.raises(StoreUnavailableError):
        await records.begin(name, RECORD, 1.0)
    with pytest.raises(StoreUnavailableError):
        await records.read(name)
    await records.begin(new_name := record_name("broker", new_key()), RECORD, 1.0)
    cleaner = CallRecordCleaner(records, ValidLease(), lambda: 60.0, SystemClock())
    await cleaner.clean()
    assert sorted(await records.names()) == sorted([name, new_name, "odd", "9" * 99])


async def test_a_foreign_row_beside_a_record_is_not_taken_for_it(records, rows, name):
    rows.commit([], [(("calls", name, "a"), b"\xc1")], [])
    assert await records.read(name) is None
    assert (await records.begin(name, RECORD, 1.0)).is_ours
    assert (await records.read(name)).record == RECORD

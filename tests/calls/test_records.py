"""Records of keys: begun once, and gone when they are of no more use."""

import time

import msgspec
import pytest

from bankrudder.calls import CallCleaner
from bankrudder.calls._keys import minted_in, record_name
from bankrudder.calls._values import CallRecord, RecordState
from bankrudder.client import new_key
from bankrudder.world import SystemClock

RECORD = CallRecord(b"f" * 16, "host", "life", "attempt-1")
NAME = record_name("broker", new_key())


class HeldLease:
    is_valid = True


async def test_one_of_two_begins(records):
    first = await records.begin(NAME, RECORD, 1.0)
    other = msgspec.structs.replace(RECORD, attempt="attempt-2")
    second = await records.begin(NAME, other, 1.0)
    assert (first.is_ours, second.is_ours) == (True, False)
    assert second.record == RECORD


@pytest.mark.parametrize("attribute", ["lose_replies", "delay_commits"])
async def test_a_beginning_whose_reply_is_lost_is_still_ours(records, gate, attribute):
    setattr(gate, attribute, 1)
    assert (await records.begin(NAME, RECORD, 2.0)).is_ours


async def test_a_late_end_of_a_withdrawn_record_changes_nothing(records, rows):
    kept = await records.begin(NAME, RECORD, 1.0)
    await records.withdraw(NAME, kept.version)
    again = msgspec.structs.replace(RECORD, attempt="attempt-2")
    await records.begin(NAME, again, 1.0)
    answered = msgspec.structs.replace(RECORD, state=RecordState.ANSWERED)
    await records.finish(NAME, kept.version, answered)
    assert (await records.read(NAME)).record == again


async def test_a_long_answer_is_kept_and_forgotten_with_its_record(records, rows):
    kept = await records.begin(NAME, RECORD, 1.0)
    long = msgspec.structs.replace(
        RECORD, state=RecordState.ANSWERED, body=bytes(50_000)
    )
    await records.finish(NAME, kept.version, long)
    record = (await records.read(NAME)).record
    assert record.body == b""
    assert await records.body_of(record) == bytes(50_000)
    await records.forget(NAME)
    assert (rows.rows, rows.objects) == ({}, {})


async def test_records_go_after_their_window_and_not_before(records, rows):
    old = record_name("broker", "00000001-0000-7000-8000-000000000000")
    for name in (old, NAME):
        await records.begin(name, RECORD, 1.0)
    cleaner = CallCleaner(records, HeldLease(), lambda: 60.0, SystemClock())
    await cleaner.clean()
    assert await records.names() == (NAME,)


def test_a_name_tells_when_its_key_was_minted():
    assert abs(minted_in(NAME) - time.time()) < 60.0

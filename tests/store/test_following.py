"""A followed table stays correct despite silence, refusals and lost history."""

import asyncio
import time

import pytest
from structlog.testing import capture_logs

from bankrudder.decoding import decode_json
from bankrudder.store import TableFollower
from bankrudder.world import SystemClock
from outside.store import GateMode

APPLY_LIMIT_S = 2.0
"""Time within which the platform requires a configuration to be in force."""


@pytest.fixture
def copy():
    return {}


@pytest.fixture
async def follower(store, copy):
    follower = TableFollower(
        store,
        "op",
        SystemClock(),
        on_row=lambda row: copy.__setitem__(row.key.key, row.value),
        on_removed=lambda key: copy.pop(key.key),
    )
    task = asyncio.ensure_future(follower.run())
    yield follower
    task.cancel()


async def until(condition, limit_s=5.0):
    began = time.monotonic()
    while not condition():
        assert time.monotonic() - began < limit_s, "condition not met in time"
        await asyncio.sleep(0.01)
    return time.monotonic() - began


async def test_existing_changed_and_removed_rows_are_reported(rows, follower, copy):
    rows.put("op", "config", {"version": 1})
    await until(lambda: copy == {"config": b'{"version": 1}'})
    rows.put("op", "config", {"version": 2})
    await until(lambda: copy == {"config": b'{"version": 2}'})
    rows.remove("op", "config")
    await until(lambda: copy == {})


async def test_a_silent_connection_does_not_delay_a_configuration(
    rows, gate, follower, copy
):
    rows.put("op", "config", {"version": 1})
    await until(lambda: copy)
    gate.mode = GateMode.SILENT
    # The store now holds a read whose connection never answers.
    calls = len(gate.calls)
    await until(lambda: len(gate.calls) > calls)
    gate.mode = GateMode.OPEN
    rows.put("op", "config", {"version": 2})
    took_s = await until(lambda: copy["config"] == b'{"version": 2}', 10.0)
    assert took_s < APPLY_LIMIT_S


async def test_all_rows_are_read_again_when_history_is_lost(rows, gate, follower, copy):
    rows.put("op", "config", {"version": 1})
    rows.put("op", "version/m", {"version": 1})
    await until(lambda: len(copy) == 2)
    gate.mode = GateMode.BUSY
    await until(lambda: follower.failing_since is not None)
    rows.remove("op", "version/m")
    rows.put("op", "config", {"version": 2})
    rows.discard_history()
    gate.mode = GateMode.OPEN
    await until(lambda: copy == {"config": b'{"version": 2}'})
    assert follower.failing_since is None
    assert follower.recovered_at is not None


async def test_a_failed_read_resets_the_time_without_failures(rows, gate, follower):
    rows.put("op", "config", {"version": 1})
    assert follower.failure_free_s() == 0.0
    await until(lambda: follower.failure_free_s() > 0.3)
    gate.mode = GateMode.BUSY
    await until(lambda: follower.failing_since is not None)
    failed_at = time.monotonic()
    assert follower.failure_free_s() == 0.0
    gate.mode = GateMode.OPEN
    await until(lambda: follower.failure_free_s() > 0.0)
    assert follower.failure_free_s() <= time.monotonic() - failed_at


async def test_a_row_that_cannot_be_decoded_is_passed_over(rows, store):
    """An error of the callback ended the follower, and with it all that it fed."""
    copy = {}
    follower = TableFollower(
        store,
        "op",
        SystemClock(),
        on_row=lambda row: copy.__setitem__(row.key.key, decode_json(row.value, int)),
        on_removed=lambda key: copy.pop(key.key, None),
    )
    with capture_logs() as lines:
        task = asyncio.ensure_future(follower.run())
        rows.put("op", "odd", "text")
        rows.put("op", "good", 1)
        await until(lambda: copy == {"good": 1})
        for value in ("other text", "more text", 2):
            rows.put("op", "odd", value)
        rows.put("op", "good", 2)
        await until(lambda: copy == {"good": 2, "odd": 2})
        task.cancel()
    found = [(line["event"], line["row"]) for line in lines if "row" in line]
    assert found == [
        ("store: row not understood", "odd"),
        ("store: row readable again", "odd"),
    ]

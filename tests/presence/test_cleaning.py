"""Removal of the heartbeat rows of hosts that no longer exist."""

import asyncio

import pytest

from bankrudder.presence import HostCleaner, Presence
from bankrudder.presence._cleaning import STALE_ROW_AGE_S
from outside.site import until


@pytest.fixture
async def presence(store, manual_clock):
    presence = Presence(store, "me", "life", manual_clock)
    task = asyncio.ensure_future(presence.run())
    await until(lambda: presence.host_count() == 1)
    yield presence
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def write_heartbeat(rows, host, count=1):
    rows.put("hosts", host, {"lifetime": f"life-{host}", "count": count})


async def test_a_stale_row_is_removed_unless_its_host_returns(
    store, rows, presence, manual_clock
):
    cleaner = HostCleaner(store, presence)
    for host in ("gone", "back"):
        write_heartbeat(rows, host)
    await until(lambda: presence.host_count() == 3)
    manual_clock.advance(STALE_ROW_AGE_S - 1)
    await cleaner.clean()
    manual_clock.advance(2)
    silent = presence.silent_hosts(STALE_ROW_AGE_S)
    write_heartbeat(rows, "back", 2)  # written before the removal but not read yet
    presence.silent_hosts = lambda seconds: silent
    await cleaner.clean()
    await until(lambda: presence.host_count() == 2)
    assert {key[2] for key in rows.rows} == {"me", "back"}

"""Rows of hosts that are gone for good."""

import asyncio

import pytest

from bankrudder.presence import HostCleaner, Presence
from bankrudder.presence._cleaning import GONE_S
from outside.site import until


@pytest.fixture
async def presence(store, manual_clock):
    presence = Presence(store, "me", "life", manual_clock)
    task = asyncio.ensure_future(presence.run())
    await until(lambda: presence.host_count() == 1)
    yield presence
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def beat(rows, host, count=1):
    rows.put("hosts", host, {"lifetime": f"life-{host}", "count": count})


async def test_a_row_that_stood_still_for_long_is_removed(
    store, rows, presence, manual_clock
):
    cleaner = HostCleaner(store, presence)
    for host in ("gone", "back"):
        beat(rows, host)
    await until(lambda: presence.host_count() == 3)
    manual_clock.advance(GONE_S - 1)
    await cleaner.clean()
    manual_clock.advance(2)
    silent = presence.silent_hosts(GONE_S)
    beat(rows, "back", 2)  # before the removal, and not read yet
    presence.silent_hosts = lambda seconds: silent
    await cleaner.clean()
    await until(lambda: presence.host_count() == 2)
    assert {key[2] for key in rows.rows} == {"me", "back"}

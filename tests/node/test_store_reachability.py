"""Hosts that the store rejects report that they are not ready."""

import asyncio
import time

import pytest

from bankrudder.node._store_reachability import UNREADY_AFTER, is_store_unreachable
from outside.site import until
from outside.store import GateMode


def test_a_single_failure_does_not_count(manual_clock):
    now = manual_clock.monotonic()
    assert not is_store_unreachable(None, manual_clock)
    assert not is_store_unreachable(now, manual_clock)
    manual_clock.advance(UNREADY_AFTER.total_seconds())
    assert is_store_unreachable(now, manual_clock)


async def is_unready(host):
    return not await host.is_ready()


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.RESET, GateMode.LIMITED])
async def test_a_host_that_the_store_rejects_is_not_ready_until_it_is_served(
    site, mode
):
    cut_host, *others = site.hosts
    cut_host.gate.mode = mode
    await until(lambda: is_unready(cut_host), 3.0)
    for host in others:
        assert await host.is_ready()
    assert await site.submit(others[0], "b1") == 202
    cut_host.gate.mode = GateMode.OPEN
    await until(cut_host.is_ready, 3.0)


async def test_a_host_is_ready_again_soon_after_a_short_failure(site):
    cut_host = site.hosts[0]
    cut_host.gate.mode = GateMode.BUSY
    await asyncio.sleep(0.2)
    cut_host.gate.mode = GateMode.OPEN
    await asyncio.sleep(0.9)
    assert await cut_host.is_ready()


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.LIMITED])
async def test_a_host_without_the_store_refuses_a_batch_soon(site, mode):
    cut_host, other = site.hosts[:2]
    cut_host.gate.mode = mode
    await until(lambda: is_unready(cut_host), 3.0)
    started_at = time.monotonic()
    assert await site.submit(cut_host, "b1") == 503
    assert time.monotonic() - started_at < 1.5
    assert await site.submit(other, "b1") == 202

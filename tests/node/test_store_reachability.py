"""Hosts that the store turns away leave new requests to the others."""

import asyncio
import time

import pytest

from bankrudder.node._store_reachability import UNREADY_AFTER, is_store_unreachable
from outside.site import until
from outside.store import GateMode


def test_a_single_failure_does_not_count(hand_clock):
    now = hand_clock.monotonic()
    assert not is_store_unreachable(None, hand_clock)
    assert not is_store_unreachable(now, hand_clock)
    hand_clock.advance(UNREADY_AFTER.total_seconds())
    assert is_store_unreachable(now, hand_clock)


async def is_unready(host):
    return not await host.is_ready()


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.RESET, GateMode.LIMITED])
async def test_a_host_that_is_turned_away_is_not_ready_until_it_is_served(site, mode):
    cut, *others = site.hosts
    cut.gate.mode = mode
    await until(lambda: is_unready(cut), 3.0)
    for host in others:
        assert await host.is_ready()
    assert await site.submit(others[0], "b1") == 202
    cut.gate.mode = GateMode.OPEN
    await until(cut.is_ready, 3.0)


async def test_a_short_failure_is_over_before_the_balancer_asks_twice(site):
    cut = site.hosts[0]
    cut.gate.mode = GateMode.BUSY
    await asyncio.sleep(0.2)
    cut.gate.mode = GateMode.OPEN
    await asyncio.sleep(0.9)
    assert await cut.is_ready()


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.LIMITED])
async def test_a_batch_is_refused_soon_where_the_store_is_away_for_the_host(site, mode):
    cut, other = site.hosts[:2]
    cut.gate.mode = mode
    await until(lambda: is_unready(cut), 3.0)
    began = time.monotonic()
    assert await site.submit(cut, "b1") == 503
    assert time.monotonic() - began < 1.5
    assert await site.submit(other, "b1") == 202

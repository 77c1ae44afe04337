"""A host that is stopped as planned, as clients of the gRPC interface see it."""

import asyncio
import itertools
import json
import time
from collections import Counter

import pytest

from bankrudder.exceptions import NotRunError, OutcomeUnknownError
from bankrudder.failures import FailureReason
from outside.rpc_interface import apply, client, document
from outside.site import until

GRACE_S = 8.0
"""The grace period in the settings of the hosts."""

HIGHEST_RETRY_AFTER_S = 0.25
"""Another host is to answer soon."""

CLIENT_COUNT = 8
PAUSE_S = 0.1


def arrived_bodies(endpoints):
    return Counter(body for each in endpoints for _, _, _, body in each.arrivals)


async def call_until_gone(site, host, pool, number, answers):
    """Make calls through the host and another one until the host is gone."""
    async with client(site, hosts=[host, site.hosts[1]], timeout_s=10.0) as caller:
        await asyncio.sleep(0.25 * number)
        for count in itertools.count():
            if not host.is_running:
                return
            payload = f"{pool}-{number}-{count}".encode()
            answers[payload] = (await caller.call(pool, payload)).data
            await asyncio.sleep(PAUSE_S)


@pytest.mark.parametrize("delay_s", [1.0, 2.5])
async def test_each_call_is_answered_and_runs_once(site, delay_s):
    """Late calls are refused as not run, and answered by another host."""
    host, answers = site.hosts[0], {}
    for each in site.scorers:
        each.delay_s = delay_s
        each.slots = 1000
    async with asyncio.TaskGroup() as group:
        for number in range(CLIENT_COUNT):
            group.create_task(call_until_gone(site, host, "desk", number, answers))
        await asyncio.sleep(0.25 * CLIENT_COUNT)
        host.terminate()
        began = time.monotonic()
        await host.wait_exited(GRACE_S)
        assert time.monotonic() - began < GRACE_S, "killed at the end of the grace"
    assert answers == {payload: b"answer to " + payload for payload in answers}
    assert set(arrived_bodies(site.scorers).values()) == {1}
    assert len(answers) > CLIENT_COUNT


async def test_a_new_call_is_refused_as_not_run(site):
    [host, *_] = site.hosts
    for each in site.scorers:
        each.delay_s = 1.0
    async with client(site, hosts=[host]) as caller:
        running = asyncio.ensure_future(caller.call("desk", b"before"))
        await until(lambda: arrived_bodies(site.scorers))
        host.terminate()
        await until(lambda: "node: stop begins" in host.log_path.read_text())
        with pytest.raises(NotRunError) as caught:
            await caller.call("desk", b"after", timeout_s=0.5)
        assert caught.value.failure.reason is FailureReason.STOPPING
        assert caught.value.failure.retry_after_s <= HIGHEST_RETRY_AFTER_S
        assert (await running).data == b"answer to before"
    assert arrived_bodies(site.scorers) == {b"before": 1}


async def test_a_call_that_outlasts_the_grace_has_an_unknown_outcome(site):
    """Guards against a bare status of the transport at the end of the grace period."""
    pools = json.loads(document())["pools"]
    for each in pools:
        each["contract"]["timeout_s"] = 30.0
    assert (await apply(site, document(pools=pools), base=1)).accepted
    [host, *_] = site.hosts
    for each in site.scorers:
        each.delay_s = 2 * GRACE_S
    async with client(site, hosts=[host], timeout_s=30.0) as caller:
        running = asyncio.ensure_future(caller.call("desk", b"x"))
        await until(lambda: arrived_bodies(site.scorers))
        host.terminate()
        began = time.monotonic()
        with pytest.raises(OutcomeUnknownError) as caught:
            await running
        assert time.monotonic() - began < GRACE_S
        assert caught.value.failure.reason is FailureReason.STOPPING
        await host.wait_exited(GRACE_S)
        assert time.monotonic() - began < GRACE_S
    assert arrived_bodies(site.scorers) == {b"x": 1}
    assert not host.unhandled_errors()

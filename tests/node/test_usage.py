"""Reports of usage by daemons, and the lease of the host that makes them."""

import asyncio
import time

import pytest

from outside.duties import DutyStandIn
from outside.site import PAUSE_SIGNAL, RESUME_SIGNAL, Site, configuration, until
from outside.store import GateMode

LEASE_S = 1.0
WINDOW_S = 1.0
LATE_S = 4.0
NORTH = {"name": "north", "api_keys": ["north-1"]}
SOUTH = {"name": "south", "api_keys": ["south-1"]}


@pytest.fixture
async def platform():
    platform = await DutyStandIn(LEASE_S).start()
    yield platform
    await platform.stop()
    assert platform.faults == []


@pytest.fixture
async def site(tmp_path, platform):
    duties = platform.settings(window_s=WINDOW_S, late_s=LATE_S)
    site = Site(tmp_path, duties=duties)
    try:
        await site.start()
        site.rows.put("op", "config", configuration(2, tenants=[NORTH, SOUTH]))
        await asyncio.sleep(1.0)
        await until(lambda: bool(platform.usage), 15.0)
        yield site
    finally:
        await site.stop()


async def call(site, workspace="north", host=0, request_id="q1"):
    status, _, _ = await site.call(
        site.hosts[host],
        "POST",
        "/once/1",
        body=b"body",
        headers={
            "X-Request-Id": request_id,
            "X-Request-Deadline": "1500",
            "Authorization": f"Bearer {workspace}-1",
        },
    )
    return status


def holder_of(site, platform):
    name = platform.calls[-1][1]
    return next(each for each in site.hosts if each.name == name)


async def wait_for_reports(platform, seconds=LATE_S + 2 * WINDOW_S):
    """Wait until all windows that ended by now are reported."""
    last = int(time.time() / WINDOW_S)
    await until(lambda: max(platform.usage) >= last, 3 * seconds)


async def test_each_request_is_reported_once_for_its_workspace(site, platform):
    first_window = int(time.time() / WINDOW_S)
    for number in range(12):
        workspace = "south" if number % 4 == 0 else "north"
        assert await call(site, workspace, number % 3, f"q{number}") == 200
    await wait_for_reports(platform)
    assert platform.total("north") == 9
    assert platform.total("south") == 3
    last_window = max(platform.usage)
    assert sorted(platform.usage) == list(range(min(platform.usage), last_window + 1))
    assert all(
        not counts for window, counts in platform.usage.items() if window < first_window
    )


async def test_requests_that_did_not_run_are_not_reported(site, platform):
    for scorer in site.scorers:
        scorer.fail_next = ["full"] * 20
    assert await call(site) == 503
    await wait_for_reports(platform)
    assert platform.total("north") == 0


async def test_rollouts_are_not_reported(site, platform):
    assert await site.submit(site.hosts[0], "b1", key="north-1") == 202
    await site.read_all("b1", 8, key="north-1")
    await wait_for_reports(platform)
    assert platform.total("north") == 0


async def test_reports_continue_when_the_lease_holder_is_killed(site, platform):
    holder = holder_of(site, platform)
    others = [number for number, each in enumerate(site.hosts) if each is not holder]
    for number in range(6):
        assert await call(site, "north", others[number % 2], f"q{number}") == 200
    await holder.kill()
    await wait_for_reports(platform)
    assert platform.total("north") == 6
    assert holder_of(site, platform) is not holder


async def test_a_frozen_holder_makes_no_call_without_the_lease(site, platform):
    for _ in range(2):
        holder = holder_of(site, platform)
        holder.signal(PAUSE_SIGNAL)
        await until(lambda holder=holder: holder_of(site, platform) is not holder, 15)
        holder.signal(RESUME_SIGNAL)
        await asyncio.sleep(2 * LEASE_S)


@pytest.mark.parametrize("answers", [["lost"] * 3, [429] * 5, [503] * 3, ["silent"]])
async def test_lost_and_refused_reports_are_retried(site, platform, answers):
    platform.answers = list(answers)
    assert await call(site) == 200
    await wait_for_reports(platform)
    assert platform.total("north") == 1


async def test_reports_wait_for_the_store_and_all_go_out(site, platform):
    assert await call(site) == 200
    for host in site.hosts:
        host.gate.mode = GateMode.BUSY
    await asyncio.sleep(2 * LEASE_S)
    for host in site.hosts:
        host.gate.mode = GateMode.OPEN
    await wait_for_reports(platform)
    assert platform.total("north") == 1


async def test_reports_survive_the_loss_of_all_hosts(site, platform):
    assert await call(site) == 200
    await asyncio.sleep(1.0)
    for host in site.hosts:
        await host.kill()
    for host in site.hosts:
        await host.start()
    await site.wait_ready()
    await wait_for_reports(platform)
    assert platform.total("north") == 1


async def test_a_planned_stop_loses_no_count(site, platform):
    assert await call(site, host=1) == 200
    assert await site.hosts[1].stop() == 0
    await wait_for_reports(platform)
    assert platform.total("north") == 1

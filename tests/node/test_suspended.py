"""Suspended hosts: time passes while their monotonic clock may stand still.

With a clock that stands still, a host would take its lease and the heartbeats of others
for valid after a suspension of any length. The daemon's clock counts suspensions, so
only its timers are late.
"""

import asyncio
from itertools import pairwise

import pytest

from outside.site import Site, check_results, until

LEASE_S = 1.0


@pytest.fixture
async def suspendable_site(tmp_path):
    site = Site(tmp_path, hosts=3, suspendable=3)
    try:
        yield await site.start()
    finally:
        await site.stop()


def holder_of_lease(site):
    """Return the host that acquired the orders lease last."""
    taken = [
        (line["timestamp"], number)
        for number, host in enumerate(site.hosts)
        for line in host.log_lines()
        if line["event"] == "leases: taken"
    ]
    return site.hosts[max(taken)[1]] if taken else None


async def test_a_suspended_holder_gives_no_order_with_its_old_lease(suspendable_site):
    site = suspendable_site
    site.name_version(2)
    await until(lambda: all(engine.version == 2 for engine in site.engines))
    first = holder_of_lease(site)
    suspended = asyncio.ensure_future(first.suspend(3 * LEASE_S))
    await asyncio.sleep(2.5 * LEASE_S)
    site.name_version(3)
    await suspended
    site.name_version(4)
    await until(lambda: all(engine.version == 4 for engine in site.engines))
    assert holder_of_lease(site) is not first
    for engine in site.engines:
        for (at, holder, fence), (later, other, newer) in pairwise(engine.order_times):
            assert newer >= fence
            assert holder == other or later - at > LEASE_S / 2


async def test_a_batch_is_taken_over_from_a_suspended_owner(suspendable_site):
    site = suspendable_site
    for engine in site.engines:
        engine.events, engine.event_gap_s = 20, 0.05
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    [row] = [row for key, row in site.rows.rows.items() if key[0] == "owners"]
    owner = next(host for host in site.hosts if host.name in row[1].decode())
    others = [host for host in site.hosts if host is not owner]
    suspended = asyncio.ensure_future(owner.suspend(4.0))
    results = await site.read_all("b1", 8, hosts=others)
    await suspended
    check_results(results, "b1", 8, events=20)
    check_results(await site.read_all("b1", 8, hosts=[owner]), "b1", 8, events=20)


async def test_a_suspended_host_does_not_send_a_request_after_its_deadline(
    suspendable_site,
):
    site = suspendable_site
    for scorer in site.scorers:
        scorer.fail_next = ["silent"] * 3
    pending_call = asyncio.ensure_future(
        site.call(
            site.hosts[0],
            "POST",
            "/score/1",
            headers={"X-Request-Id": "q1", "X-Request-Deadline": "1000"},
        )
    )
    await until(lambda: any(scorer.run_counts["q1"] for scorer in site.scorers))
    await site.hosts[0].suspend(2.0)
    sent = sum(scorer.run_counts["q1"] for scorer in site.scorers)
    status, _, _ = await pending_call
    assert status == 504
    assert sum(scorer.run_counts["q1"] for scorer in site.scorers) == sent

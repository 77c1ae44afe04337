"""Steps that the slots cannot serve in time, on real daemons."""

import asyncio

import pytest

from outside.site import Site, check_results, until

TARGET_S = 5.0
"""Time within which the results of a batch of the site are due."""

DOWN_S = 2.5
SAMPLE_COUNT = 48
"""Samples of a second each, before eight slots."""


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path, events=20, settings={"overload": {}})
    try:
        await site.start()
        for engine in site.engines:
            engine.event_gap_s = 0.05
        yield site
    finally:
        await site.stop()


def plans_of(site):
    return [
        line
        for host in site.hosts
        for line in host.log_lines()
        if line["event"] == "batches: groups cannot be complete in time"
    ]


async def test_all_samples_are_generated_though_most_groups_are_late(site):
    assert await site.submit(site.hosts[0], "b1", samples=SAMPLE_COUNT) == 202
    results = await site.read_all("b1", SAMPLE_COUNT, limit_s=20.0)
    check_results(results, "b1", SAMPLE_COUNT, events=20)


async def test_hosts_that_restart_know_when_a_batch_is_due(site):
    """No host saw the acceptance: the store's time of it is in the owner row."""
    await site.submit(site.hosts[0], "b1", samples=SAMPLE_COUNT, target_groups=12)
    await until(lambda: any(engine.arrivals for engine in site.engines))
    for host in site.hosts:
        await host.kill()
    before = len(plans_of(site))
    await asyncio.sleep(DOWN_S)
    for host in site.hosts:
        await host.start()
    await until(lambda: len(plans_of(site)) > before)
    [due_in_s] = plans_of(site)[before]["due_in_s"]
    assert due_in_s <= TARGET_S - DOWN_S

"""One host of a data centre reads the store for the others, until it is lost."""

import asyncio

import pytest

from outside.site import (
    PAUSE_SIGNAL,
    RESUME_SIGNAL,
    SCORERS,
    Site,
    check_results,
    configuration,
    until,
)
from outside.store import GateMode

IN_FORCE_S = 2.0
"""Time within which a change must be in force on each host."""


@pytest.fixture
async def site(tmp_path):
    """Start five hosts, one of which reads the store for the other four."""
    site = Site(tmp_path, hosts=5, min_feed_hosts=3)
    try:
        await site.start()
        await until(lambda: reader_of(site) is not None)
        await asyncio.sleep(1.0)
        yield site
    finally:
        await site.stop()


def role_of(host):
    roles = [
        line["role"]
        for line in host.log_lines()
        if line["event"] == "feeds: role taken"
    ]
    return roles[-1] if roles else "direct"


def reader_of(site):
    """Return the reader if all other hosts subscribe to it, else None."""
    roles = {host: role_of(host) for host in site.hosts if host.is_running}
    readers = [host for host, role in roles.items() if role == "reader"]
    others = [role for role in roles.values() if role != "reader"]
    if len(readers) != 1 or set(others) != {"subscriber"}:
        return None
    return readers[0]


def feed_reads(host):
    return [path for _, path, _ in host.gate.calls if path.endswith("rows-feed")]


def revisions(site):
    return {
        host.name: max(
            line["revision"]
            for line in host.log_lines()
            if line["event"] == "node: configuration in force"
        )
        for host in site.hosts
        if host.is_running
    }


async def apply_configuration(site, revision):
    """Write a configuration; check that it is in force on all hosts in time."""
    site.rows.put("op", "config", configuration(revision))
    await until(lambda: set(revisions(site).values()) == {revision}, IN_FORCE_S)


async def test_subscribers_read_little_and_miss_no_change(site):
    reader = reader_of(site)
    before = {host: len(feed_reads(host)) for host in site.hosts}
    for revision in (2, 3, 4):
        await apply_configuration(site, revision)
        await asyncio.sleep(0.5)
    reads = {host: len(feed_reads(host)) - before[host] for host in site.hosts}
    assert reads[reader] >= 10
    assert all(count <= 4 for host, count in reads.items() if host is not reader)


async def test_a_batch_is_worked_on_and_read_everywhere(site):
    assert await site.submit(site.hosts[0], "b1") == 202
    check_results(await site.read_all("b1", 8), "b1", 8)


async def test_no_host_sends_requests_to_a_draining_endpoint(site):
    scorer = site.scorers[0]
    document = {**scorer.document(SCORERS), "state": "draining"}
    site.rows.put("servers", scorer.id, document)
    await asyncio.sleep(IN_FORCE_S)
    seen = len(scorer.arrivals)
    for number in range(20):
        host = site.hosts[number % 5]
        headers = {"X-Request-Id": f"q{number}"}
        status, _, _ = await site.call(host, "POST", "/score/1", headers=headers)
        assert status == 200
    assert len(scorer.arrivals) == seen


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut", "stop"])
async def test_the_loss_of_the_reader_delays_no_change(site, fault):
    reader = reader_of(site)
    match fault:
        case "kill":
            await reader.kill()
        case "freeze":
            reader.signal(PAUSE_SIGNAL)
        case "cut":
            reader.gate.mode = GateMode.SILENT
        case "stop":
            reader.terminate()
    others = [host for host in site.hosts if host is not reader]
    site.rows.put("op", "config", configuration(2))

    def is_in_force():
        found = revisions(site)
        return all(found[host.name] == 2 for host in others)

    await until(is_in_force, IN_FORCE_S)
    assert await site.submit(others[0], "b1") == 202
    check_results(await site.read_all("b1", 8, others), "b1", 8)
    if fault == "freeze":
        reader.signal(RESUME_SIGNAL)
    if fault == "cut":
        reader.gate.mode = GateMode.OPEN


async def test_another_host_reads_once_the_reader_is_gone(site):
    first = reader_of(site)
    await first.kill()
    await until(lambda: reader_of(site) not in (None, first), 15.0)
    await apply_configuration(site, 2)

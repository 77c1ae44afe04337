"""Hosts while another program writes odd rows into the project's own tables."""

import asyncio

import pytest

from outside.site import Site, check_results, until

NESTED = b'{"more": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
HUGE = b"9" * 400
HEARTBEAT = b'{"lifetime": "x", "count": %b, "revision": %b, "rpc_address": "no:where"}'

ODD_VALUES = {
    "nested": NESTED,
    "no-text": b"\xff\xfe\x00",
    "empty": b"",
    "null": b"null",
    "array": b"[]",
    "large": b'"' + b"x" * 60_000 + b'"',
    "huge": HEARTBEAT % (HUGE, HUGE),
}
TABLES = [
    "hosts",
    "owners",
    "batches",
    "results",
    "progress",
    "loaded",
    "paces",
    "crashes",
    "leases",
    "cleaning",
    "calls",
    "usage",
    "usage_reports",
    "versions",
    "configuration",
]


def write(site, table, key, value, part=""):
    site.rows.commit([], [((table, part, key), value)], [])


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path, hosts=2)
    try:
        yield await site.start()
    finally:
        await site.stop()


def lease_keys(site):
    return [key for key in site.rows.rows if key[0] == "leases"]


def failures(site):
    """Return the log lines that tell of a failed part or an unexpected error."""
    return [
        line
        for host in site.hosts
        for line in host.log_lines()
        if line["level"] in ("error", "critical")
    ]


async def check_all_else_goes_on(site, batch_id="b1"):
    """Check that batches are completed and versions loaded, and no part has failed."""
    site.name_version(2)
    await until(lambda: all(engine.version == 2 for engine in site.engines), 10.0)
    for host in site.hosts:
        await until(host.is_ready)
        await site.submit(host, f"{batch_id}-{host.name}")
    for host in site.hosts:
        name = f"{batch_id}-{host.name}"
        check_results(await site.read_all(name, 8), name, 8)
    assert all(host.is_running for host in site.hosts)
    assert failures(site) == []


async def test_odd_rows_concern_only_themselves(site):
    """Each write of one ended what follows its table, for the time of a restart."""
    for table in TABLES:
        for name, value in ODD_VALUES.items():
            write(site, table, name, value)
            write(site, table, name, value, part=f"odd-{name}")
    own_rows = [key for key in site.rows.rows if key[0] in TABLES]
    for table, part, _ in own_rows:
        write(site, table, "a", NESTED, part=part)
    await asyncio.sleep(1.5)
    await check_all_else_goes_on(site)


async def test_odd_progress_of_a_model_holds_up_none_of_its_batches(site):
    for name, value in ODD_VALUES.items():
        write(site, "progress", name, value, part="m0")
    await check_all_else_goes_on(site)


async def test_a_heartbeat_that_was_overwritten_is_written_again(site):
    for value in ODD_VALUES.values():
        for host in site.hosts:
            write(site, "hosts", host.name, value)
        await asyncio.sleep(0.1)
    await check_all_else_goes_on(site)


async def test_a_lease_that_was_overwritten_is_taken_again(site):
    """The task that watches the lease ended with each read of the odd row."""
    await until(lambda: lease_keys(site))
    for _, part, key in lease_keys(site):
        write(site, "leases", key, NESTED, part=part)
    await check_all_else_goes_on(site)


@pytest.mark.parametrize("name", ["nested", "no-text", "null"])
async def test_a_batch_whose_owner_was_overwritten_is_taken_over(site, name):
    """Nobody worked on the batch any more: its owner lost it to no one."""
    for engine in site.engines:
        engine.event_gap_s = 0.3
    await site.submit(site.hosts[0], "b0")
    await until(lambda: any(engine.run_counts for engine in site.engines))
    write(site, "owners", "owner", ODD_VALUES[name], part="b0")
    check_results(await site.read_all("b0", 8), "b0", 8)
    await check_all_else_goes_on(site)

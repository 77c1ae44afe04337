"""Hosts while another program keeps an odd entry among those of the endpoints."""

import asyncio
import json

import pytest

from outside.site import ENGINES, SCORERS, Site, check_results, configuration, until

HUGE = 10**400
NESTED = '{"models": ' + "[" * 100_000 + "]" * 100_000 + "}"

ODD_NUMBERS = {
    "slots-huge": {"slot_count": HUGE},
    "slots-of-65-bits": {"slot_count": 2**64},
    "slots-negative": {"slot_count": -1},
    "slots-true": {"slot_count": True},
    "slots-null": {"slot_count": None},
    "born-huge": {"born": HUGE},
    "born-of-65-bits": {"born": 2**64},
    "born-negative": {"born": -1},
    "sequence-huge": {"sequence": HUGE},
    "cold-huge": {"cold_ms": HUGE},
    "version-huge": {"models": [{"name": "m0", "version": HUGE}]},
    "version-of-65-bits": {"models": [{"name": "m0", "version": 2**64}]},
}
ODD_ADDRESSES = {
    "port-zero": {"address": "127.0.0.1:0"},
    "port-too-large": {"address": "127.0.0.1:99999"},
    "port-of-5000-digits": {"address": "127.0.0.1:" + "9" * 5000},
    "port-of-other-digits": {"address": "127.0.0.1:\u0663\u0663"},
    "port-missing": {"address": "127.0.0.1"},
    "host-with-spaces": {"address": "a b:80"},
    "host-with-line-break": {"address": "127.0.0.1\r\nX-Y: 1:80"},
    "host-without-brackets": {"address": "::1:80"},
    "host-with-half-a-bracket": {"address": "[::1:80"},
    "host-name": {"address": "odd.invalid:80"},
    "host-with-user": {"address": "user@127.0.0.1:80"},
    "host-too-long": {"address": "x" * 300 + ":80"},
}
ODD_BODIES = {
    "nested": NESTED.encode(),
    "no-text": b"\xff\xfe\x00",
    "empty": b"",
    "null": b"null",
    "n" * 200: b"[]",
    "large": json.dumps(["x" * 60_000]).encode(),
}


def put_odd_entries(site, odd_fields):
    """List a copy of each endpoint with the odd fields, under names of their own."""
    listed = [(site.engines[0], ENGINES), (site.scorers[0], SCORERS)]
    for endpoint, service in listed:
        for name, fields in odd_fields.items():
            entry = {**endpoint.document(service), **fields}
            site.rows.put("servers", f"{service}-{name}", entry)


def put_bodies(site, bodies):
    puts = [(("servers", "", name), body) for name, body in bodies.items()]
    site.rows.commit([], puts, [])


async def call_scorers(site, prefix, count=12):
    """Send requests to each host; return their statuses."""
    calls = [
        site.call(
            host,
            "POST",
            f"/score/{prefix}-{host.name}-{number}",
            headers={
                "X-Request-Id": f"{prefix}-{host.name}-{number}",
                "X-Request-Deadline": "3000",
            },
        )
        for host in site.hosts
        for number in range(count)
    ]
    return [status for status, _, _ in await asyncio.gather(*calls)]


def lines_of(host, event):
    return [line for line in host.log_lines() if line["event"] == event]


def misunderstood(host):
    """Return how often a host logged each entry as not understood."""
    names = [line["endpoint"] for line in lines_of(host, "fleet: entry not understood")]
    return {name: names.count(name) for name in names}


def check_logged_once(site, odd_fields):
    """Check that each host logged each odd entry once."""
    names = [
        f"{service}-{name}" for service in (ENGINES, SCORERS) for name in odd_fields
    ]
    for host in site.hosts:
        assert misunderstood(host) == dict.fromkeys(names, 1)


async def check_all_else_goes_on(site):
    """Check that hosts run, follow the list and the configuration, and serve."""
    assert all(host.is_running for host in site.hosts)
    spare = site.scorers[1]
    site.rows.put("op", "config", configuration(7))
    site.rows.put("servers", spare.id, spare.document(SCORERS, "elsewhere"))
    await until(lambda: all(has_revision(host, 7) for host in site.hosts), 3.0)
    assert set(await call_scorers(site, "after")) == {200}
    await site.submit(site.hosts[0], "b1")
    check_results(await site.read_all("b1", 8), "b1", 8)
    assert all(host.is_running for host in site.hosts)
    assert not [
        line
        for host in site.hosts
        for line in host.log_lines()
        if line["level"] in ("error", "critical")
    ]


def has_revision(host, revision):
    lines = lines_of(host, "node: configuration in force")
    return any(line["revision"] == revision for line in lines)


@pytest.fixture(params=[0, 2], ids=["direct", "feeds"])
async def site(tmp_path, request):
    """Start two hosts; each reads the store, or one reads it for both."""
    site = Site(tmp_path, hosts=2, min_feed_hosts=request.param)
    try:
        await site.start()
        if request.param:
            await until(lambda: any(is_reader(host) for host in site.hosts))
            await asyncio.sleep(1.0)
        yield site
    finally:
        await site.stop()


def is_reader(host):
    return any(line["role"] == "reader" for line in lines_of(host, "feeds: role taken"))


async def test_entries_with_odd_numbers_concern_only_themselves(site):
    """Numbers of more than 64 bits ended the host that relays the list to others."""
    put_odd_entries(site, ODD_NUMBERS)
    await asyncio.sleep(0.7)
    await check_all_else_goes_on(site)
    check_logged_once(site, ODD_NUMBERS)


async def test_an_entry_that_turns_odd_is_not_used_until_it_is_valid_again(site):
    turning, other = site.scorers
    entry = turning.document(SCORERS)
    site.rows.put("servers", turning.id, {**entry, "slot_count": HUGE})
    await asyncio.sleep(0.7)
    assert set(await call_scorers(site, "odd")) == {200}
    assert not turning.arrivals
    assert other.arrivals
    site.rows.put("servers", turning.id, entry)
    await asyncio.sleep(0.7)
    turning.delay_s = other.delay_s = 0.05
    assert set(await call_scorers(site, "valid")) == {200}
    assert turning.arrivals
    await check_all_else_goes_on(site)


async def test_entries_with_odd_addresses_concern_only_themselves(site):
    """Requests to an address that is none failed without an answer of this host."""
    put_odd_entries(site, ODD_ADDRESSES)
    await asyncio.sleep(0.7)
    await check_all_else_goes_on(site)
    check_logged_once(site, ODD_ADDRESSES)


async def test_entries_with_odd_names_concern_only_themselves(site):
    """Requests to an endpoint whose name is no header's value got status 500."""
    names = ["", "a\r\nB: c", "a b", "\u00e9", "\x00"]
    for name in names:
        site.rows.put("servers", name, site.scorers[0].document(SCORERS))
    await asyncio.sleep(0.7)
    await check_all_else_goes_on(site)
    for host in site.hosts:
        assert misunderstood(host) == dict.fromkeys(names, 1)


async def test_entries_that_are_no_documents_concern_only_themselves(site):
    put_bodies(site, ODD_BODIES)
    await asyncio.sleep(0.7)
    await check_all_else_goes_on(site)
    for host in site.hosts:
        assert misunderstood(host) == dict.fromkeys(ODD_BODIES, 1)

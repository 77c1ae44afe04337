"""A request under which endpoints end is not sent on and on.

All endpoints of a service ended together, again and again, and came back after some
seconds. The same request came each time, under another identifier, at another host:
callers repeat what was not answered. Each attempt took it for a new request, since what
is kept of a failed attempt says something of its endpoint and nothing of the request.
What proved it: brought about here, one request ends the endpoints of a service in the
same series, at most one attempt long, as often as it comes; the hosts' lines bear one
content under all of the attempts' identifiers. Left alone, the endpoints do not end.

A request is blameless as long as its endpoints live: a connection that breaks, a
planned stop and a slow endpoint are no crash.
"""

import asyncio
import base64
import itertools
import json
import time

import pytest

from outside.crashing import CRASHING, CrashingService, three_scorers
from outside.site import ENGINES, SCORERS, batch, until
from outside.trainer_calls import submission

MOST_CRASHES = 3
"""Endpoints that one request may end."""

VISITS = 6

AT_ONCE_S = 0.4


@pytest.fixture
async def services():
    made = []

    def make(*arguments, **options):
        made.append(CrashingService(*arguments, **options))
        return made[-1]

    yield make
    for each in made:
        await each.stop()


@pytest.fixture
async def desk(site, services):
    return services(site, SCORERS, await three_scorers(site))


numbers = itertools.count()


async def ask(
    site, host=0, path="/score/1", body=CRASHING, time_left="1500", **headers
):
    name = f"q{next(numbers)}"
    return await site.call(
        site.hosts[host % len(site.hosts)],
        "POST",
        path,
        body=body,
        headers={"X-Request-Id": name, "X-Request-Deadline": time_left, **headers},
    )


async def visit(site, service, path="/score/1", visits=VISITS):
    """Ask at the hosts in turn, each time before a whole service; return statuses."""
    statuses = []
    for number in range(visits):
        await until(lambda: service.is_whole)
        await asyncio.sleep(0.5)
        status, _, _ = await ask(site, number, path)
        statuses.append(status)
    return statuses


async def test_a_request_that_crashes_endpoints_is_refused_at_every_host(site, desk):
    statuses = await visit(site, desk)
    assert desk.runs <= MOST_CRASHES
    assert statuses[-3:] == [503] * 3
    began = time.monotonic()
    status, headers, _ = await ask(site)
    assert time.monotonic() - began < AT_ONCE_S
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    lines = [
        line
        for line in site.hosts[0].log_lines()
        if line.get("reason") == "crashes_endpoints"
    ]
    assert lines[-1]["event"] == "relay: request given up"
    assert lines[-1]["runs"] == 0


@pytest.mark.parametrize("path", ["/once/1", "/stream/1", "/resumable/1"])
async def test_so_is_one_of_another_kind(site, services, path):
    service = (
        services(site, SCORERS, await three_scorers(site))
        if path == "/once/1"
        else services(site, ENGINES, site.engines)
    )
    await visit(site, service, path)
    assert service.runs <= MOST_CRASHES


@pytest.mark.parametrize("events_before", [None, 1])
async def test_so_is_a_sample(site, services, events_before):
    engines = services(site, ENGINES, site.engines)
    for engine in site.engines:
        engine.crash_after_events = events_before
        engine.events = 12
    document = batch("b1")
    document["items"][0]["body"] = base64.b64encode(CRASHING).decode()
    await site.ask(site.hosts[0], submission("b1", json.dumps(document).encode()))
    assert len(await site.read_all("b1", 7)) == 7
    await asyncio.sleep(6.0)
    assert engines.runs <= MOST_CRASHES

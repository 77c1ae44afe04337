"""Endpoints that answer with bytes without end, as callers and trainers see it.

The tests guard against hosts that end for their memory, requests that wait for their
deadline although another endpoint could answer, and items with more text than the
engine generates.
"""

import json
import time

import aiohttp
import pytest

from node.test_memory import gauge
from outside.site import Site, batch, check_results
from outside.trainer_calls import submission

MEMORY_MB = 200

LIMIT_BYTES = 64 << 20
"""More than a host with `MEMORY_MB` and the kernel take of one answer."""

DEADLINE_S = 1.5
"""The timeout of the routes to the scorers."""


@pytest.fixture
async def small_site(tmp_path):
    site = Site(tmp_path, hosts=1, settings={"memory_mb": MEMORY_MB, "overload": {}})
    try:
        yield await site.start()
    finally:
        await site.stop()


async def call(site, path, **headers):
    headers = {"X-Request-Id": "q1", "X-Request-Deadline": "5000", **headers}
    return await site.call(site.hosts[0], "POST", path, body=b"x", headers=headers)


async def assert_bounded(site, endpoints):
    [host] = site.hosts
    assert host.is_running
    assert await gauge(host, "bankrudder_memory_bytes") < MEMORY_MB << 20
    assert 0 < sum(each.endless_bytes for each in endpoints) < LIMIT_BYTES


def fail_first(endpoints, faults):
    """Let whichever endpoints get the next requests fail."""
    for each in endpoints:
        each.fail_next = faults


def run_count(endpoints):
    return sum(each.run_counts["q1"] for each in endpoints)


@pytest.mark.parametrize("fault", ["endless head", "endless body"])
async def test_an_idempotent_request_is_answered_by_another_endpoint(small_site, fault):
    scorers = small_site.scorers
    fail_first(scorers, [fault])
    began = time.monotonic()
    status, _, body = await call(small_site, "/score/1")
    assert time.monotonic() - began < DEADLINE_S
    assert (status, body) == (200, b"answer to x")
    assert run_count(scorers) == 2
    await assert_bounded(small_site, scorers)


@pytest.mark.parametrize("fault", ["endless head", "endless body"])
async def test_one_that_is_not_idempotent_runs_once_and_fails_at_once(
    small_site, fault
):
    scorers = small_site.scorers
    fail_first(scorers, [fault])
    began = time.monotonic()
    status, headers, body = await call(small_site, "/once/1")
    assert time.monotonic() - began < DEADLINE_S
    assert status == 502
    assert "X-Response-Stamp" not in headers
    assert b"not run" not in body
    assert run_count(scorers) == 1
    await assert_bounded(small_site, scorers)


@pytest.mark.parametrize("fault", ["endless head", "endless body", "endless events"])
async def test_items_of_a_batch_go_on_at_other_engines(small_site, fault):
    document = batch("b1")
    for item in document["items"]:
        item["headers"]["X-Token-Counts"] = "10,8"
    engines = small_site.engines
    fail_first(engines, [fault] * 3)
    [host] = small_site.hosts
    status, _ = await small_site.ask(
        host, submission("b1", json.dumps(document).encode())
    )
    assert status == 202
    check_results(await small_site.read_all("b1", 8), "b1", 8)
    await assert_bounded(small_site, engines)


async def test_a_stream_of_a_caller_with_too_many_events_is_not_complete(small_site):
    """Guards against a stream that goes on at another endpoint after its end."""
    engines = small_site.engines
    fail_first(engines, ["endless events"])
    began = time.monotonic()
    with pytest.raises(aiohttp.ClientError):
        await call(small_site, "/resumable/1", **{"X-Token-Counts": "10,8"})
    assert time.monotonic() - began < DEADLINE_S
    assert run_count(engines) == 1
    await assert_bounded(small_site, engines)

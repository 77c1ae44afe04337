"""Streams to callers: forwarded event by event, resumed only if the route allows it."""

import asyncio

import aiohttp
import pytest

from outside.site import configuration, until


async def call(site, path, **headers):
    headers = {"X-Request-Id": "q1", "X-Request-Deadline": "5000", **headers}
    return await site.call(site.hosts[0], "POST", path, body=b"x", headers=headers)


def stream_body(start=0, count=4):
    return "".join(f"id: {n}\ndata: q1-{n}\n\n" for n in range(start, count)).encode()


def runs(site):
    return sum(engine.run_counts["q1"] for engine in site.engines)


async def test_a_stream_is_forwarded_completely(site):
    status, headers, body = await call(site, "/stream/1")
    assert (status, body) == (200, stream_body())
    assert headers["X-Response-Stamp"].endswith(".q1")


async def test_a_resumable_stream_continues_at_another_endpoint(site):
    for engine in site.engines:
        engine.reset_after = [2]
    status, headers, body = await call(site, "/resumable/1")
    assert (status, body) == (200, stream_body())
    assert runs(site) > 1
    # The response head is that of the first endpoint.
    assert headers["X-Response-Stamp"].endswith(".q1")


async def test_a_stream_that_is_not_resumable_breaks_and_runs_once(site):
    for engine in site.engines:
        engine.reset_after = [2]
    with pytest.raises(aiohttp.ClientError):
        await call(site, "/stream/1")
    assert runs(site) == 1


async def test_a_caller_resumes_by_itself(site):
    status, _, body = await call(site, "/resumable/1", **{"Last-Event-Id": "1"})
    assert (status, body) == (200, stream_body(start=2))


@pytest.mark.parametrize(
    ("path", "min_run_count"), [("/stream/1", 1), ("/resumable/1", 2)]
)
async def test_a_request_without_an_answer_is_sent_again_only_if_resumable(
    site, path, min_run_count
):
    for engine in site.engines:
        engine.fail_next = ["reset"]
    status, _, _ = await call(site, path)
    assert status == (502 if min_run_count == 1 else 200)
    assert runs(site) >= min_run_count


async def test_a_full_endpoint_is_skipped(site):
    for engine in site.engines:
        engine.fail_next = ["full"]
    status, _, body = await call(site, "/stream/1")
    assert (status, body) == (200, stream_body())
    assert runs(site) == 1


async def test_a_stream_is_stopped_when_its_caller_leaves(site):
    for engine in site.engines:
        engine.event_gap_s = 0.2
        engine.events = 50
    with pytest.raises(asyncio.TimeoutError):
        async with asyncio.timeout(0.5):
            await call(site, "/stream/1")
    await until(lambda: any(each.cancelled_runs["q1"] for each in site.engines), 0.6)


@pytest.mark.parametrize("path", ["/stream/1", "/resumable/1"])
async def test_a_stream_that_does_not_begin_ends_at_the_timeout_of_its_route(
    site, path
):
    document = configuration(2)
    for route in document["routes"]:
        route["timeout_ms"] = 1000
    site.rows.put("op", "config", document)
    await asyncio.sleep(0.5)
    for engine in site.engines:
        engine.fail_next = ["silent"] * 5
    started_at = asyncio.get_running_loop().time()
    status, _, _ = await call(site, path)
    assert status == 504
    assert asyncio.get_running_loop().time() - started_at < 1.4

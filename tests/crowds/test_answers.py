"""Crowds of callers that do not read their answers end no process.

A small request can have a large answer, which its endpoint has sent long before the
caller takes it.
"""

import asyncio

import pytest

from outside.crowds import head, without_last_byte

CROWD_COUNT = 150
ANSWER_BYTES = 2 << 20
"""Size of an answer. Those of the crowd are more than the largest host of the tests has
room for."""

EVENT_COUNT = 600
EVENT_BYTES = 4 << 10
SAMPLE_BYTES = 6 << 20


@pytest.mark.parametrize("path", ["/score/crowd", "/once/crowd"])
async def test_answers_that_are_not_read(
    start_site, gather_crowd, measure, settings, check_survival, path
):
    site, host = await start_site(settings)
    for each in site.scorers:
        each.slots = 1000
        each.added_bytes = ANSWER_BYTES
    meter = measure(host)
    crowd = gather_crowd(host.address)
    await crowd.send(
        [head(path, f"a{number}", "Content-Length: 0") for number in range(CROWD_COUNT)]
    )
    await asyncio.sleep(1.0)
    for each in site.scorers:
        each.added_bytes = 0
    await check_survival(site, host, meter)


@pytest.mark.parametrize("kind", ["stream", "resumable"])
async def test_streams_that_are_not_read(
    start_site, gather_crowd, measure, settings, check_survival, kind
):
    site, host = await start_site(settings, events=EVENT_COUNT)
    for each in site.engines:
        each.slots = 1000
        each.event_gap_s = 0.0
        each.event_padding = "e" * EVENT_BYTES
    meter = measure(host)
    crowd = gather_crowd(host.address)
    await crowd.send(
        [
            head(f"/{kind}/crowd", f"e{number}", "X-Model: m0", "Content-Length: 0")
            for number in range(CROWD_COUNT)
        ]
    )
    await asyncio.sleep(1.0)
    await check_survival(site, host, meter)


async def test_samples_that_are_read_by_many(
    start_site, gather_crowd, measure, settings, check_survival
):
    site, host = await start_site(settings)
    status = await site.submit_sample(host, "b", b"s" * SAMPLE_BYTES)
    assert status == 202
    meter = measure(host)
    crowd = gather_crowd(host.address)
    request = (
        f"GET /bankrudder/items/b?id=b-s0 HTTP/1.1\r\nHost: {host.address}\r\n\r\n"
    )
    await crowd.send([request.encode()] * CROWD_COUNT)
    await asyncio.sleep(1.0)
    await check_survival(site, host, meter)


async def test_large_requests_with_large_answers(
    start_site, gather_crowd, measure, settings, check_survival
):
    site, host = await start_site(settings)
    for each in site.scorers:
        each.slots = 1000
        each.added_bytes = ANSWER_BYTES
    meter = measure(host)
    crowd = gather_crowd(host.address)
    body = bytes(1 << 20)
    requests = [
        head("/score/crowd", f"l{number}", f"Content-Length: {len(body)}") + body
        for number in range(CROWD_COUNT)
    ]
    await crowd.send(requests[: CROWD_COUNT // 2])
    await crowd.send(without_last_byte(requests[CROWD_COUNT // 2 :]))
    for each in site.scorers:
        each.added_bytes = 0
    await check_survival(site, host, meter)

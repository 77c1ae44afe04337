"""Crowds of batches, and batches of many samples, end no process and stop no caller.

A small document can describe thousands of samples, and takes many times its size once
it is decoded.
"""

import asyncio
import json

from node.test_memory import gauge
from outside.crowds import PROCESS_MB, is_served, sized_body
from outside.site import batch, until

LARGE_MB = 552
"""Memory of a host with room for tens of thousands of samples."""

WAITING_BATCH_COUNT = 3000
"""Small batches that wait at the same time."""


def submission_of(batch_id, size_bytes):
    """Return a submission of about a size whose samples are small."""
    document = batch(batch_id, samples=1)
    item = document["items"][0]
    count = size_bytes // len(json.dumps(item))
    body = json.dumps(batch(batch_id, samples=count, target_groups=count)).encode()
    return sized_body(batch_id, body, "/rollout/all")


async def test_many_submissions_at_once(
    start_site, gather_crowd, measure, settings, check_survival
):
    site, host = await start_site(settings)
    meter = measure(host)
    crowd = gather_crowd(host.address)
    await crowd.send([submission_of(f"b{number}", 1 << 20) for number in range(40)])
    statuses = {each.split(b" ", 2)[1] for each in await crowd.receive() if each}
    assert statuses <= {b"202", b"429", b"503", b"502"}
    await check_survival(site, host, meter)


async def test_a_submission_alone_is_accepted(
    start_site, measure, settings, check_survival
):
    site, host = await start_site(settings)
    meter = measure(host)
    document = batch("whole")
    document["items"][0]["body"] = "A" * (8 << 20)
    body = json.dumps(document).encode()
    status, _, _ = await site.call(
        host, "POST", "/rollout/all", body=body, headers={"X-Request-Id": "whole"}
    )
    assert status == 202

    async def is_listed():
        status, page = await site.read(host, "whole")
        return status == 200 and bool(page["results"])

    await until(is_listed)
    await check_survival(site, host, meter)


async def test_one_batch_of_many_samples(
    start_site, gather_crowd, measure, settings, check_survival
):
    site, host = await start_site(settings)
    meter = measure(host)
    crowd = gather_crowd(host.address)
    await crowd.send([submission_of("b", 1 << 20)])
    [answer] = await crowd.receive()
    assert answer.split(b" ", 2)[1] == b"202"
    await check_survival(site, host, meter)


async def test_batches_of_very_many_samples(start_site, gather_crowd, measure):
    site, host = await start_site({"memory_mb": LARGE_MB})
    meter = measure(host)
    crowd = gather_crowd(host.address)
    await crowd.send([submission_of(f"d{number}", 8 << 20) for number in range(6)])
    statuses = {each.split(b" ", 2)[1] for each in await crowd.receive() if each}
    assert statuses <= {b"202", b"429", b"503", b"502"}
    assert await is_served(site, host)
    assert await host.is_ready()
    assert host.is_running
    assert meter.peak_bytes < LARGE_MB << 20


async def test_many_reads_of_results(
    start_site, gather_crowd, measure, settings, check_survival
):
    site, host = await start_site(settings, events=200)
    assert await site.submit(host, "b", samples=64, target_groups=16) == 202
    await site.read_all("b", 64)
    meter = measure(host)
    crowd = gather_crowd(host.address)
    request = f"GET /bankrudder/lots/b?after=0 HTTP/1.1\r\nHost: {host.address}\r\n\r\n"
    await crowd.send([request.encode()] * 200)
    await asyncio.sleep(0.5)
    await check_survival(site, host, meter)


async def test_many_small_batches_that_wait(
    start_site, measure, settings, check_survival
):
    site, host = await start_site(settings)
    meter = measure(host)
    places = asyncio.Semaphore(16)

    async def submit(number):
        async with places:
            # No engine has these weights, so the batch waits.
            return await site.submit(host, f"w{number}", samples=1, min_version=99)

    statuses = await asyncio.gather(*map(submit, range(WAITING_BATCH_COUNT)))
    assert set(statuses) <= {202, 429, 503}
    await check_survival(site, host, meter)
    # What is not of the process alone counts as data.
    data_bytes = await gauge(host, "bankrudder_held_bytes")
    assert meter.resident_bytes < (PROCESS_MB << 20) + data_bytes

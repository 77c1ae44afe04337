"""More callers than two scorers with one slot each can answer in time."""

import asyncio
import time

import aiohttp
import pytest

from outside.site import Site

SERVICE_S = 0.6
CLOCK_MARGIN_S = 0.2
"""Time that the processes of a busy machine may add to a reply."""


@pytest.fixture
async def short_site(tmp_path):
    """Return a site whose host knows how long its scorers take."""
    settings = {"overload": {"limits_requests": True}}
    site = Site(tmp_path, hosts=1, engines=0, settings=settings)
    try:
        await site.start()
        for scorer in site.scorers:
            scorer.slots = 1
            scorer.refuses_when_full = True
            scorer.delay_s = SERVICE_S
            site.rows.put("servers", scorer.id, scorer.document("scorers"))
        await asyncio.gather(*(call(site, f"known-{n}") for n in range(2)))
        yield site
    finally:
        await site.stop()


async def call(site, request_id, patience_s=1.5):
    """Return the status, the time to it and the retry delay."""
    began_at = time.monotonic()
    status, headers, _ = await site.call(
        site.hosts[0],
        "POST",
        "/score/1",
        body=request_id.encode(),
        headers={
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(int(patience_s * 1000)),
        },
    )
    return status, time.monotonic() - began_at, headers.get("Retry-After")


async def metrics(host):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{host.metrics_address}/metrics") as response,
    ):
        return await response.text()


def runs(site, request_id):
    return sum(each.run_counts[request_id] for each in site.scorers)


async def test_hopeless_requests_are_rejected_at_once_and_never_sent(short_site):
    filling = [asyncio.ensure_future(call(short_site, f"fill-{n}")) for n in range(2)]
    await asyncio.sleep(0.1)
    names = [f"hopeless-{number}" for number in range(20)]
    replies = await asyncio.gather(
        *(call(short_site, name, patience_s=SERVICE_S / 2) for name in names)
    )
    for status, seconds, retry_after in replies:
        assert status == 503
        assert seconds <= 0.05 + CLOCK_MARGIN_S
        assert 0 < float(retry_after) <= SERVICE_S / 2 / 3
    sent = {
        request_id for each in short_site.scorers for request_id, *_ in each.arrivals
    }
    assert not sent & set(names)
    assert [status for status, *_ in await asyncio.gather(*filling)] == [200, 200]
    rejected = [
        line
        for line in short_site.hosts[0].log_lines()
        if line["event"] == "overload: request rejected"
    ]
    assert {line["request"] for line in rejected} >= set(names)
    text = await metrics(short_site.hosts[0])
    for name in ("line_requests", "repeat_budget", "answer_estimate_seconds"):
        assert f"bankrudder_{name}{{" in text


async def test_none_of_the_rejected_requests_has_run(short_site):
    names = [f"q-{number}" for number in range(30)]
    replies = await asyncio.gather(*(call(short_site, name) for name in names))
    statuses = dict(zip(names, (status for status, *_ in replies), strict=True))
    assert set(statuses.values()) <= {200, 503}
    answered = [name for name in names if statuses[name] == 200]
    # Each of the two slots can answer two of them in time.
    assert 2 <= len(answered) <= 4
    await asyncio.sleep(SERVICE_S)
    for name in names:
        assert runs(short_site, name) == (name in answered)

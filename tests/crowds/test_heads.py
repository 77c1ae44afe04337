"""Crowds of heads and of small requests end no process.

They guard against what a host keeps of a head: its fields, requests that wait behind
another one on their connection, and identifiers that outlast their request.
"""

import asyncio

import pytest

from outside.crowds import PROCESS_MB, head, without_last_byte

CROWD_COUNT = 150
LEGAL_HEAD_BYTES = 15 << 10
"""Somewhat less than `max_header_bytes` allows by default."""

LONG_HEAD_BYTES = 60 << 10
MAX_FIELD_COUNT = 120
"""Fields of a head, fewer than the HTTP library allows."""

ADVANCE_COUNT = 2000
"""Requests that each caller sends before it reads an answer."""

IDENTIFIED_COUNT = 5000
"""Requests with a long identifier, more than a host remembers identifiers of."""


def long_head(request_id, size_bytes):
    """Return a head of a size whose body is one byte."""
    field_bytes = size_bytes // MAX_FIELD_COUNT - len("X-000: \r\n")
    fields = [
        f"X-{number:03d}: {'f' * field_bytes}" for number in range(MAX_FIELD_COUNT)
    ]
    return head("/score/crowd", request_id, "Content-Length: 1", *fields)


@pytest.mark.parametrize("size_bytes", [LEGAL_HEAD_BYTES, LONG_HEAD_BYTES])
@pytest.mark.parametrize("is_complete", [False, True])
async def test_long_heads(
    start_site, gather_crowd, measure, settings, check_survival, size_bytes, is_complete
):
    site, host = await start_site(settings)
    meter = measure(host)
    heads = [long_head(f"h{number}", size_bytes) for number in range(CROWD_COUNT)]
    crowd = gather_crowd(host.address)
    await crowd.send(heads if is_complete else without_last_byte(heads))
    await check_survival(site, host, meter)


async def test_small_requests_in_advance(
    start_site, gather_crowd, measure, settings, check_survival
):
    site, host = await start_site(settings)
    for each in site.scorers:
        each.delay_s = 1.0
        each.slots = 1000
    meter = measure(host)
    crowd = gather_crowd(host.address)
    following = b"GET / HTTP/1.1\r\n\r\n" * ADVANCE_COUNT
    await crowd.send(
        [
            head("/score/crowd", f"a{number}", "Content-Length: 0") + following
            for number in range(CROWD_COUNT)
        ]
    )
    for each in site.scorers:
        each.delay_s = 0.0
    await check_survival(site, host, meter)


async def test_long_identifiers_are_not_kept(
    start_site, measure, settings, check_survival
):
    site, host = await start_site(settings)
    meter = measure(host)
    places = asyncio.Semaphore(16)

    async def send(number):
        identifier = f"{number:06d}".ljust(LEGAL_HEAD_BYTES - 1024, "i")
        async with places:
            headers = {"X-Request-Id": identifier, "X-Request-Deadline": "9000"}
            status, _, _ = await site.call(
                host, "POST", "/score/crowd", body=b"x", headers=headers
            )
            return status

    await asyncio.gather(*map(send, range(IDENTIFIED_COUNT)))
    await check_survival(site, host, meter)
    assert meter.resident_bytes < PROCESS_MB << 20

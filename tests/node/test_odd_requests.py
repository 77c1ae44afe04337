"""Requests of callers with odd headers, queries and bodies get a definite answer."""

import asyncio
import json

import pytest

from outside.site import HOST_NAME, Site, batch, check_results

NESTED = b"[" * 100_000 + b"]" * 100_000
OTHER_DIGITS = "\u0663"
SUPERSCRIPT = "\u00b2"
DIGITS_400 = "9" * 400
DIGITS_5000 = "9" * 5000
ODD_NUMBERS = [
    OTHER_DIGITS,
    SUPERSCRIPT,
    DIGITS_400,
    DIGITS_5000,
    "-1",
    "1e400",
    "nan",
    "1.5",
    str(2**63),
    "\udcff",
]


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path, hosts=1, engines=1)
    try:
        yield await site.start()
    finally:
        await site.stop()


async def send_raw(host, method, path, headers=(), body=b""):
    """Send a request as it is; return the status, 0 if there is no answer."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    if not any(name == "Host" for name, _ in headers):
        lines.append(f"Host: {HOST_NAME}")
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join([*lines, "Connection: close", "", ""])
    address, _, port = host.address.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    try:
        writer.write(head.encode("utf-8", "surrogateescape") + body)
        async with asyncio.timeout(10):
            reply = await reader.read()
    finally:
        writer.close()
    return int(reply.split(maxsplit=2)[1]) if reply else 0


async def statuses_of(site, method, path, header, body=b""):
    """Return the status of a request for each odd number as the value of a header."""
    return {
        ascii(value)[:20]: await send_raw(
            site.hosts[0],
            method,
            path,
            [("X-Request-Id", f"odd-{number}"), (header, value)],
            body,
        )
        for number, value in enumerate(ODD_NUMBERS)
    }


@pytest.mark.parametrize("path", ["/score/1", "/once/1", "/stream/1", "/resumable/1"])
async def test_an_odd_time_limit_is_ignored(site, path):
    """Digits of other scripts, or 400 digits, were answered with status 500."""
    found = await statuses_of(site, "POST", path, "X-Request-Deadline", b"x")
    assert set(found.values()) == {200}, found


@pytest.mark.parametrize("path", ["/score/1", "/resumable/1"])
async def test_an_odd_last_event_is_malformed(site, path):
    """Some were answered with status 500; others sent the stream from its start."""
    found = await statuses_of(site, "POST", path, "Last-Event-Id", b"x")
    assert found.pop("'-1'") == 200
    assert set(found.values()) == {400}, found


async def test_odd_positions_and_waits_of_readers(site):
    await site.submit(site.hosts[0], "b1")
    await site.read_all("b1", 8)
    path = "/bankrudder/lots/b1?after="
    for value in ODD_NUMBERS:
        assert await send_raw(site.hosts[0], "GET", path + value) == 400
    found = await statuses_of(site, "GET", path + "1", "X-Max-Wait")
    assert set(found.values()) == {200}, found


def odd_batches():
    """Return the bodies of batches that cannot be stored, or not sent to engines."""
    yield b'{"items": [], "more": ' + NESTED + b"}"
    for field, value in (
        ("min_version", -1),
        ("min_version", 2**64),
        ("step", 10**400),
    ):
        yield json.dumps({**batch("odd"), field: value}).encode()
    for field, value in (("path", "/a\r\nB: c"), ("id", "a\r\nb"), ("body", "!!")):
        document = batch("odd")
        document["items"][0][field] = value
        yield json.dumps(document).encode()


async def test_odd_batches_are_malformed_and_leave_other_batches_alone(site):
    """Some were answered with status 500; samples of others failed for ever."""
    for number, body in enumerate(odd_batches()):
        headers = [("X-Request-Id", f"odd-{number}")]
        status = await send_raw(site.hosts[0], "POST", "/rollout/1", headers, body)
        assert status == 400, body[:100]
    await site.submit(site.hosts[0], "b1")
    check_results(await site.read_all("b1", 8), "b1", 8)
    assert not [line for line in site.hosts[0].log_lines() if line["level"] == "error"]

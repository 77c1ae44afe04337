"""Endpoints that send bytes without end end no process, and stop no other request.

All requests of a crowd wait for such endpoints at the same time.
"""

import asyncio

import pytest

from outside.crowds import MODES
from outside.endless import EndlessServer
from outside.raw_answers import EVENT, PROOF
from outside.site import SCORERS, Site

MEMORY_MB = 170
CROWD_COUNT = 12

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
HEAD = STATUS_LINE + PROOF
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
KINDS = {
    "no HTTP": (b"", b"a"),
    "blank lines": (b"", b"\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "name": (HEAD, b"a"),
    "value": (HEAD + b"X-A: ", b"a"),
    "folded value": (HEAD + b"X-A: a\r\n", b" a\r\n"),
    "fields": (HEAD, b"a:\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "whole answers": (b"", STATUS_LINE + b"Content-Length: 0\r\n\r\n"),
    "body of no status": (b"HTTP/1.1 000 OK\r\n" + PROOF + b"\r\n", b"a"),
    "body to the close": (HEAD + b"\r\n", bytes(4096)),
    "body of a length": (HEAD + b"Content-Length: 99999999\r\n\r\n", bytes(4096)),
    "chunks": (CHUNKED, b"1000\r\n" + bytes(4096) + b"\r\n"),
    "one chunk": (CHUNKED + b"FFFFFFFFFF\r\n", bytes(4096)),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
}


@pytest.fixture
async def endless():
    server = EndlessServer(b"", b"a").start()
    yield server
    await asyncio.to_thread(server.stop)


@pytest.fixture(params=MODES)
async def site(request, tmp_path, endless):
    """A host of which all scorers are the server whose answers have no end."""
    settings = {"memory_mb": MEMORY_MB, **MODES[request.param]}
    site = Site(tmp_path, hosts=1, settings=settings)
    try:
        await site.start()
        for each in site.scorers:
            site.rows.put(
                "servers",
                each.id,
                {**each.document(SCORERS), "address": endless.address, "sequence": 2},
            )
        await asyncio.sleep(1.0)
        yield site
    finally:
        await site.stop()


async def call(site, path, request_id):
    headers = {"X-Request-Id": request_id, "X-Request-Deadline": "3000"}
    return await site.call(site.hosts[0], "POST", path, body=b"x", headers=headers)


async def test_bytes_without_end(site, endless, measure):
    [host] = site.hosts
    meter = measure(host)
    for name, (head, unit) in KINDS.items():
        endless.send_next(head, unit)
        crowd = [
            call(site, ("/score/1", "/once/1")[number % 2], f"{name} {number}")
            for number in range(CROWD_COUNT)
        ]
        (status, _, body), *answers = await asyncio.gather(
            call(site, "/stream/1", f"{name} other"), *crowd
        )
        assert status == 200 and body.count(EVENT[:4]) == 4, name
        assert {status for status, *_ in answers} <= {502, 503, 504}, name
        for _, headers, body in answers:
            assert int(headers["Content-Length"]) == len(body), name
        assert host.is_running, name
        assert meter.peak_bytes < MEMORY_MB << 20, name
    assert endless.connections >= len(KINDS)
    assert not host.unhandled_errors()

"""Callers that read slowly cannot use up the memory of a host.

The tests guard against a host that holds the answers of all slow readers until the
platform kills it, together with every request that it works on.
"""

import asyncio
import contextlib
import re
import socket

import aiohttp
import pytest

from outside.site import HOST_NAME, Site, until

MEMORY_MB = 200
SLOW_READER_COUNT = 40
LARGE_BODY = bytes(8 << 20)
"""More than the kernel takes of an answer that is not read."""

CHECKED_READER_COUNT = 5
"""Slow readers after which another caller's request and the memory are checked."""
RECEIVE_BUFFER_BYTES = 4096


SMALLEST_MB = 128
"""Memory of a host that cannot hold a body which its configuration allows."""

ALLOWED_BODY_BYTES = 64 << 20


@pytest.fixture
async def small_host_site(tmp_path):
    settings = {"memory_mb": MEMORY_MB, "overload": {}}
    site = Site(tmp_path, hosts=1, settings=settings)
    try:
        yield await site.start()
    finally:
        await site.stop()


@pytest.fixture
async def smallest_host_site(tmp_path):
    site = Site(
        tmp_path,
        hosts=1,
        settings={"memory_mb": SMALLEST_MB, "overload": {}},
        limits={"max_body_bytes": ALLOWED_BODY_BYTES},
    )
    try:
        yield await site.start()
    finally:
        await site.stop()


class SlowReader:
    """A caller that sends a large request and does not read the answer."""

    async def start(self, host, number):
        address, _, port = host.address.rpartition(":")
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (address, int(port)))
        head = (
            f"POST /score/{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Request-Id: slow-{number}\r\nX-Request-Deadline: 9000\r\n"
            f"Content-Length: {len(LARGE_BODY)}\r\n\r\n"
        )
        # The host may refuse the request before all of it was sent.
        with contextlib.suppress(OSError):
            await loop.sock_sendall(self._socket, head.encode() + LARGE_BODY)
        return self

    def close(self):
        self._socket.close()


async def gauge(host, name):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{host.metrics_address}/metrics") as response,
    ):
        text = await response.text()
    return float(re.search(rf"^{name}{{.*}} (\S+)$", text, re.MULTILINE)[1])


async def test_slow_readers_take_no_memory_from_others(small_host_site):
    site = small_host_site
    [host] = site.hosts
    readers, peaks, statuses = [], [], []
    try:
        for number in range(SLOW_READER_COUNT):
            readers.append(await SlowReader().start(host, number))
            if number % CHECKED_READER_COUNT == 0:
                status, _, _ = await site.call(
                    host,
                    "POST",
                    "/score/good",
                    body=b"good",
                    headers={
                        "X-Request-Id": f"good-{number}",
                        "X-Request-Deadline": "1500",
                    },
                )
                statuses.append(status)
                peaks.append(await gauge(host, "bankrudder_memory_bytes"))
    finally:
        for reader in readers:
            reader.close()
    assert statuses == [200] * len(statuses)
    assert host.is_running
    assert max(peaks) < MEMORY_MB << 20
    ended = [
        line for line in host.log_lines() if line["event"].startswith("memory: slow")
    ]
    assert ended


async def test_a_request_that_does_not_fit_is_refused_and_not_run(smallest_host_site):
    site = smallest_host_site
    [host] = site.hosts
    status, headers, body = await site.call(
        host,
        "POST",
        "/score/large",
        body=bytes(50 << 20),
        headers={"X-Request-Id": "large", "X-Request-Deadline": "9000"},
    )
    assert (status, body) == (503, b"not run: no_memory\n")
    assert float(headers["Retry-After"]) > 0
    assert all("large" not in each.run_counts for each in site.scorers)
    await until(lambda: gauge_is_zero(host))


async def gauge_is_zero(host):
    return await gauge(host, "bankrudder_held_bytes") == 0

"""Crowds of callers that do not behave, and what they make a daemon hold."""

import asyncio
import contextlib
import socket
from pathlib import Path

import aiohttp

from outside.site import HOST_NAME, until

SMALLEST_MB = 128
"""Memory of the smallest hosts that are in use."""

MODES = {"plain": {}, "overload": {"overload": {}}}
"""Settings of deployments without and with decisions for scarce capacity."""

KERNEL_POLL_S = 0.02
ANSWER_TIMEOUT_S = 10.0


def head(path, request_id, *fields):
    """Return the head of a POST request with further header fields."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        "X-Request-Deadline: 9000",
        *fields,
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def sized_body(request_id, body, path="/score/crowd"):
    """Return a request whose head states the length of its body."""
    return head(path, request_id, f"Content-Length: {len(body)}") + body


def chunked_body(request_id, body, chunk_bytes, path="/score/crowd"):
    """Return a request in chunks of a size."""
    parts = [head(path, request_id, "Transfer-Encoding: chunked")]
    for begin in range(0, len(body), chunk_bytes):
        chunk = body[begin : begin + chunk_bytes]
        parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join(parts) + b"0\r\n\r\n"


class Crowd:
    """Connections to one address that stay open until the crowd leaves."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sockets = []

    async def connect(self, count):
        """Open connections, as many as the other side accepts."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            connection = socket.socket()
            connection.setblocking(False)
            self._sockets.append(connection)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    await loop.sock_connect(connection, self._address)

    async def send(self, requests, limit_s=ANSWER_TIMEOUT_S):
        """Send one request on each connection of its own, all at the same time.

        The other side may close a connection at any time, or stop reading.
        """
        loop = asyncio.get_running_loop()

        async def send_one(connection, request):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(limit_s):
                    await loop.sock_sendall(connection, request)

        first = len(self._sockets)
        await self.connect(len(requests))
        await asyncio.gather(*map(send_one, self._sockets[first:], requests))

    async def receive(self, limit_s=ANSWER_TIMEOUT_S):
        """Return what each connection receives first; nothing if it was closed."""
        loop = asyncio.get_running_loop()

        async def receive_one(connection):
            try:
                async with asyncio.timeout(limit_s):
                    return await loop.sock_recv(connection, 4096)
            except (OSError, TimeoutError):
                return b""

        return await asyncio.gather(*map(receive_one, self._sockets))

    def leave(self):
        """Close all connections."""
        for connection in self._sockets:
            connection.close()


class Meter:
    """Measures the process of a daemon from outside while a test runs."""

    def __init__(self, host):
        self._host = host
        self._kernel_peak_bytes = 0
        self._descriptor_peak = 0
        self._task = asyncio.ensure_future(self._watch())

    @property
    def peak_bytes(self):
        """Largest resident memory, and most that the kernel held unread for it."""
        status = Path(f"/proc/{self._host.pid}/status").read_text()
        [line] = [each for each in status.splitlines() if each.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024 + self._kernel_peak_bytes

    @property
    def descriptor_peak(self):
        """Largest number of descriptors that were open at the same time."""
        return self._descriptor_peak

    def stop(self):
        """Stop measuring."""
        self._task.cancel()

    async def _watch(self):
        while self._host.is_running:
            unread = _unread_bytes(self._host.address.rpartition(":")[2])
            self._kernel_peak_bytes = max(self._kernel_peak_bytes, unread)
            count = _descriptor_count(self._host.pid)
            self._descriptor_peak = max(self._descriptor_peak, count)
            await asyncio.sleep(KERNEL_POLL_S)


def _descriptor_count(pid):
    """Return how many descriptors a process has open, 0 once it has ended."""
    try:
        return len(list(Path(f"/proc/{pid}/fd").iterdir()))
    except OSError:
        return 0


def _unread_bytes(port):
    """Return the bytes that connections to a local port have not been read of."""
    local_port = f":{int(port):04X}"
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return sum(
        int(each[4].partition(":")[2], 16)
        for each in fields
        # In a listening socket the number counts connections.
        if each[1].endswith(local_port) and each[3] != "0A"
    )


async def is_served(site, host, number=0):
    """Whether an ordinary request is answered, after retries as callers make them."""

    async def is_answered():
        headers = {"X-Request-Id": f"good-{number}", "X-Request-Deadline": "5000"}
        try:
            status, _, _ = await site.call(
                host, "POST", "/score/good", body=b"good", headers=headers
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        return status == 200

    await until(is_answered)
    return True

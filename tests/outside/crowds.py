"""Crowds of callers that do not behave, and what they make a daemon hold."""

import asyncio
import contextlib
import os
import socket
from pathlib import Path

import aiohttp

from outside.site import HOST_NAME, until

SMALLEST_MB = 128
"""Memory of the smallest hosts that are in use."""

PROCESS_MB = 72
"""Memory that a process takes without callers, by the account of its memory."""

MODES = {"plain": {}, "overload": {"overload": {}}}
"""Settings of deployments without and with decisions for scarce capacity."""

KERNEL_POLL_S = 0.02

CONNECTING, LISTENING = "02", "0A"
"""States in which the kernel's numbers of a socket are not queued bytes. While it is
being connected, they are differences of sequence numbers that are not set yet."""

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


def without_last_byte(requests):
    """Return requests that stop just before their end."""
    return [each[:-1] for each in requests]


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
        """Largest resident memory, and most that the kernel held for its sockets."""
        return self._memory_bytes("VmHWM:") + self._kernel_peak_bytes

    @property
    def resident_bytes(self):
        """Memory that is resident at present."""
        return self._memory_bytes("VmRSS:")

    @property
    def descriptor_peak(self):
        """Largest number of descriptors that were open at the same time."""
        return self._descriptor_peak

    def stop(self):
        """Stop measuring."""
        self._task.cancel()

    def _memory_bytes(self, field):
        status = Path(f"/proc/{self._host.pid}/status").read_text()
        [line] = [each for each in status.splitlines() if each.startswith(field)]
        return int(line.split()[1]) * 1024

    async def _watch(self):
        while self._host.is_running:
            targets = _descriptor_targets(self._host.pid)
            self._descriptor_peak = max(self._descriptor_peak, len(targets))
            queued_bytes = _queued_bytes(set(targets))
            self._kernel_peak_bytes = max(self._kernel_peak_bytes, queued_bytes)
            await asyncio.sleep(KERNEL_POLL_S)


def _descriptor_targets(pid):
    """Return what the open descriptors of a process refer to; nothing once it ended."""
    targets = []
    with contextlib.suppress(OSError):
        for each in os.listdir(f"/proc/{pid}/fd"):
            # A descriptor may be closed meanwhile.
            with contextlib.suppress(OSError):
                targets.append(os.readlink(f"/proc/{pid}/fd/{each}"))
    return targets


def _queued_bytes(targets):
    """Return the bytes that sockets have not read or not sent, as the kernel says."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return sum(
        int(queued, 16)
        for each in fields
        for queued in each[4].split(":")
        if f"socket:[{each[9]}]" in targets and each[3] not in (CONNECTING, LISTENING)
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

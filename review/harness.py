"""What the scripts share: a small deployment's platform, daemons, and the record.

The store is the project's stand-in from ``tests/outside``. Each daemon is a process of
its own, started with the command of ``deploy/system.toml`` and with settings rendered
from the values that the pages give for a small deployment. Everything listens on
loopback addresses and free ports.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests"))

from outside.store import StoreGate, StoreRows  # noqa: E402

HOST_NAME = "app.example"
ZONES = ("akl-intl", "akl-dom", "akl-cargo")
HEARTBEAT_S = 1.2
READY_LIMIT_S = 20.0
LISTEN_BACKLOG = 512

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class CaseError(Exception):
    """The case could not be run as intended."""


class Record:
    """The lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def note(self, text):
        """Write one line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def free_port():
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def reset(writer):
    """Reset a connection, so that the peer sees that it did not end in order."""
    peer = writer.transport.get_extra_info("socket")
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Daemon:
    """One daemon in a process of its own."""

    def __init__(self, number, store_address, folder):
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self._folder = folder
        self._store_address = store_address
        self.port = free_port()
        self._readiness_port = free_port()
        self._metrics_port = free_port()
        self._feeds_port = free_port()
        self._process = None

    def settings(self):
        """Return the settings that the deploy file's template gives."""
        return {
            "host": self.name,
            "data_centre": self.zone,
            "callers_address": f"127.0.0.1:{self.port}",
            "readiness_address": f"127.0.0.1:{self._readiness_port}",
            "metrics_address": f"127.0.0.1:{self._metrics_port}",
            "store": {
                "address": self._store_address,
                "row_bytes": 65536,
                "reads_per_s": 2000.0,
            },
            "feeds": {"address": f"127.0.0.1:{self._feeds_port}"},
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "samples",
                "stream",
                "engine",
                "batch",
                "platform",
            ],
            "memory_mb": 350,
            "processor_share": 0.717,
            "processor_speed": 3,
            "status_retention_s": 120,
            "lease_ms": 3000,
            "grace_s": 8,
        }

    async def start(self):
        """Start the process with the command of the deploy file."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BANKRUDDER_SETTINGS"] = str(path)
        with (self._folder / f"{self.name}.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "src/bankrudder_node.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self):
        """Wait until the daemon reports that it takes requests."""
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            if self._process.returncode is not None:
                raise CaseError(f"{self.name} ended while it was starting")
            with suppress(OSError, ValueError, asyncio.IncompleteReadError):
                status, _, _ = await exchange(
                    self._readiness_port, "GET", "/bankrudder/readiness"
                )
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready in {READY_LIMIT_S} s")

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def stop(self):
        """End the process."""
        if self.is_running:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


async def exchange(port, method, path, headers=None, body=b"", limit_s=15.0):
    """Send one request on a new connection; return status, headers and body."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            fields = {"Host": HOST_NAME, **(headers or {})}
            fields["Content-Length"] = str(len(body))
            fields["Connection"] = "close"
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            status, answer_headers = await read_head(reader)
            length = answer_headers.get("content-length")
            if length is None:
                return status, answer_headers, await reader.read()
            return status, answer_headers, await reader.readexactly(int(length))
        finally:
            writer.close()


async def read_head(reader):
    """Return the status of an answer and its headers in lower case."""
    first, headers = await read_lines(reader)
    return int(first.split()[1]), headers


async def read_lines(reader):
    """Return the first line of a message and its headers in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Request:
    """A request that a server stand-in received."""

    def __init__(self, first_line, headers, body):
        self.method, self.target, _ = first_line.split(" ")
        self.headers = headers
        self.body = body

    @property
    def id(self):
        """Value of ``X-Request-Id``."""
        return self.headers.get("x-request-id", "")


class Server:
    """Base of the server stand-ins; they speak what the page PROTOCOL says."""

    def __init__(self, number, service, slots):
        self.id = f"i-{service}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.service = service
        self.slots = slots
        self.port = 0
        self.running = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = None

    async def start(self):
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def entry(self):
        """Return the entry of the list of servers, with the next sequence number."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slot_count": self.slots,
            "state": "ready",
            "cold_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                first, headers = await read_lines(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Request(first, headers, body)
                expected = headers.get("x-expect-instance", self.id)
                if expected != self.id:
                    self.answer(writer, request, 421, b"", not_run=True)
                elif request.target.startswith("/bankrudder/"):
                    self.control(writer, request)
                elif self.running >= self.slots:
                    self.answer(writer, request, 503, b"", not_run=True)
                else:
                    self.running += 1
                    try:
                        await self.run(writer, request)
                    finally:
                        self.running -= 1
                await writer.drain()
        writer.close()

    def control(self, writer, request):
        """Answer a call to one of the server's own interfaces."""
        self.answer(writer, request, 404, b"", not_run=True)

    async def run(self, writer, request):
        """Run a request and answer it."""
        raise NotImplementedError

    def answer(self, writer, request, status, body, not_run=False):
        """Answer a request with a complete body on a channel that is kept."""
        head = [f"HTTP/1.1 {status} Status", f"X-Instance-Id: {self.id}"]
        head.append(f"X-Request-Id: {request.id}")
        if not_run:
            head.append("X-Not-Executed: 1")
        else:
            head.append(f"X-Response-Stamp: {self.stamp(request)}")
        head.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*head, "", ""]).encode() + body)

    def stamp(self, request):
        """Return the receipt of an answer."""
        return f"{self.id}.{request.id}"


class Site:
    """Store, servers and daemons of one case."""

    def __init__(self, folder, daemon_count, servers, configuration):
        self.rows = StoreRows()
        self.servers = servers
        self.daemons = []
        self._folder = folder
        self._daemon_count = daemon_count
        self._configuration = configuration
        self._gate = None
        self._heartbeats = None

    async def start(self):
        """Start everything and wait until all daemons take requests."""
        self._gate = await StoreGate(self.rows).start()
        for server in self.servers:
            await server.start()
            self.rows.put("servers", server.id, server.entry())
        self.rows.put("op", "config", self._configuration)
        self._heartbeats = asyncio.ensure_future(self._write_heartbeats())
        for number in range(self._daemon_count):
            daemon = Daemon(number, self._gate.address, self._folder)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def _write_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                self.rows.put("servers", server.id, server.entry())

    async def stop(self):
        """End the daemons and the stand-ins."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for daemon in self.daemons:
            await daemon.stop()
        for server in self.servers:
            await server.stop()
        if self._gate is not None:
            await self._gate.stop()


async def _run_case(case, record):
    # A terminated script ends its daemons, too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    async with asyncio.timeout(110):
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            return await case(Path(folder), record, os.environ.get("TROUBLE") != "0")


def main(case, folder):
    """Run a case and exit with 1 if the rule was broken, 0 if held, 2 if not run.

    Parameters
    ----------
    case : callable
        Takes the folder for temporary files, the record and whether to bring about the
        disruption; returns a list of the violations.
    folder : Path
        Folder of the case, into which the record is written.
    """
    record = Record(folder / "record.txt")
    try:
        violations = asyncio.run(_run_case(case, record))
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"NOT RUN: {type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    for violation in violations:
        record.note(f"BROKEN: {violation}")
        print(f"broken: {violation}")
    record.note("the rule was broken" if violations else "the rule held")
    record.close()
    sys.exit(EXIT_BROKEN if violations else EXIT_HELD)

"""A small deployment of daemons on loopback, for the scripts of cases 4 to 6.

Each daemon is started with the command of the deploy file, has settings like those that
its template gives a small deployment, and reaches the store through a proxy of its own.
The store and the servers are the project's stand-ins from ``tests/outside``.
"""

import asyncio
import os
import tempfile
import time
from pathlib import Path

import aiohttp

from loopback import unique_address
from outside.endpoints import EngineStandIn, ServiceStandIn
from outside.site import (
    ENGINES,
    HOST_NAME,
    MODEL,
    SCORERS,
    HostProcess,
    until,
)
from outside.store import StoreGate, StoreRows

ROOT = Path(__file__).resolve().parents[1]

COMMAND = ("python3", "src/bankrudder_node.py")
"""The `run` line of ``deploy/system.toml``."""

CONTRACTS = (
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
)

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def write(self, text):
        """Write one line with the seconds since the start."""
        line = f"{time.monotonic() - self._began:7.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class TcpProxy:
    """Forwards connections to a store or a server.

    Attributes
    ----------
    hold : callable or None
        Takes a request and returns the seconds by which its reply is delayed, or None
        to pass the reply on at once.
    """

    def __init__(self, target):
        self.address = ""
        self.hold = None
        self._target = target
        self._connections = []
        self._server = None

    async def start(self):
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self):
        """Close everything."""
        self._server.close()
        for connection in self._connections:
            connection.close()

    def silence(self, text=""):
        """Make the open connections silent whose last request line has `text` in it.

        They stay open and carry nothing more in either direction; new ones work.
        Returns the number of connections.
        """
        found = [each for each in self._connections if each.silence_if(text)]
        return len(found)

    async def _accept(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        try:
            target = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._connections.append(_Connection(self, (reader, writer), target))


class _Connection:
    """One connection of a daemon, and the one to its destination."""

    def __init__(self, proxy, source, target):
        self._proxy = proxy
        self._writers = (source[1], target[1])
        self._request = b""
        self._is_silent = False
        self._is_open = True
        self._tasks = [
            asyncio.ensure_future(self._forward(source[0], target[1], False)),
            asyncio.ensure_future(self._forward(target[0], source[1], True)),
        ]

    def silence_if(self, text):
        """Make the connection silent if its last request line has `text` in it."""
        line = self._request.split(b"\r\n")[0]
        matches = self._is_open and not self._is_silent and text.encode() in line
        self._is_silent = self._is_silent or matches
        return matches

    def close(self):
        """Close both connections."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _forward(self, reader, writer, is_reply):
        try:
            while chunk := await reader.read(65536):
                if not is_reply:
                    is_head = chunk.startswith((b"GET /", b"POST /", b"PUT /"))
                    self._request = chunk if is_head else self._request + chunk
                if is_reply and self._proxy.hold is not None:
                    seconds = self._proxy.hold(self._request)
                    if seconds is not None:
                        await asyncio.sleep(seconds)
                if self._is_silent:
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        if not self._is_silent:
            self._is_open = False
            writer.close()


class Daemon(HostProcess):
    """A daemon that is started as the platform starts it."""

    async def start(self):
        """Start the daemon without waiting until it is ready."""
        self.write_settings()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BANKRUDDER_SETTINGS"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )


class Deployment:
    """Daemons, engines and scorers, and the calls of trainers.

    Parameters
    ----------
    configuration : dict
        The first desired state.
    make_engine : callable, optional
        Returns the engine of a name; by default one of the project's stand-ins.
    """

    def __init__(
        self, folder, record, configuration, events, event_gap_s, make_engine=None
    ):
        self.folder = folder
        self.record = record
        self.rows = StoreRows()
        self.daemons = []
        self.engines = []
        self.scorers = []
        self._configuration = configuration
        self._make_engine = make_engine or self._default_engine
        self._events = events
        self._event_gap_s = event_gap_s
        self.engine_proxies = []
        self._gates = []
        self._session = None

    async def start(self, daemon_count=3, engine_count=4, scorer_count=2):
        """Start everything and wait until all daemons are ready."""
        for number in range(engine_count):
            engine = await self._make_engine(f"engine-{number}").start()
            self.engines.append(engine)
            proxy = await TcpProxy(engine.address).start()
            self.engine_proxies.append(proxy)
            entry = engine.document(ENGINES, "zone-a") | {"address": proxy.address}
            self.rows.put("servers", engine.id, entry)
        for number in range(scorer_count):
            scorer = ServiceStandIn(f"scorer-{number}")
            scorer.slots = 6
            scorer.delay_s = 0.03
            await scorer.start()
            self.scorers.append(scorer)
            self.rows.put("servers", scorer.id, scorer.document(SCORERS, "zone-a"))
        self.rows.put("op", "config", self._configuration)
        for number in range(daemon_count):
            await self._start_daemon(number)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=10),
        )
        for daemon in self.daemons:
            await until(daemon.is_ready, 30)
        # Two heartbeats: every daemon knows every other one.
        await asyncio.sleep(1.5)
        return self

    def _default_engine(self, name):
        engine = EngineStandIn(name, MODEL, self._events)
        engine.event_gap_s = self._event_gap_s
        engine.slots = 12
        engine.refuses_when_full = True
        return engine

    async def _start_daemon(self, number):
        gate = await StoreGate(self.rows).start()
        self._gates.append(gate)
        daemon = Daemon(f"front-{number}", "zone-a", gate, self.folder)
        daemon.store_proxy = await TcpProxy(gate.address).start()
        daemon.settings = {
            "feeds": {"address": unique_address()},
            "contracts": CONTRACTS,
            "memory_mb": 350,
            "processor_share": 0.717,
            "processor_speed": 3,
            "status_retention_s": 120,
            "lease_ms": 3000,
            "grace_s": 8,
        }
        await daemon.start()
        self.daemons.append(daemon)

    async def stop(self):
        """End all that was started."""
        for daemon in self.daemons:
            await daemon.kill()
            await daemon.store_proxy.stop()
        for proxy in self.engine_proxies:
            await proxy.stop()
        for gate in self._gates:
            await gate.stop()
        for endpoint in self.engines + self.scorers:
            await endpoint.stop()
        if self._session is not None:
            await self._session.close()

    def owner_of(self, batch_id):
        """Return the daemon that the store names as the owner of a batch."""
        _, value = self.rows.rows[("owners", batch_id, "owner")]
        return next(each for each in self.daemons if f'"{each.name}"'.encode() in value)

    async def call(self, daemon, method, path, body=b"", headers=None):
        """Send a call; return the status and the body, status 0 without an answer."""
        try:
            async with self._session.request(
                method,
                f"http://{daemon.address}{path}",
                data=body,
                headers={"Host": HOST_NAME, **(headers or {})},
            ) as response:
                answer = await response.read()
                return response.status, answer
        except (aiohttp.ClientError, TimeoutError) as error:
            self.record.write(f"no answer to {method} {path}: {type(error).__name__}")
            return 0, b""


async def run_case(case_folder, play):
    """Run ``play(folder, record, has_trouble)``; return its exit code.

    What goes wrong before the play has reached its verdict counts as not run.
    """
    record = Record(case_folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if has_trouble else 'no'}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with asyncio.timeout(100):
                code = await play(Path(folder), record, has_trouble)
        except Exception as error:
            record.write(f"could not run: {type(error).__name__}: {error}")
            code = EXIT_NOT_RUN
    record.write(f"exit {code}")
    return code

"""A complete site on this machine: daemons as processes, and stand-ins around them."""

import asyncio
import base64
import json
import os
import resource
import signal
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp

from loopback import unique_address
from outside.endpoints import EngineStandIn, ServiceStandIn
from outside.store import StoreGate, StoreRows
from outside.trainer_calls import ending, reading, submission

MODEL = "m0"
ENGINES = "engines"
SCORERS = "scorers"
HOST_NAME = "site.test"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0

PROGRAM = Path(__file__).parents[2] / "src" / "bankrudder_node.py"
SUSPENDABLE_PROGRAM = Path(__file__).parent / "suspendable_node.py"
SUSPENSION_SIGNAL = signal.SIGUSR1
"""Signal that announces a simulated suspension to `suspendable_node`."""

SIGNAL_HANDLING_S = 0.02
"""Time within which a process handles a signal."""


class HostProcess:
    """A daemon process and its own gate to the store."""

    def __init__(
        self, name, data_centre, gate, folder, rpc=None, min_feed_hosts=0, duties=None
    ):
        self.name = name
        self._rpc = rpc
        self._duties = duties
        self._min_feed_hosts = min_feed_hosts
        self.gate = gate
        self.store_proxy = None
        self.is_suspendable = False
        self.max_descriptors: int | None = None
        self.settings: dict[str, Any] = {}
        self._data_centre = data_centre
        self._folder = folder
        self._process: Any = None
        self.address = unique_address()

        self.readiness_address = unique_address()
        self.metrics_address = unique_address()
        self.rpc_address = unique_address()
        self.feed_address = unique_address()

    @property
    def log_path(self):
        """Path of the daemon's log."""
        return self._folder / f"{self.name}.log"

    def log_lines(self):
        """Return the log lines so far, decoded."""
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def unhandled_errors(self):
        """Return the log lines so far of errors that nothing handled."""
        return [line for line in self.log_lines() if "exception" in line]

    @property
    def _store_address(self):
        proxy = self.store_proxy
        return proxy.address if proxy is not None else self.gate.address

    async def start(self):
        """Start the daemon without waiting until it is ready."""
        self.write_settings()
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(SUSPENDABLE_PROGRAM if self.is_suspendable else PROGRAM),
                env={**os.environ, "BANKRUDDER_SETTINGS": str(self.settings_path)},
                stdout=log,
                stderr=log,
            )
        if self.max_descriptors is not None:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)

    @property
    def pid(self):
        """Identifier of the daemon's process."""
        return self._process.pid

    @property
    def settings_path(self):
        """Path of the daemon's settings."""
        return self._folder / f"{self.name}.json"

    def write_settings(self, **changes):
        """Write the daemon's settings."""
        optional_settings = {}
        if self._rpc:
            optional_settings["rpc"] = {"address": self.rpc_address, **self._rpc}
        if self._min_feed_hosts:
            optional_settings["feeds"] = {
                "address": self.feed_address,
                "min_hosts": self._min_feed_hosts,
            }
        if self._duties:
            optional_settings["duties"] = self._duties
        settings = {
            "host": self.name,
            "data_centre": self._data_centre,
            "callers_address": self.address,
            "readiness_address": self.readiness_address,
            "metrics_address": self.metrics_address,
            "store": {"address": self._store_address},
            "lease_ms": 1000,
            "grace_s": 8,
            **optional_settings,
            **self.settings,
            **changes,
        }
        self.settings_path.write_text(json.dumps(settings))

    async def is_ready(self):
        """Whether the daemon reports that it accepts new connections."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(
                    f"http://{self.readiness_address}/bankrudder/readiness"
                ) as response,
            ):
                return response.status == 200
        except aiohttp.ClientError:
            return False

    @property
    def is_running(self):
        """Whether the daemon was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    def terminate(self):
        """Ask the daemon to shut down gracefully, without waiting for its exit."""
        self._process.terminate()

    async def wait_exited(self, limit_s):
        """Wait until the daemon exits, and kill it after `limit_s`."""
        try:
            await asyncio.wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            await self.kill()

    def signal_if_running(self, number):
        """Send a signal to the daemon if it is running."""
        if self.is_running:
            self._process.send_signal(number)

    async def suspend(self, seconds):
        """Simulate a suspension of the host, which stops its monotonic clock."""
        assert self.is_suspendable
        self.signal_if_running(SUSPENSION_SIGNAL)
        await asyncio.sleep(SIGNAL_HANDLING_S)
        self.signal_if_running(PAUSE_SIGNAL)
        await asyncio.sleep(seconds)
        self.signal_if_running(RESUME_SIGNAL)

    def signal(self, number):
        """Send a signal to the daemon."""
        self._process.send_signal(number)

    async def kill(self):
        """Kill the daemon at once, as a power failure would."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def stop(self):
        """Shut the daemon down gracefully; return its exit code."""
        self._process.terminate()
        return await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)


class Site:
    """Hosts, engines and scorers, and the requests of callers to them.

    Attributes
    ----------
    key : str
        API key of each call that has none of its own; empty to send none.

    Parameters
    ----------
    events : int
        Number of events of each stream of the engines.
    data_centres : tuple of str
        Data centres, assigned in turn to the hosts, the engines and the scorers.
    rpc : dict or None
        Settings of the project's own RPC interface without its address.
    min_feed_hosts : int
        Number of hosts from which on one host reads the store for the others.
    suspendable : int
        Number of hosts, counted from the first, that can be suspended.
    duties : dict or None
        Settings of the platform's duty API.
    settings : dict or None
        Further settings of each host.
    max_descriptors : int or None
        Largest number of descriptors that the process of each host may have open; None
        leaves the limit of this process.
    limits : dict or None
        Limits on callers in the first configuration.
    timeout_ms : int or None
        Timeout of the routes to scorers in the first configuration; None leaves it.
    """

    def __init__(
        self,
        folder,
        hosts=3,
        engines=2,
        events=4,
        data_centres=("north",),
        rpc=None,
        min_feed_hosts=0,
        suspendable=0,
        duties=None,
        settings=None,
        max_descriptors=None,
        limits=None,
        timeout_ms=None,
    ):
        self.duties = duties
        self._max_descriptors = max_descriptors
        self._limits = {} if limits is None else {"limits": limits}
        self._timeout_ms = timeout_ms
        self._settings = settings or {}
        self.key = ""
        self._suspendable = suspendable
        self._min_feed_hosts = min_feed_hosts
        self._data_centres = data_centres
        self._rpc = rpc
        self.rows = StoreRows()
        self.hosts = []
        self.engines = []
        self.scorers = []
        self._folder = folder
        self._sizes_at_start = (hosts, engines, events)
        self._session: Any = None

    async def start(self, proxy_factory=None):
        """Start the site and wait until every host is ready.

        ``proxy_factory`` creates a proxy for an address; each host then reaches the
        store through a proxy of its own.
        """
        hosts, engines, events = self._sizes_at_start
        for number in range(engines):
            engine = await EngineStandIn(f"engine-{number}", MODEL, events).start()
            self.engines.append(engine)
            self.rows.put(
                "servers",
                engine.id,
                engine.document(ENGINES, self._data_centre_of(number)),
            )
        for number in range(2):
            scorer = await ServiceStandIn(f"scorer-{number}").start()
            self.scorers.append(scorer)
            self.rows.put(
                "servers",
                scorer.id,
                scorer.document(SCORERS, self._data_centre_of(number)),
            )
        first = configuration(1, **self._limits)
        for route in first["routes"]:
            if route["service"] == SCORERS and self._timeout_ms is not None:
                route["timeout_ms"] = self._timeout_ms
        self.rows.put("op", "config", first)
        for number in range(hosts):
            gate = await StoreGate(self.rows).start()
            host = HostProcess(
                f"host-{number}",
                self._data_centre_of(number),
                gate,
                self._folder,
                self._rpc,
                self._min_feed_hosts,
                self.duties,
            )
            host.is_suspendable = number < self._suspendable
            host.settings = self._settings
            host.max_descriptors = self._max_descriptors
            if proxy_factory is not None:
                host.store_proxy = await proxy_factory(gate.address).start()
            await host.start()
            self.hosts.append(host)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=10),
        )
        await self.wait_ready()
        return self

    def _data_centre_of(self, number):
        return self._data_centres[number % len(self._data_centres)]

    async def stop(self):
        """Stop everything that was started."""
        for host in self.hosts:
            await host.kill()
            if host.store_proxy is not None:
                await host.store_proxy.stop()
            await host.gate.stop()
        for endpoint in self.engines + self.scorers:
            await endpoint.stop()
        if self._session is not None:
            await self._session.close()

    async def wait_ready(self):
        """Wait until every host is ready."""
        for host in self.hosts:
            await until(host.is_ready, START_TIMEOUT_S)

    async def call(self, host, method, path, *, body=b"", headers=None):
        """Send a request as a caller; return the status, headers and body."""
        async with self._session.request(
            method,
            f"http://{host.address}{path}",
            data=body,
            headers={"Host": HOST_NAME, **self.credentials(), **(headers or {})},
        ) as response:
            return response.status, response.headers, await response.read()

    def credentials(self):
        """Return the header that carries the API key, if there is one."""
        return {"Authorization": f"Bearer {self.key}"} if self.key else {}

    async def ask(self, host, call):
        """Send a trainer's call; return the status and body."""
        status, _, body = await self.call(
            host, call.method, call.path, body=call.body, headers=call.headers
        )
        return status, body

    async def submit(self, host, batch_id, key="", **changes):
        """Submit a batch; return the status."""
        body = json.dumps(batch(batch_id, **changes)).encode()
        status, _ = await self.ask(host, submission(batch_id, body).with_key(key))
        return status

    async def submit_sample(self, host, batch_id, sample_body):
        """Submit a batch of one sample with a body; return the status."""
        document = batch(batch_id, samples=1)
        document["items"][0]["body"] = base64.b64encode(sample_body).decode()
        body = json.dumps(document).encode()
        status, _ = await self.ask(host, submission(batch_id, body))
        return status

    async def read(self, host, batch_id, after=0, key=""):
        """Read results once; return the status and the document."""
        call = reading(batch_id, after, wait_ms=500).with_key(key)
        status, body = await self.ask(host, call)
        return status, json.loads(body) if status == 200 else None

    async def end(self, host, batch_id, key=""):
        """End a batch; return the status."""
        status, _ = await self.ask(host, ending(batch_id).with_key(key))
        return status

    async def read_all(self, batch_id, count, hosts=None, limit_s=15.0, key=""):
        """Return all results of a batch, read from the hosts in turn."""
        hosts = hosts or self.hosts
        results: list[Any] = []
        deadline = time.monotonic() + limit_s
        attempt_count = 0
        while len(results) < count:
            assert time.monotonic() < deadline, (
                f"{len(results)} of {count} results within {limit_s} s"
            )
            attempt_count += 1
            try:
                status, page = await self.read(
                    hosts[attempt_count % len(hosts)], batch_id, len(results), key
                )
            except (aiohttp.ClientError, TimeoutError):
                status, page = 0, None
            if status == 200:
                results += page["results"]
            else:
                await asyncio.sleep(0.05)
        return results

    def name_version(self, version):
        """Name a version of the weights, as a trainer does."""
        document = {"model": MODEL, "version": version}
        self.rows.put("op", f"version/{MODEL}", document)


def configuration(version, **changes):
    """Return a configuration as operators write it."""
    routes = [
        {
            "name": "rollout",
            "host": HOST_NAME,
            "path_prefix": "/rollout/",
            "kind": "rollout",
            "service": ENGINES,
            "max_attempts": 3,
            "retention_s": 20,
            "result_target_ms": 5000,
        },
        {
            "name": "score",
            "host": HOST_NAME,
            "path_prefix": "/score/",
            "kind": "idempotent",
            "service": SCORERS,
            "timeout_ms": 1500,
            "target_latency_ms": 200,
            "max_attempts": 3,
        },
        {
            "name": "once",
            "host": HOST_NAME,
            "path_prefix": "/once/",
            "kind": "non_idempotent",
            "service": SCORERS,
            "timeout_ms": 1500,
            "target_latency_ms": 200,
            "max_attempts": 3,
        },
    ]
    routes += [
        {
            "name": f"stream-{name}",
            "host": HOST_NAME,
            "path_prefix": f"/{name}/",
            "kind": "streaming",
            "service": ENGINES,
            "timeout_ms": 5000,
            "max_attempts": 3,
            "resumable": resumable,
        }
        for name, resumable in (("stream", False), ("resumable", True))
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": ENGINES, "engine": {"models": [{"name": MODEL}]}},
            {"name": SCORERS},
        ],
    }
    return {**document, **changes}


def batch(
    batch_id, samples=8, min_version=1, group_size=4, names=None, target_groups=2
):
    """Return a batch as trainers submit it; ``names`` is a prefix of its sample ids."""
    names = names or batch_id
    items = [
        {
            "id": f"{names}-s{number}",
            "path": f"/rollout/{number}",
            "headers": {"X-Model": MODEL, "X-Length-Hint": "100"},
            "body": "AAEC",
            "tokens": 200,
            "group": f"g{number // group_size}",
            "scorer": {
                "id": f"{names}-r{number}",
                "host": HOST_NAME,
                "path": f"/score/{number}",
                "body": "AAEC",
            },
        }
        for number in range(samples)
    ]
    return {
        "step": 0,
        "model": MODEL,
        "min_version": min_version,
        "target_groups": target_groups,
        "items": items,
    }


def check_results(results, batch_id, count, events=4):
    """Check that every sample has one result, which is complete and scored."""
    assert sorted(each["id"] for each in results) == sorted(
        f"{batch_id}-s{number}" for number in range(count)
    )
    for each in results:
        assert each["state"] == "succeeded"
        expected_text = "\n".join(f"{each['id']}-{number}" for number in range(events))
        assert each["text"] == expected_text
        reward = each["id"].replace("-s", "-r")
        assert each["score"].endswith(f".{reward}")


async def until(condition, limit_s=10.0, describe_state=lambda: ""):
    """Wait until a condition, synchronous or asynchronous, is true.

    ``describe_state`` returns the text that is added to the error on a time-out.
    """
    deadline = time.monotonic() + limit_s
    while True:
        outcome = condition()
        if asyncio.iscoroutine(outcome):
            outcome = await outcome
        if outcome:
            return
        assert time.monotonic() < deadline, (
            f"not in time ({limit_s} s) {describe_state()}"
        )
        await asyncio.sleep(0.02)


PAUSE_SIGNAL = signal.SIGSTOP
RESUME_SIGNAL = signal.SIGCONT
HANGUP_SIGNAL = signal.SIGHUP

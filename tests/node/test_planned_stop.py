"""A host that is stopped as planned, while its endpoints are slow.

The tests guard against a request that is passed on and then cut without an answer at
the end of the grace period, and against a process that is killed at that end. Clients
go on, on kept and on new connections, until the process has ended.
"""

import asyncio
import itertools
import json
import time

import aiohttp
import msgspec
import pytest

from outside.site import HOST_NAME, Site, batch, until
from outside.store import GateMode
from outside.trainer_calls import ending, reading, submission

GRACE_S = 8.0
"""The grace period in the settings of the hosts."""

TIMEOUT_S = 4.0
CLIENT_COUNT = 6
PAUSE_S = 0.1
BEFORE_S = 2.0
"""Time for which clients send before the stop begins. They begin one after the other,
so that the host always has a request in progress."""

HIGHEST_RETRY_AFTER_S = 1.0


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path, hosts=2, timeout_ms=int(1000 * TIMEOUT_S))
    try:
        yield await site.start()
    finally:
        await site.stop()


class Exchange(msgspec.Struct):
    """A request and what came of it: a status, or 0 if the connection was cut."""

    request_id: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""


class Clients:
    """Clients that send requests to a host again and again, one at a time each."""

    def __init__(self, host, deadline_s=TIMEOUT_S):
        self._host = host
        self._deadline_s = deadline_s
        self._numbers = itertools.count()
        self.exchanges = []

    async def run(self, paths, count=CLIENT_COUNT):
        """Send requests on kept and on new connections until the host is gone."""
        kinds = [*itertools.product(range(count), (True, False), paths)]
        async with asyncio.TaskGroup() as group:
            for number, (_, is_kept, path) in enumerate(kinds):
                begins_after_s = BEFORE_S * number / len(kinds)
                group.create_task(self._run_client(path, is_kept, begins_after_s))

    async def _run_client(self, path, is_kept, begins_after_s):
        await asyncio.sleep(begins_after_s)
        connector = aiohttp.TCPConnector(force_close=not is_kept)
        async with aiohttp.ClientSession(connector=connector) as session:
            while self._host.is_running:
                await self.send(session, path)
                await asyncio.sleep(PAUSE_S)

    async def send(self, session, path):
        """Send a request; record it unless no connection was made."""
        exchange = Exchange(f"q{next(self._numbers)}", time.monotonic())
        try:
            async with session.post(
                f"http://{self._host.address}{path}",
                data=b"x",
                headers={
                    "Host": HOST_NAME,
                    "X-Request-Id": exchange.request_id,
                    "X-Request-Deadline": str(int(1000 * self._deadline_s)),
                },
            ) as response:
                body = await response.read()
                exchange.status = response.status
                exchange.headers = dict(response.headers)
                exchange.body = body
        except aiohttp.ClientConnectorError:
            return
        except aiohttp.ClientError:
            pass
        self.exchanges.append(exchange)


async def stop_beside(host, clients_task):
    """Stop a host as planned; return how long its process took to end by itself."""
    await asyncio.sleep(BEFORE_S)
    host.terminate()
    began = time.monotonic()
    await host.wait_exited(GRACE_S)
    seconds = time.monotonic() - began
    await clients_task
    return seconds


def run_counts(endpoints):
    counts = {}
    for each in endpoints:
        for request_id, count in each.run_counts.items():
            counts[request_id] = counts.get(request_id, 0) + count
    return counts


def check(exchanges, endpoints, stopped_at):
    """Check that no request was cut, and that refusals are true; return the refused."""
    counts = run_counts(endpoints)
    cut = [
        each for each in exchanges if not each.status and counts.get(each.request_id)
    ]
    assert not cut, (
        f"{len(cut)} cut, sent {[each.sent_at - stopped_at for each in cut]}"
    )
    refused = [each for each in exchanges if each.status == 503]
    for each in refused:
        assert each.request_id not in counts
        assert float(each.headers["Retry-After"]) <= HIGHEST_RETRY_AFTER_S
        assert each.headers["Connection"] == "close"
    assert {each.status for each in exchanges} <= {0, 200, 503}
    return refused


@pytest.mark.parametrize("delay_s", [0.2, 1.0, 2.0, 3.0])
async def test_no_request_that_was_passed_on_is_cut(site, delay_s):
    host, other = site.hosts
    for each in site.scorers:
        each.delay_s = delay_s
        each.slots = 1000
    clients = Clients(host)
    task = asyncio.ensure_future(clients.run(["/score/1", "/once/1"]))
    stopped_at = time.monotonic() + BEFORE_S
    seconds = await stop_beside(host, task)
    refused = check(clients.exchanges, site.scorers, stopped_at)
    assert seconds < GRACE_S, "killed at the end of the grace period"
    answered = [each for each in clients.exchanges if each.status == 200]
    assert answered
    if delay_s >= 2.0:
        assert refused, "requests that cannot end in time were taken"
        assert any(each.sent_at > stopped_at for each in answered)
    async with aiohttp.ClientSession() as session:
        elsewhere = Clients(other)
        await elsewhere.send(session, "/once/1")
    assert elsewhere.exchanges[0].status == 200


@pytest.mark.parametrize("path", ["/stream/1", "/resumable/1"])
async def test_no_stream_that_has_begun_is_cut(site, path):
    events, duration_s = 20, 3.0
    host, _ = site.hosts
    for each in site.engines:
        each.events = events
        each.event_gap_s = duration_s / events
        each.slots = 1000
    clients = Clients(host)
    task = asyncio.ensure_future(clients.run([path]))
    stopped_at = time.monotonic() + BEFORE_S
    seconds = await stop_beside(host, task)
    refused = check(clients.exchanges, site.engines, stopped_at)
    assert seconds < GRACE_S, "killed at the end of the grace period"
    answered = [each for each in clients.exchanges if each.status == 200]
    assert answered and refused
    for each in answered:
        assert each.body.count(b"id: ") == events


async def test_a_request_that_may_take_longer_than_the_grace_is_refused_at_once(site):
    """Guards against a stream that is known to outlast the host."""
    host, _ = site.hosts
    host.terminate()
    await until(lambda: is_leaving(host))
    clients = Clients(host, deadline_s=3 * GRACE_S)
    async with aiohttp.ClientSession() as session:
        began = time.monotonic()
        await clients.send(session, "/stream/1")
        assert time.monotonic() - began < 1.0
        await clients.send(session, "/score/1")
    assert [each.status for each in clients.exchanges] == [503, 200]
    assert run_counts(site.engines) == {}


async def is_leaving(host):
    return not await host.is_ready()


async def test_a_request_that_outlasts_the_grace_gets_an_answer_of_ours(tmp_path):
    """It was taken before the stop; its endpoint takes longer than the grace."""
    site = Site(tmp_path, hosts=1, timeout_ms=30_000)
    try:
        await site.start()
        [host] = site.hosts
        for each in site.scorers:
            each.delay_s = 2 * GRACE_S
        clients = Clients(host, deadline_s=30.0)
        async with aiohttp.ClientSession() as session:
            sending = [
                asyncio.ensure_future(clients.send(session, path))
                for path in ("/once/1", "/score/1")
            ]
            await until(lambda: len(run_counts(site.scorers)) == 2)
            host.terminate()
            began = time.monotonic()
            await host.wait_exited(GRACE_S)
            assert time.monotonic() - began < GRACE_S
            await asyncio.gather(*sending)
        assert [each.status for each in clients.exchanges] == [504, 504]
        assert run_counts(site.scorers)["q0"] == 1  # the one of /once/
        assert not host.unhandled_errors()
    finally:
        await site.stop()


async def test_a_host_that_cannot_reach_the_store_stops_in_the_grace(site):
    host, _ = site.hosts
    host.gate.mode = GateMode.SILENT
    clients = Clients(host)
    task = asyncio.ensure_future(clients.run(["/score/1"], 2))
    seconds = await stop_beside(host, task)
    assert seconds < GRACE_S, "killed at the end of the grace period"


async def test_calls_for_batches_are_refused_once_there_is_no_time_for_them(tmp_path):
    """They are sent on connections that were opened before the stop."""
    site = Site(tmp_path, hosts=1, timeout_ms=30_000)
    calls = [
        submission("b2", json.dumps(batch("b2", samples=1)).encode()),
        reading("b1", 8, wait_ms=1000),
        ending("b1"),
    ]
    try:
        await site.start()
        [host] = site.hosts
        assert await site.submit(host, "b1") == 202
        await site.read_all("b1", 8)
        for each in site.scorers:
            each.delay_s = 2 * GRACE_S
        async with aiohttp.ClientSession() as session:
            blocking = asyncio.ensure_future(
                Clients(host, deadline_s=30.0).send(session, "/once/1")
            )
            await until(lambda: "q0" in run_counts(site.scorers))
            connections = [await connect(host) for _ in range(2 * len(calls))]
            host.terminate()
            began = time.monotonic()
            early = [await exchange(connections.pop(), each) for each in calls]
            assert [status for status, _ in early] == [202, 200, 200]
            await asyncio.sleep(GRACE_S - 1.5 - (time.monotonic() - began))
            late = [await exchange(connections.pop(), each) for each in calls]
            for status, fields in late:
                assert status == 503
                assert float(fields["Retry-After"]) <= HIGHEST_RETRY_AFTER_S
            await host.wait_exited(GRACE_S)
            assert time.monotonic() - began < GRACE_S
            await blocking
    finally:
        await site.stop()


async def connect(host):
    name, _, port = host.address.rpartition(":")
    return await asyncio.open_connection(name, port)


async def exchange(connection, call):
    """Make a call on an open connection; return the status and the fields."""
    reader, writer = connection
    headers = {
        "Host": HOST_NAME,
        "Content-Length": str(len(call.body)),
        **(call.headers or {}),
    }
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + call.body)
    async with asyncio.timeout(GRACE_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    writer.close()
    return int(head[0].split()[1]), dict(each.split(": ", 1) for each in head[1:-2])

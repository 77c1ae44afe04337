"""Connections to endpoints are reused only within the advertised idle timeout."""

import asyncio
import itertools
from contextlib import asynccontextmanager

import msgspec
import pytest
from aiohttp import web

from bankrudder.fleet import (
    Answered,
    Endpoint,
    LossReason,
    Lost,
    OpenedStream,
    OutgoingRequest,
    ReportedLoad,
)
from bankrudder.memory import MemoryBudget, TransferKind
from bankrudder.platform._endpoint_client import HttpEndpointClient
from outside.site import until

CONNECTION_COUNT = 20

request_numbers = itertools.count()


class KeepAliveEndpoint:
    """Counts its connections and advertises an idle timeout for them.

    It answers once ``expected_connections`` connections are open. With ``first_part``
    it stops in the middle of its answer until ``may_end`` is set.
    """

    def __init__(self, keep_alive_s):
        self.keep_alive_s = keep_alive_s
        self.load_report = "1,0,8"
        self.odd_headers = {}
        self.connections = set()
        self.expected_connections = 1
        self.all_connected = asyncio.Event()
        self.first_part = None
        self.may_end = asyncio.Event()

    async def answer(self, request):
        self.connections.add(request.transport)
        if len(self.connections) >= self.expected_connections:
            self.all_connected.set()
        await self.all_connected.wait()
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Response-Stamp": "stamp",
            "Keep-Alive": f"timeout={self.keep_alive_s}",
            "X-Server-Load": self.load_report,
            **self.odd_headers,
        }
        if self.first_part is None:
            return web.Response(body=b"answer", headers=headers)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(self.first_part)
        await self.may_end.wait()
        return response


@asynccontextmanager
async def serve_endpoint(keep_alive_s, budget=None):
    endpoint = KeepAliveEndpoint(keep_alive_s)
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", endpoint.answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    entry = Endpoint("e", "s", f"{host}:{port}", "north", 8)
    client = HttpEndpointClient(budget)
    try:
        yield endpoint, entry, client
    finally:
        await client.close()
        await runner.cleanup()


def make_request(number):
    return OutgoingRequest(f"q{number}", "POST", "/", "host", (), b"", 5.0)


async def send_concurrently(client, entry, count):
    # Each request has an identifier of its own: one that is sent again gets a new
    # connection.
    requests = [make_request(next(request_numbers)) for _ in range(count)]
    sends = [client.send(entry, request) for request in requests]
    outcomes = await asyncio.gather(*sends)
    assert all(isinstance(each, Answered) for each in outcomes)


async def test_connections_opened_before_the_first_answer_are_reused():
    """A training step opens its connections before an answer states an idle timeout."""
    async with serve_endpoint(10) as (endpoint, entry, client):
        endpoint.expected_connections = CONNECTION_COUNT
        await send_concurrently(client, entry, CONNECTION_COUNT)
        await send_concurrently(client, entry, CONNECTION_COUNT)
        assert len(endpoint.connections) == CONNECTION_COUNT


@pytest.mark.parametrize(
    ("report", "load"),
    [("2,1,8,160", ReportedLoad(2, 1, 8, 1.6)), ("2,1,8,often", None)],
)
async def test_an_invalid_load_report_does_not_cost_the_answer(report, load):
    async with serve_endpoint(10) as (endpoint, entry, client):
        endpoint.load_report = report
        outcome = await client.send(entry, make_request(1))
        assert isinstance(outcome, Answered)
        assert (outcome.body, outcome.load) == (b"answer", load)


@pytest.mark.parametrize(("keep_alive_s", "pause_s"), [(1, 0.0), (2, 1.2)])
async def test_a_connection_that_the_endpoint_is_about_to_close_is_not_reused(
    keep_alive_s, pause_s
):
    async with serve_endpoint(keep_alive_s) as (endpoint, entry, client):
        await send_concurrently(client, entry, 1)
        await asyncio.sleep(pause_s)
        await send_concurrently(client, entry, 1)
        assert len(endpoint.connections) == 2


async def test_a_connection_is_reused_within_its_idle_timeout():
    async with serve_endpoint(2) as (endpoint, entry, client):
        for _ in range(3):
            await send_concurrently(client, entry, 1)
            await asyncio.sleep(0.5)
        assert len(endpoint.connections) == 1


async def test_an_answer_that_the_host_ends_is_no_failure_of_the_endpoint(manual_clock):
    budget = MemoryBudget(1000, manual_clock, uncounted_bytes=0)
    async with serve_endpoint(10, budget) as (endpoint, entry, client):
        endpoint.first_part = bytes(700)
        sending = asyncio.ensure_future(client.send(entry, make_request(1)))
        await until(lambda: budget.held_bytes == len(endpoint.first_part))
        manual_clock.advance(2.0)
        newer = budget.hold(TransferKind.ANSWER, lambda: 0, lambda: None)
        assert newer.grow(700)
        assert await sending == Lost(LossReason.NO_MEMORY)
        endpoint.may_end.set()


@pytest.mark.parametrize("value", ["\u00b2", "\u0663", "9" * 5000, "9" * 400, "-1", ""])
async def test_odd_numbers_in_the_headers_of_an_answer_do_not_cost_it(value):
    """They raised ValueError, and the caller got status 500 for a complete answer."""
    async with serve_endpoint(10) as (endpoint, entry, client):
        endpoint.odd_headers = {
            "Keep-Alive": f"timeout={value}",
            "X-Weight-Versions": value,
        }
        outcome = await client.send(entry, make_request(1))
        assert isinstance(outcome, Answered)
        async with client.open_stream(entry, make_request(2)) as stream:
            assert isinstance(stream, OpenedStream)
            assert stream.version is None


async def test_a_connection_is_reused_after_an_answer_without_a_body():
    """Such an answer may state the length of a body that does not follow."""
    async with serve_endpoint(10) as (endpoint, entry, client):
        for _ in range(3):
            request = msgspec.structs.replace(
                make_request(next(request_numbers)), method="HEAD"
            )
            outcome = await client.send(entry, request)
            assert (outcome.status, outcome.body) == (200, b"")
        assert len(endpoint.connections) == 1

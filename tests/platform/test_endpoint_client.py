"""Connections to endpoints are kept for as long as the endpoints say."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from bankrudder.fleet import Answered, Endpoint, OutgoingRequest
from bankrudder.platform._endpoint_client import HttpEndpointClient

AT_ONCE = 20


class KeepingEndpoint:
    """Counts its connections, and says how long it keeps them.

    It answers once there are ``waits_for`` of them.
    """

    def __init__(self, keeps_s):
        self.keeps_s = keeps_s
        self.connections = set()
        self.waits_for = 1
        self.all_there = asyncio.Event()

    async def answer(self, request):
        self.connections.add(request.transport)
        if len(self.connections) >= self.waits_for:
            self.all_there.set()
        await self.all_there.wait()
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Response-Stamp": "stamp",
            "Keep-Alive": f"timeout={self.keeps_s}",
        }
        return web.Response(body=b"answer", headers=headers)


@asynccontextmanager
async def endpoint_that_keeps(seconds):
    endpoint = KeepingEndpoint(seconds)
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", endpoint.answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    entry = Endpoint("e", "s", f"{host}:{port}", "north", 8)
    client = HttpEndpointClient()
    try:
        yield endpoint, entry, client
    finally:
        await client.close()
        await runner.cleanup()


def outgoing(number):
    return OutgoingRequest(f"q{number}", "POST", "/", "host", (), b"", 5.0)


async def send_at_once(client, entry, count):
    sends = [client.send(entry, outgoing(number)) for number in range(count)]
    outcomes = await asyncio.gather(*sends)
    assert all(isinstance(each, Answered) for each in outcomes)


async def test_connections_from_before_the_first_answer_are_kept():
    """A step opens its connections before any answer tells how long they are kept."""
    async with endpoint_that_keeps(10) as (endpoint, entry, client):
        endpoint.waits_for = AT_ONCE
        await send_at_once(client, entry, AT_ONCE)
        await send_at_once(client, entry, AT_ONCE)
        assert len(endpoint.connections) == AT_ONCE


@pytest.mark.parametrize(("keeps_s", "pause_s"), [(1, 0.0), (2, 1.2)])
async def test_no_connection_is_used_that_the_endpoint_is_about_to_close(
    keeps_s, pause_s
):
    async with endpoint_that_keeps(keeps_s) as (endpoint, entry, client):
        await send_at_once(client, entry, 1)
        await asyncio.sleep(pause_s)
        await send_at_once(client, entry, 1)
        assert len(endpoint.connections) == 2


async def test_a_connection_is_used_again_within_its_time():
    async with endpoint_that_keeps(2) as (endpoint, entry, client):
        for _ in range(3):
            await send_at_once(client, entry, 1)
            await asyncio.sleep(0.5)
        assert len(endpoint.connections) == 1

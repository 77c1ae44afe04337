"""The ends of answers without a length: complete, or broken off."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from bankrudder.fleet import (
    Answered,
    Endpoint,
    LossReason,
    Lost,
    OpenedStream,
    OutgoingRequest,
    StreamBrokenError,
)
from bankrudder.platform._endpoint_client import HttpEndpointClient

HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: q\r\n"
    "X-Response-Stamp: s\r\nConnection: close\r\n\r\n"
)
REQUEST = OutgoingRequest("q", "POST", "/x", "h", (), b"", 5.0)
EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"


def close(transport):
    """Close a connection in order."""
    transport.close()


def reset(transport):
    """Reset a connection."""
    option = struct.pack("ii", 1, 0)
    peer = transport.get_extra_info("socket")
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    transport.abort()


@asynccontextmanager
async def endpoint(end, pause_s, head=HEAD):
    """Yield an endpoint whose answers have no length and end as `end` does it."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head.encode() + EVENTS)
        await writer.drain()
        await asyncio.sleep(pause_s)
        end(writer.transport)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield Endpoint("e", "s", f"{host}:{port}", "north", 1)
    server.close()


@pytest.fixture
async def client():
    client = HttpEndpointClient()
    yield client
    await client.close()


@asynccontextmanager
async def opened_events(client, end, pause_s):
    """Yield the events of a stream."""
    async with (
        endpoint(end, pause_s) as target,
        client.open_stream(target, REQUEST) as outcome,
    ):
        assert isinstance(outcome, OpenedStream)
        yield outcome.events


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_a_stream_without_a_length_ends_with_its_connection(client, pause_s):
    async with opened_events(client, close, pause_s) as events:
        assert [event.number async for event in events] == [0, 1]


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_a_stream_without_a_length_that_is_reset_is_not_complete(client, pause_s):
    """Half a text was listed as succeeded after its connection was reset."""
    async with opened_events(client, reset, pause_s) as events:
        with pytest.raises(StreamBrokenError):
            assert [event async for event in events]


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_an_answer_without_a_length_ends_with_its_connection(client, pause_s):
    async with endpoint(close, pause_s) as target:
        outcome = await client.send(target, REQUEST)
    assert isinstance(outcome, Answered)
    assert outcome.body == EVENTS


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_an_answer_without_a_length_that_is_reset_is_lost(client, pause_s):
    async with endpoint(reset, pause_s) as target:
        outcome = await client.send(target, REQUEST)
    assert outcome == Lost(LossReason.BROKEN_OFF)


async def test_an_answer_in_no_chunks_that_is_reset_is_lost(client):
    """The field of another encoding hid that the answer had no length."""
    head = HEAD.replace("Connection: close", "Transfer-Encoding: identity")
    async with endpoint(reset, 0.05, head) as target:
        outcome = await client.send(target, REQUEST)
    assert outcome == Lost(LossReason.BROKEN_OFF)

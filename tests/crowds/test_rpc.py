"""Crowds of large messages to the gRPC interface end no process.

Clients need no token for that: a message is received before anything looks at it.
"""

import asyncio

import grpc.aio

from outside.crowds import is_served
from outside.rpc_interface import RPC
from outside.site import until

MEMORY_MB = 256
MESSAGE_BYTES = 8 << 20
CROWD_COUNT = 60
MAX_DESCRIPTORS = 160
SILENT_COUNT = 240
"""More connections than the process may have descriptors."""

HTTP2_START = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
"""What a client sends before its first request: the preface and empty settings."""

CALLERS_COUNT = 24
CALLS_COUNT = 1000
"""Calls of each caller whose message does not come."""

METHOD = "/bankrudder.v1.Calls/Call"


async def send(address, message):
    """Send a message on a connection of its own; return the failure's text."""
    options = [("grpc.use_local_subchannel_pool", 1)]
    async with grpc.aio.insecure_channel(address, options) as channel:
        try:
            await channel.unary_unary(METHOD)(message, timeout=10.0)
        except grpc.aio.AioRpcError as error:
            return error.details()


async def test_many_large_messages(start_site, measure):
    site, host = await start_site({"memory_mb": MEMORY_MB}, rpc=RPC)
    meter = measure(host)
    message = bytes(MESSAGE_BYTES)
    await asyncio.gather(*(send(host.rpc_address, message) for _ in range(CROWD_COUNT)))
    assert await is_served(site, host)
    assert host.is_running
    assert meter.peak_bytes < MEMORY_MB << 20


async def test_silent_clients(start_site, gather_crowd, measure):
    site, host = await start_site({}, rpc=RPC, max_descriptors=MAX_DESCRIPTORS)
    meter = measure(host)
    crowd = gather_crowd(host.rpc_address)
    await crowd.connect(SILENT_COUNT)
    assert await is_served(site, host)
    await until(host.is_ready)
    assert host.is_running
    assert meter.descriptor_peak < MAX_DESCRIPTORS


async def test_idle_clients(start_site, gather_crowd, measure):
    site, host = await start_site({}, rpc=RPC, max_descriptors=MAX_DESCRIPTORS)
    meter = measure(host)
    crowd = gather_crowd(host.rpc_address)
    await crowd.send([HTTP2_START] * SILENT_COUNT)
    assert await is_served(site, host)
    assert host.is_running
    assert meter.descriptor_peak < MAX_DESCRIPTORS
    crowd.leave()

    async def is_answered():
        # The site has no configuration for this interface.
        return "no_configuration" in await send(host.rpc_address, b"")

    await until(is_answered)


async def test_calls_whose_message_does_not_come(start_site, measure):
    site, host = await start_site({"memory_mb": MEMORY_MB}, rpc=RPC)
    meter = measure(host)
    options = [("grpc.use_local_subchannel_pool", 1)]

    async def wait():
        """Open calls on a connection of its own, and wait until they have ended."""
        async with grpc.aio.insecure_channel(host.rpc_address, options) as channel:
            calls = [channel.stream_unary(METHOD)() for _ in range(CALLS_COUNT)]
            await asyncio.gather(*calls, return_exceptions=True)

    await asyncio.gather(*(wait() for _ in range(CALLERS_COUNT)))
    assert await is_served(site, host)
    assert host.is_running
    assert meter.peak_bytes < MEMORY_MB << 20

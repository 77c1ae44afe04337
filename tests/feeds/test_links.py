"""Subscribers read only so much of one message."""

import asyncio
import struct

from bankrudder.feeds._links import MAX_MESSAGE_BYTES, SubscriberLink

PUBLISHER_HEADER = b"\0SP\0" + struct.pack(">HH", 0x20, 0)
"""What a publisher sends first, by the protocol of the sockets."""

BLOCK = bytes(1 << 16)
WAIT_S = 2.0


async def test_a_message_without_end_is_not_read():
    """Guards against a host that holds a message for as long as bytes of it come."""
    sent_bytes = 0
    closed = asyncio.Event()

    async def publish(reader, writer):
        nonlocal sent_bytes
        writer.write(PUBLISHER_HEADER + struct.pack(">Q", 8 * MAX_MESSAGE_BYTES))
        try:
            while sent_bytes < 8 * MAX_MESSAGE_BYTES:
                writer.write(BLOCK)
                await writer.drain()
                sent_bytes += len(BLOCK)
        except OSError:
            closed.set()
        writer.close()

    server = await asyncio.start_server(publish, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = SubscriberLink(f"{host}:{port}", lambda message: None)
    try:
        async with asyncio.timeout(WAIT_S):
            await closed.wait()
    finally:
        link.close()
        server.close()
    assert sent_bytes < MAX_MESSAGE_BYTES

"""Subscribers read only so much of one message, and only so many are connected."""

import asyncio
import contextlib
import socket
import struct

from bankrudder.feeds import FeedHeartbeat
from bankrudder.feeds._links import MAX_MESSAGE_BYTES, PublisherLink, SubscriberLink
from bankrudder.feeds._messages import encode
from bankrudder.world import host_and_port
from loopback import unique_address

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


async def test_only_so_many_subscribers_are_connected():
    address = unique_address()
    publisher = PublisherLink(address, 3)
    messages = [[] for _ in range(4)]
    silent = [await connect(address) for _ in range(12)]
    subscribers = [SubscriberLink(address, each.append) for each in messages]
    try:
        number = 0
        async with asyncio.timeout(WAIT_S):
            while sum(map(bool, messages)) < 3:
                number += 1
                publisher.send(FeedHeartbeat(number, {}))
                await asyncio.sleep(0.01)
        assert sum(map(bool, messages)) == 3
    finally:
        for each in (*subscribers, publisher):
            each.close()
        for each in silent:
            each.close()


async def test_a_connection_that_begins_otherwise_is_closed():
    address = unique_address()
    publisher = PublisherLink(address, 3)
    connection = await connect(address)
    connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
    try:
        async with asyncio.timeout(WAIT_S):
            loop = asyncio.get_running_loop()
            with contextlib.suppress(ConnectionResetError):
                assert await loop.sock_recv(connection, 1) == b""
    finally:
        connection.close()
        publisher.close()


async def connect(address):
    connection = socket.socket()
    connection.setblocking(False)
    host, port = host_and_port(address)
    await asyncio.get_running_loop().sock_connect(connection, (host, port))
    return connection


async def test_bytes_that_are_no_message_are_passed_over():
    """Guards against a feed that ends, or a change that nobody sent."""
    heartbeat = FeedHeartbeat(7, {"servers": 0.5})
    whole = encode(heartbeat)
    broken = [
        b"",
        b"\x00",
        b"HTTP/1.1 000 X\r\n\r\n",
        whole[:-1],
        whole + b"\x00",
        BLOCK,
    ]
    received = asyncio.Queue()

    async def publish(reader, writer):
        writer.write(PUBLISHER_HEADER)
        await reader.readexactly(len(PUBLISHER_HEADER))
        for data in [*broken, whole]:
            writer.write(struct.pack(">Q", len(data)) + data)
        await writer.drain()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(publish, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = SubscriberLink(f"{host}:{port}", received.put_nowait)
    try:
        async with asyncio.timeout(WAIT_S):
            assert await received.get() == heartbeat
        assert received.empty()
    finally:
        link.close()
        server.close()

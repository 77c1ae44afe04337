"""Bytes without end that belong to no body of a request are not read for long.

The tests guard against a host that parses them for as long as a caller sends them.
"""

import asyncio

import pytest
from aiohttp import web

from bankrudder.serving import BoundedListener, BoundedServer, ConnectionTable
from bankrudder.world import Address, SystemClock, host_and_port

BLOCK_BYTES = 1 << 16
READ_BYTES = 16 << 20
"""More than both kernels hold of a connection before it is closed."""

BRIEF_S = 2.0

HEAD = b"POST / HTTP/1.1\r\nHost: host\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: host\r\n\r\n"
UNITS = {
    "blank lines": (b"", b"\r\n"),
    "target": (b"GET /", b"a"),
    "field value": (HEAD + b"X-A: ", b"a"),
    "spaces": (HEAD + b"X-A: ", b" "),
    "fields": (HEAD, b"X-A: b\r\n"),
    "zeros of a chunk size": (CHUNKED, b"0"),
    "extension": (CHUNKED + b"5;", b"a"),
    "extensions": (CHUNKED, b"1;" + b"a" * 100 + b"\r\nx\r\n"),
    "chunks of a byte": (CHUNKED, b"1\r\na\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
}


@pytest.fixture
async def address():
    async def answer(request):
        return web.Response(body=await request.read())

    runner = web.ServerRunner(
        BoundedServer(answer, ConnectionTable(100, SystemClock()))
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield runner.addresses[0][:2]
    await runner.cleanup()


async def send_until_closed(writer, unit, timeout_s=BRIEF_S):
    """Send units until the other side closes the connection, or for some time.

    Return the number of bytes, and whether the connection was closed.
    """
    block = unit * (BLOCK_BYTES // len(unit))
    sent_bytes = 0
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                writer.write(block)
                await writer.drain()
                sent_bytes += len(block)
    except TimeoutError:
        return sent_bytes, False
    except OSError:
        return sent_bytes, True


@pytest.mark.parametrize("name", UNITS)
async def test_a_request_without_end_is_broken_off(address, name):
    head, unit = UNITS[name]
    _, writer = await asyncio.open_connection(*address)
    writer.write(head)
    sent_bytes, is_closed = await send_until_closed(writer, unit)
    writer.close()
    assert is_closed
    assert sent_bytes < READ_BYTES


async def test_requests_that_wait_are_not_read_without_end(address):
    """Guards against answers that a caller does not read, and that pile up."""
    _, writer = await asyncio.open_connection(*address)
    sent_bytes, _ = await send_until_closed(writer, GET, 1.0)
    writer.transport.abort()
    assert sent_bytes < READ_BYTES


async def test_small_chunks_are_read_whole(address):
    count = 50_000
    reader, writer = await asyncio.open_connection(*address)
    writer.write(CHUNKED + b"a\r\n0123456789\r\n" * count + b"0\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(await reader.readexactly(10 * count)) == 10 * count
    writer.close()


async def test_requests_at_once_are_all_answered(address):
    count = 5000
    reader, writer = await asyncio.open_connection(*address)
    writer.write(GET * count)
    for _ in range(count):
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
    writer.close()


async def test_a_request_right_after_a_large_body_is_answered(address):
    """Guards against the end of a body that counts as framing of the next request."""
    body = bytes(1 << 20)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body + GET)
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    await reader.readexactly(len(body))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    writer.close()


async def test_a_connection_is_used_for_many_requests(address):
    """Guards against bytes of earlier requests that count against later ones."""
    reader, writer = await asyncio.open_connection(*address)
    for _ in range(3000):
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
    writer.close()


@pytest.mark.parametrize("address", ["127.0.0.1:0", "[::1]:0"])
async def test_a_listener_answers_on_either_version_of_ip(address):
    async def answer(_):
        return web.Response(text="ok")

    listener = BoundedListener(
        Address(address), answer, ConnectionTable(4, SystemClock())
    )
    await listener.start()
    host, port = host_and_port(listener.address)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(GET)
    assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
    writer.close()
    await listener.stop()


async def test_an_address_that_is_in_use_is_an_error():
    async def answer(_):
        return web.Response()

    def listener(address):
        return BoundedListener(address, answer, ConnectionTable(4, SystemClock()))

    first = listener(Address("127.0.0.1:0"))
    await first.start()
    with pytest.raises(OSError):
        await listener(first.address).start()
    await first.stop()

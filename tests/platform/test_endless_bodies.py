"""Bodies without end are not read for long.

The tests guard against a host that is killed for its memory: it read the body of an
answer for as long as a server in trouble sent one, up to the deadline of the request.
"""

import asyncio

import pytest

from bankrudder.fleet import (
    Answered,
    Endpoint,
    LossReason,
    Lost,
    OutgoingRequest,
    RefusalReason,
    Refused,
)
from bankrudder.memory import MemoryBudget, ProcessLimits
from bankrudder.platform._bounded_answers import MAX_ANSWER_BYTES
from bankrudder.platform._endpoint_client import HttpEndpointClient
from bankrudder.platform._store import MAX_REPLY_BYTES, PlatformStore
from bankrudder.store import (
    CommitUnknown,
    StoreErrorKind,
    StoreUnavailableError,
    Transaction,
)
from outside.endless import EndlessServer
from outside.endpoints import ServiceStandIn

KERNEL_BYTES = 16 << 20
"""More than the kernel holds of a connection that is not read."""

MEMORY_MB = 170.0
TIMEOUT_S = 3.0
BRIEF_S = 1.0

PROOF = b"X-Request-Id: q1\r\nX-Response-Stamp: stamp\r\n"
CHUNK = b"1000\r\n" + bytes(4096) + b"\r\n"
BODIES = {
    "to_the_close": (b"\r\n", b"a"),
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "one_chunk": (b"Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n", b"a"),
    "length": (b"Content-Length: 1000000000000\r\n\r\n", b"a"),
}


@pytest.fixture
async def serve():
    servers = []

    def start(status, body, *, proof=PROOF, is_slow=False):
        fields, unit = BODIES[body]
        head = b"HTTP/1.1 %s Status\r\n" % status + proof + fields
        servers.append(EndlessServer(head, unit, is_slow=is_slow).start())
        return servers[-1]

    yield start
    for each in servers:
        await asyncio.to_thread(each.stop)


@pytest.fixture
async def client():
    client = HttpEndpointClient()
    yield client
    await client.close()


def entry(server):
    return Endpoint("e", "s", server.address, "north", 8)


def make_request(timeout_s=TIMEOUT_S):
    return OutgoingRequest("q1", "POST", "/", "host", (), b"", timeout_s)


async def send(client, server, timeout_s=TIMEOUT_S):
    return await client.send(entry(server), make_request(timeout_s))


async def open_stream(client, server, timeout_s=TIMEOUT_S):
    async with client.open_stream(entry(server), make_request(timeout_s)) as outcome:
        return outcome


async def assert_closed(server, max_bytes):
    assert await asyncio.to_thread(server.was_closed, BRIEF_S)
    assert server.sent_bytes < max_bytes + KERNEL_BYTES


@pytest.mark.parametrize("call", [send, open_stream])
@pytest.mark.parametrize("body", BODIES)
async def test_an_answer_without_end_is_broken_off(serve, client, body, call):
    server = serve(b"500", body)
    async with asyncio.timeout(TIMEOUT_S):
        assert await call(client, server) == Lost(LossReason.TOO_LONG)
    await assert_closed(server, MAX_ANSWER_BYTES)


@pytest.mark.parametrize("call", [send, open_stream])
@pytest.mark.parametrize("body", ["to_the_close", "chunks", "one_chunk"])
async def test_a_small_host_reads_less_of_it(serve, manual_clock, body, call):
    budget = MemoryBudget.from_config(
        ProcessLimits.from_config(MEMORY_MB, 0), manual_clock
    )
    client = HttpEndpointClient(budget)
    server = serve(b"500", body)
    outcome = await call(client, server)
    await client.close()
    assert outcome == Lost(LossReason.TOO_LONG)
    assert budget.held_bytes == 0
    await assert_closed(server, budget.limit_bytes)


@pytest.mark.parametrize("call", [send, open_stream])
async def test_a_stated_length_that_a_small_host_cannot_hold_is_no_failure_of_it(
    manual_clock, call
):
    budget = MemoryBudget(1000, manual_clock, uncounted_bytes=0)
    client = HttpEndpointClient(budget)
    head = b"HTTP/1.1 500 Status\r\n" + PROOF + b"Content-Length: 2000000\r\n\r\n"
    server = EndlessServer(head, b"a").start()
    outcome = await call(client, server)
    await client.close()
    await asyncio.to_thread(server.stop)
    assert outcome == Lost(LossReason.NO_MEMORY)


@pytest.mark.parametrize("call", [send, open_stream])
@pytest.mark.parametrize("body", BODIES)
async def test_a_slow_one_is_read_until_the_deadline(serve, client, body, call):
    server = serve(b"500", body, is_slow=True)
    async with asyncio.timeout(TIMEOUT_S):
        outcome = await call(client, server, 0.3)
    # A stated length that is too long is known from the head.
    reason = LossReason.TOO_LONG if body == "length" else LossReason.TIMEOUT
    assert outcome == Lost(reason)
    assert await asyncio.to_thread(server.was_closed, BRIEF_S)


@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize("call", [send, open_stream])
@pytest.mark.parametrize(
    ("status", "reason"),
    [(b"503", RefusalReason.FULL), (b"421", RefusalReason.OTHER_ENDPOINT)],
)
async def test_a_refusal_without_end_is_a_refusal_at_once(
    serve, client, status, reason, call, is_slow
):
    """Guards against a request that is given up although its endpoint refused it."""
    proof = b"X-Request-Id: q1\r\nX-Not-Executed: 1\r\n"
    server = serve(status, "to_the_close", proof=proof, is_slow=is_slow)
    async with asyncio.timeout(BRIEF_S):
        assert await call(client, server) == Refused(reason)
    await assert_closed(server, 0)


@pytest.mark.parametrize("body", BODIES)
async def test_a_state_without_end_is_no_state(serve, client, body):
    server = serve(b"200", body)
    assert await client.state(entry(server)) is None
    await assert_closed(server, 0)


@pytest.mark.parametrize("body", BODIES)
async def test_a_reply_of_the_store_without_end_is_no_reply(serve, body):
    server = serve(b"200", body)
    store = PlatformStore(server.address)
    with pytest.raises(StoreUnavailableError):
        await store.get_object("name")
    assert await store.commit(Transaction()) == CommitUnknown(StoreErrorKind.NO_REPLY)
    await store.close()
    await assert_closed(server, 2 * MAX_REPLY_BYTES)


async def test_other_endpoints_answer_meanwhile(serve, client):
    server = serve(b"200", "chunks")
    other = await ServiceStandIn("e").start()
    endless = asyncio.ensure_future(send(client, server))
    answered = 0
    while not endless.done():
        assert isinstance(await send(client, other, BRIEF_S), Answered)
        answered += 1
    await other.stop()
    assert await endless == Lost(LossReason.TOO_LONG)
    assert answered


async def test_the_stated_length_of_a_missing_body_does_not_matter(serve, client):
    server = EndlessServer(
        b"HTTP/1.1 304 Not Modified\r\n" + PROOF + BODIES["length"][0], b"\r\n"
    ).start()
    outcome = await send(client, server)
    await asyncio.to_thread(server.stop)
    assert (outcome.status, outcome.body) == (304, b"")


async def test_a_large_answer_is_read_whole(client):
    body = bytes(48 << 20)
    other = await ServiceStandIn("e").start()
    request = OutgoingRequest("q1", "POST", "/", "host", (), body, TIMEOUT_S)
    outcome = await client.send(entry(other), request)
    await other.stop()
    assert outcome.body == b"answer to " + body

"""Bytes that are no answer say nothing to any reader of answers.

The tests guard against a request that is sent again as "not run", or a write that is
repeated as "not applied", on the word of bytes that no answer consists of, and against
callers that get such bytes.
"""

import pytest

from bankrudder.duties import DutyGrant, DutyOutcome, EndpointOrder, UsageReport
from bankrudder.fleet import (
    Answered,
    Endpoint,
    LossReason,
    Lost,
    OpenedStream,
    OrderOutcome,
    OutgoingRequest,
    StreamBrokenError,
    SwitchMode,
    VersionOrder,
)
from bankrudder.platform._duty_api import HttpDutyApi
from bankrudder.platform._endpoint_client import HttpEndpointClient
from bankrudder.platform._store import PlatformStore
from bankrudder.store import (
    CommitUnknown,
    NotCommitted,
    StoreUnavailableError,
    Transaction,
)
from outside.canned import CannedServer
from outside.raw_answers import BROKEN, EVENT, LENGTH, NOT_RUN, answer, odd_answers

BROKEN_BODIES = [
    "a_size_of_a_chunk_that_is_none",
    "a_chunk_that_is_too_long",
    "no_last_chunk",
    "a_body_that_is_too_short",
]
BROKEN_HEADS = [kind for kind in BROKEN if kind not in BROKEN_BODIES]
"""Streams begin, and orders and duty calls end, with the head."""

ODD = odd_answers(b"body")
ODD_STATUSES = [200, 206, 299, 300, 399, 404, 418, 499, 500, 599]


@pytest.fixture
async def server():
    server = await CannedServer().start()
    yield server
    await server.stop()


@pytest.fixture
async def client():
    client = HttpEndpointClient()
    yield client
    await client.close()


@pytest.fixture
async def store(server):
    store = PlatformStore.from_config(server.address)
    yield store
    await store.close()


@pytest.fixture
async def duties(server):
    duties = HttpDutyApi(server.address)
    yield duties
    await duties.close()


def entry(server):
    return Endpoint("e", "s", server.address, "north", 8)


def make_request(method="POST"):
    return OutgoingRequest("q1", method, "/", "host", (), b"", 3.0)


async def send(client, server, method="POST"):
    return await client.send(entry(server), make_request(method))


async def read_stream(client, server):
    """Return the events of a stream, or why there are none."""
    async with client.open_stream(entry(server), make_request("GET")) as outcome:
        if not isinstance(outcome, OpenedStream):
            return outcome
        return [event.data async for event in outcome.events]


ORDER = VersionOrder("m0", 2, SwitchMode.CONTINUE, "host-1", 1, 0)
GRANT = DutyGrant("host-1", 12, 3.0)
DUTY_CALLS = [UsageReport(5, {}), EndpointOrder("engines", "north", 6)]


@pytest.mark.parametrize("parts", [False, True])
@pytest.mark.parametrize("kind", BROKEN)
async def test_a_request_has_no_answer(server, client, kind, parts):
    server.answer, server.parts = BROKEN[kind], parts
    assert isinstance(await send(client, server), Lost)
    assert len(server.requests) == 1


@pytest.mark.parametrize("kind", BROKEN_HEADS)
async def test_a_stream_does_not_begin(server, client, kind):
    server.answer = BROKEN[kind]
    assert isinstance(await read_stream(client, server), Lost)
    assert len(server.requests) == 1


@pytest.mark.parametrize("kind", BROKEN_HEADS)
async def test_the_outcome_of_an_order_is_unknown(server, client, kind):
    server.answer = BROKEN[kind]
    assert await client.order(entry(server), ORDER) is OrderOutcome.UNKNOWN
    assert await client.state(entry(server)) is None


@pytest.mark.parametrize("kind", BROKEN)
async def test_the_outcome_of_a_write_to_the_store_is_unknown(server, store, kind):
    server.answer = BROKEN[kind]
    assert isinstance(await store.commit(Transaction()), CommitUnknown)
    assert isinstance(await store.put_object("name", b"x"), CommitUnknown)
    assert isinstance(await store.drop_object("name"), CommitUnknown)


@pytest.mark.parametrize("kind", BROKEN)
async def test_the_store_gives_no_result(server, store, kind):
    server.answer = BROKEN[kind]
    with pytest.raises(StoreUnavailableError):
        await store.read("table", "part")
    with pytest.raises(StoreUnavailableError):
        await store.get_object("name")
    with pytest.raises(StoreUnavailableError):
        await store.follow("table", 1, 0.0)


@pytest.mark.parametrize("call", DUTY_CALLS)
@pytest.mark.parametrize("kind", BROKEN_HEADS)
async def test_the_outcome_of_a_duty_call_is_unknown(server, duties, kind, call):
    server.answer = BROKEN[kind]
    assert await duties.call(call, GRANT) is DutyOutcome.UNKNOWN


@pytest.mark.parametrize("parts", [False, True])
@pytest.mark.parametrize("kind", ODD)
async def test_an_odd_answer_is_one(server, client, kind, parts):
    server.answer, server.parts = ODD[kind], parts
    outcome = await send(client, server)
    assert isinstance(outcome, Answered)
    assert (outcome.status, outcome.body, outcome.proof) == (200, b"body", "stamp")


@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_each_status_of_a_class_is_one(server, client, status):
    server.answer = answer(line=b"HTTP/1.1 %d" % status)
    outcome = await send(client, server)
    assert (outcome.status, outcome.body) == (status, b"body")


@pytest.mark.parametrize("status", [204, 304])
async def test_an_answer_without_a_body_may_have_any_framing(server, client, status):
    fields = b"Content-Length: 4\r\nTransfer-Encoding: gzip\r\n"
    server.answer = answer(fields, line=b"HTTP/1.1 %d Status" % status, body=b"")
    outcome = await send(client, server)
    assert (outcome.status, outcome.body) == (status, b"")


async def test_an_answer_to_a_head_request_states_a_length_only(server, client):
    server.answer = answer(body=b"")
    outcome = await send(client, server, "HEAD")
    assert (outcome.status, outcome.body) == (200, b"")


@pytest.mark.parametrize("kind", ODD)
async def test_an_odd_stream_is_one(server, client, kind):
    server.answer = odd_answers(EVENT)[kind]
    assert await read_stream(client, server) == ["a"]


@pytest.mark.parametrize("framing", [LENGTH, b"", b"Transfer-Encoding: chunked\r\n"])
async def test_an_answer_cut_in_its_head_is_none(server, client, framing):
    whole = answer(framing, body=b"")
    for count in range(len(whole)):
        server.answer = whole[:count]
        assert isinstance(await send(client, server), Lost), count
        assert isinstance(await read_stream(client, server), Lost), count


async def test_a_stream_with_a_broken_end_is_not_complete(server, client):
    chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
    for rest in (b"", b"x\r\n", b"0\r\n", b"0\r\nX A: b\r\n\r\n"):
        server.answer = answer(b"Transfer-Encoding: chunked\r\n", body=chunk + rest)
        with pytest.raises(StreamBrokenError):
            await read_stream(client, server)


@pytest.mark.parametrize("status", [b"200 OK", b"503 Full"])
@pytest.mark.parametrize("other", [b"q2", b"", b"q1, q2"])
async def test_an_answer_to_two_requests_is_none(server, client, status, other):
    """Guards against a second identifier that nothing compares."""
    fields = b"X-Request-Id: %s\r\n" % other + NOT_RUN + LENGTH
    server.answer = answer(fields, line=b"HTTP/1.1 " + status)
    assert await send(client, server) == Lost(LossReason.FOREIGN_ANSWER)
    assert await read_stream(client, server) == Lost(LossReason.FOREIGN_ANSWER)


async def test_an_identifier_may_be_echoed_twice(server, client):
    server.answer = answer(b"X-Request-Id: q1\r\n" + LENGTH)
    assert isinstance(await send(client, server), Answered)


async def test_an_answer_to_a_request_is_none_to_an_order(server, client):
    fields = b"X-Request-Id: \r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n"
    server.answer = b"HTTP/1.1 202 Accepted\r\n" + fields
    assert await client.order(entry(server), ORDER) is OrderOutcome.UNKNOWN
    assert await client.state(entry(server)) is None


def status_only(status, fields=b""):
    line = b"HTTP/1.1 %d Status\r\n" % status
    return line + fields + b"Connection: close\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("status", [202, 206, 299, 302, 500, 502, 504, 599])
async def test_a_status_that_promises_nothing_leaves_a_write_unknown(
    server, store, client, duties, status
):
    """Guards against a write that is repeated because its answer was not understood."""
    server.answer = status_only(status)
    assert isinstance(await store.commit(Transaction()), CommitUnknown)
    assert isinstance(await store.put_object("name", b"x"), CommitUnknown)
    assert isinstance(await store.drop_object("name"), CommitUnknown)
    if status != 202:
        assert await client.order(entry(server), ORDER) is OrderOutcome.UNKNOWN
        assert await duties.call(DUTY_CALLS[0], GRANT) is DutyOutcome.UNKNOWN


@pytest.mark.parametrize("status", [400, 403, 404, 413, 429, 499, 503, 507])
async def test_a_refusal_says_that_nothing_was_written(server, store, status):
    server.answer = status_only(status)
    assert isinstance(await store.commit(Transaction()), NotCommitted)
    assert isinstance(await store.put_object("name", b"x"), NotCommitted)


@pytest.mark.parametrize(
    ("raw", "outcome"),
    [
        (status_only(400), OrderOutcome.REJECTED),
        (status_only(429), OrderOutcome.REJECTED),
        (status_only(503, NOT_RUN), OrderOutcome.REJECTED),
        (status_only(503), OrderOutcome.UNKNOWN),
    ],
)
async def test_a_refused_order_is_rejected(server, client, raw, outcome):
    server.answer = raw
    assert await client.order(entry(server), ORDER) is outcome


@pytest.mark.parametrize("write", ["put_object", "drop_object"])
async def test_a_refusal_of_a_repeated_write_does_not_speak_for_the_first_one(
    server, store, write
):
    arguments = ("name", b"x") if write == "put_object" else ("name",)
    server.next_answers = [b""]
    server.answer = status_only(503)
    assert isinstance(await getattr(store, write)(*arguments), CommitUnknown)
    assert len(server.requests) == 2


@pytest.mark.parametrize("status", [301, 302, 303, 307, 308])
async def test_nothing_is_sent_to_where_an_answer_points(
    server, client, store, duties, status
):
    """Guards against a write that the HTTP client sends again by itself."""
    location = b"Location: http://%s/other\r\n" % server.address.encode()
    server.answer = status_only(status, location)
    await store.commit(Transaction())
    await store.drop_object("name")
    await client.order(entry(server), ORDER)
    await client.state(entry(server))
    await duties.call(DUTY_CALLS[0], GRANT)
    await send(client, server)
    assert len(server.requests) == 6

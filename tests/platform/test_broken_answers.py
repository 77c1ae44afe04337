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
from bankrudder.store import CommitUnknown, StoreUnavailableError, Transaction
from outside.canned import CannedServer

PROOF = b"X-Request-Id: %s\r\nX-Response-Stamp: stamp\r\n"
LENGTH = b"Content-Length: 4\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
EVENT = b"id: 0\ndata: a\n\n"


def answer(fields=LENGTH, *, line=b"HTTP/1.1 200 OK", body=b"body"):
    return line + b"\r\n" + PROOF + fields + b"\r\n" + body


BROKEN = {
    "status_000": answer(line=b"HTTP/1.1 000 Status"),
    "status_000_not_run": answer(NOT_RUN + LENGTH, line=b"HTTP/1.1 000 Status"),
    "status_001": answer(line=b"HTTP/1.1 001 Status"),
    "status_099": answer(line=b"HTTP/1.1 099 Status"),
    "status_600": answer(line=b"HTTP/1.1 600 Status"),
    "status_999_not_run": answer(NOT_RUN + LENGTH, line=b"HTTP/1.1 999 Status"),
    "switching_protocols": answer(
        b"Connection: upgrade\r\nUpgrade: x\r\n", line=b"HTTP/1.1 101 Status", body=b""
    ),
    "blank_in_a_name": answer(b"X A: b\r\n" + LENGTH),
    "control_byte_in_a_name": answer(b"X\x01A: b\r\n" + LENGTH),
    "blank_before_the_colon": answer(b"Content-Length : 4\r\n"),
    "blank_before_the_colon_of_a_coding": answer(
        b"Transfer-Encoding : chunked\r\n", body=b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "control_byte_in_a_value": answer(b"X-A: \x01\r\n" + LENGTH),
    "vertical_tab_in_a_value": answer(b"X-A: \x0b\r\n" + LENGTH),
    "delete_in_a_value": answer(b"X-A: \x7f\r\n" + LENGTH),
    "control_byte_in_the_reason": answer(line=b"HTTP/1.1 200 O\x01K"),
    "blank_first_line": b"\r\n" + answer(),
    "blank_before_the_first_line": b" " + answer(),
    "blank_before_the_first_field": b"HTTP/1.1 200 OK\r\n X: b\r\n" + PROOF + b"\r\n",
    "another_version": answer(line=b"HTTP/2.0 200 OK"),
    "another_protocol": answer(line=b"RTSP/1.0 200 OK"),
    "two_lengths": answer(LENGTH + b"Content-Length: 3\r\n"),
    "a_length_beyond_all": answer(b"Content-Length: 18446744073709551615\r\n"),
    "a_length_and_a_coding": answer(
        LENGTH + b"Transfer-Encoding: chunked\r\n", body=b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "an_unknown_coding": answer(b"Transfer-Encoding: gzip\r\n"),
    "two_codings": answer(
        b"Transfer-Encoding: gzip, chunked\r\n", body=b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "a_coding_of_http_1_0": answer(
        b"Transfer-Encoding: chunked\r\n",
        line=b"HTTP/1.0 200 OK",
        body=b"4\r\nbody\r\n0\r\n\r\n",
    ),
    "a_broken_interim_answer": b"HTTP/1.1 100 Continue\r\nX A: b\r\n\r\n" + answer(),
    "an_interim_answer_only": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "a_size_of_a_chunk_that_is_none": answer(
        b"Transfer-Encoding: chunked\r\n", body=b"x\r\nbody\r\n0\r\n\r\n"
    ),
    "a_chunk_that_is_too_long": answer(
        b"Transfer-Encoding: chunked\r\n", body=b"3\r\nbody\r\n0\r\n\r\n"
    ),
    "no_last_chunk": answer(b"Transfer-Encoding: chunked\r\n", body=b"4\r\nbody\r\n"),
    "a_body_that_is_too_short": answer(b"Content-Length: 5\r\n"),
}
BROKEN_BODIES = [
    "a_size_of_a_chunk_that_is_none",
    "a_chunk_that_is_too_long",
    "no_last_chunk",
    "a_body_that_is_too_short",
]
BROKEN_HEADS = [kind for kind in BROKEN if kind not in BROKEN_BODIES]
"""Streams begin, and orders and duty calls end, with the head."""


def odd_answers(body):
    """Return sound answers of a status 200 that few servers send."""
    length = b"Content-Length: %d\r\n" % len(body)
    plain = answer(length, body=body)
    first, rest = body[:2], body[2:]
    chunks = b'2;a=b;c="d e"\r\n%b\r\n%x\r\n%b\r\n0;d\r\nX-Trailer: a\r\n\r\n'
    return {
        "no_reason": answer(length, line=b"HTTP/1.1 200", body=body),
        "reason_over_127": answer(length, line=b"HTTP/1.1 200 \xc3\xa9\xff", body=body),
        "to_the_close": answer(b"", body=body),
        "http_1_0": answer(length, line=b"HTTP/1.0 200 OK", body=body),
        "http_1_2": answer(length, line=b"HTTP/1.2 200 OK", body=body),
        "line_feeds_only": answer(length, body=b"").replace(b"\r\n", b"\n") + body,
        "chunks": answer(
            b"Transfer-Encoding: chunked\r\n", body=chunks % (first, len(rest), rest)
        ),
        "interim_answers": b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        b"HTTP/1.1 199 Other\r\nContent-Length: 5\r\n\r\n" + plain,
        "an_offer_of_another_protocol": answer(
            b"Connection: upgrade\r\nUpgrade: h2c\r\n" + length, body=body
        ),
        "bytes_over_127": answer(
            "X-A: é\r\n".encode() + b"X-B: a\xff\tb\r\n" + length, body=body
        ),
        "names": answer(b"!#$%&'*+-.^_`|~9aZ: b\r\n" + length, body=body),
        "folded": answer(b"X-A: a\r\n b\r\n" + length, body=body),
        "empty_value": answer(b"X-A:\r\n" + length, body=body),
    }


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

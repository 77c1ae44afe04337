"""Streams of events, and of bytes that are no events, without end."""

import asyncio
import math
import time

import pytest

from bankrudder.fleet import (
    Generation,
    OutgoingRequest,
    StreamBrokenError,
    StreamOverrunError,
)
from bankrudder.platform._answers import max_event_count
from bankrudder.platform._events import EVENTS_PER_TURN, MAX_EVENT_BYTES, read_events

CHUNK_BYTES = 1 << 16

ENDLESS_CHUNK_COUNT = 1000
"""As good as endless: sixty times what is read between two events."""

MAX_CPU_S = 5.0


class Body:
    """The body of a response, in given chunks."""

    def __init__(self, chunks):
        self.content = self
        self.headers = {"Transfer-Encoding": "chunked"}
        self._chunks = chunks
        self.read_bytes = 0

    async def iter_any(self):
        for chunk in self._chunks:
            self.read_bytes += len(chunk)
            yield chunk


def endless(unit):
    chunk = unit * (CHUNK_BYTES // len(unit))
    for _ in range(ENDLESS_CHUNK_COUNT):
        yield chunk


@pytest.mark.parametrize("unit", [b"\n\n", b"\n", b"a", b"data: a\n", b"retry: 1\n"])
async def test_bytes_between_events_are_bounded(unit):
    """Guards against a stream of blank lines that is read until its deadline."""
    body = Body(endless(unit))
    with pytest.raises(StreamBrokenError):
        async for _ in read_events(body):
            pass
    assert body.read_bytes <= MAX_EVENT_BYTES + CHUNK_BYTES


@pytest.mark.parametrize("unit", [b"\n\n", b"\n"])
async def test_so_are_those_after_an_event(unit):
    chunks = endless(unit)
    body = Body(chunk for part in ([b"id: 0\ndata: a\n\n"], chunks) for chunk in part)
    numbers = []
    with pytest.raises(StreamBrokenError):
        async for event in read_events(body):
            numbers.append(event.number)
    assert numbers == [0]
    assert body.read_bytes <= MAX_EVENT_BYTES + 2 * CHUNK_BYTES


async def test_many_events_at_once_leave_turns_to_others():
    """Guards against an event loop that thousands of tiny events hold up."""
    events = [b"id: %d\n\n" % number for number in range(10 * EVENTS_PER_TURN)]
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    counting = asyncio.ensure_future(count_turns())
    received = [event.number async for event in read_events(Body([b"".join(events)]))]
    counting.cancel()
    assert received == list(range(len(events)))
    assert turns >= 10


async def test_an_event_in_many_parts_is_joined_once():
    """Guards against a host that copies an event again with each byte of it."""
    data = b"a" * (MAX_EVENT_BYTES // 2)
    event = b"id: 0\ndata: " + data + b"\n\n"
    began = time.process_time()
    parts = (event[at : at + 1] for at in range(len(event)))
    [received] = [event async for event in read_events(Body(parts))]
    assert received.data.encode() == data
    assert time.process_time() - began < MAX_CPU_S


@pytest.mark.parametrize("size", range(1, 8))
async def test_events_are_found_whatever_their_parts_are(size):
    stream = b"\n\nid: 0\ndata: a\n\n\n\nid: 1\ndata: b\ndata: c\n\nid: 2\n\n"
    parts = [stream[at : at + size] for at in range(0, len(stream), size)]
    events = [(each.number, each.data) async for each in read_events(Body(parts))]
    assert events == [(0, "a"), (1, "b\nc"), (2, "")]


def make_request(headers=(), generation=None):
    return OutgoingRequest(
        "q1", "POST", "/", "host", headers, b"", 1.0, generation=generation
    )


@pytest.mark.parametrize(
    ("request_", "count"),
    [
        (make_request(), math.inf),
        (make_request((("x-token-counts", "900, 100"),)), 264),
        (make_request((("X-Token-Counts", "900"),)), math.inf),
        (make_request((("X-Token-Counts", "many,100"),)), math.inf),
        (make_request(generation=Generation("m0", 100)), 264),
        (make_request(generation=Generation("m0")), math.inf),
    ],
)
def test_the_tokens_of_a_request_limit_its_events(request_, count):
    assert max_event_count(request_) == count


async def test_a_stream_with_more_events_is_broken_off():
    """Guards against a text that grows for as long as an engine sends events."""
    numbers = []
    events = (b"id: %d\ndata: a\n\n" % number for number in range(1000))
    with pytest.raises(StreamOverrunError):
        async for event in read_events(Body(events), 264):
            numbers.append(event.number)
    assert numbers == list(range(264))

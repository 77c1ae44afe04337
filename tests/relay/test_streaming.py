"""Streaming requests: callers that leave, and streams that have a gap."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest

from bankrudder.crashes import FREE
from bankrudder.fleet import (
    Endpoint,
    EndpointDirectory,
    OpenedStream,
    StreamBrokenError,
    StreamEvent,
)
from bankrudder.relay import IncomingRequest, StreamForwarder
from bankrudder.routing import Route, RouteKind, WeightedService


class SilentEndpoints:
    """An endpoint client whose streams never begin."""

    def __init__(self):
        self.opened = asyncio.Event()

    @asynccontextmanager
    async def open_stream(self, endpoint, request):
        self.opened.set()
        await asyncio.Event().wait()
        yield


class ScriptedEndpoints:
    """An endpoint client whose streams have given event numbers."""

    def __init__(self, *streams):
        self.resumed_after = []
        self._streams = list(streams)

    @asynccontextmanager
    async def open_stream(self, endpoint, request):
        self.resumed_after.append(request.resume_after)
        yield OpenedStream(200, (), None, self._events(self._streams.pop(0)))

    async def _events(self, numbers):
        for number in numbers:
            yield StreamEvent(number, "x", None, b"")


class FakeCrashGuard:
    """A crash guard that refuses nothing and records abandoned attempts."""

    def __init__(self):
        self.abandoned = []

    def decision(self, content, policy):
        return FREE

    def share_strikes(self, content):
        pass

    def note_answer(self, content):
        pass

    async def note_lost(self, send, reason):
        pass

    def note_abandoned(self, send):
        self.abandoned.append(send.target.endpoint.id)


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    directory.put(Endpoint("e", "s", "127.0.0.1:1", "north", slots=4))
    return directory


@pytest.fixture
def start_stream(directory, manual_clock):
    """Return a function that starts a caller's stream from scripted endpoints."""

    async def start_stream(endpoints, is_resumable, resume_after=-1):
        directory.put(Endpoint("e2", "s", "127.0.0.1:2", "north", slots=4))
        streams = StreamForwarder(directory, endpoints, FakeCrashGuard(), manual_clock)
        services = (WeightedService("s", 1.0),)
        route = Route(
            "r", "h", "/", RouteKind.STREAM, services, 5.0, 0.4, max_attempts=2
        )
        route = msgspec.structs.replace(route, is_resumable=is_resumable)
        request = IncomingRequest("q", "POST", "/x", "/x", "h", (), b"", 9.0, 0.0)
        request = msgspec.structs.replace(request, resume_after=resume_after)
        return await streams.forward(request, route, "s")

    return start_stream


async def test_cancelled_request_releases_its_slot(directory, manual_clock):
    endpoints, guard = SilentEndpoints(), FakeCrashGuard()
    streams = StreamForwarder(directory, endpoints, guard, manual_clock)
    route = Route(
        "r", "h", "/", RouteKind.STREAM, (WeightedService("s", 1.0),), 5.0, 0.4
    )
    request = IncomingRequest("q", "POST", "/x", "/x", "h", (), b"", 9.0, 0.0)
    task = asyncio.ensure_future(streams.forward(request, route, "s"))
    await endpoints.opened.wait()
    assert directory.get("e").in_flight == 1
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert directory.get("e").in_flight == 0
    assert guard.abandoned == ["e"]


@pytest.mark.parametrize("first", [0, 1])
async def test_a_stream_with_a_gap_is_resumed_before_it(start_stream, first):
    """Callers got streams from which a piece was missing."""
    endpoints = ScriptedEndpoints((first, first + 1, first + 3), range(first + 2, 5))
    stream = await start_stream(endpoints, is_resumable=True)
    numbers = [event.number async for event in stream.events]
    assert numbers == list(range(first, 5))
    assert endpoints.resumed_after == [-1, first + 1]


@pytest.mark.parametrize("numbers", [(1, 2, 2), (1, 2, 1), (10, 20, 15)])
async def test_a_stream_that_cannot_be_resumed_breaks_off_where_numbers_go_back(
    start_stream, numbers
):
    """Callers got streams that ended as if they were complete."""
    stream = await start_stream(ScriptedEndpoints(numbers), is_resumable=False)
    received = []
    with pytest.raises(StreamBrokenError):
        async for event in stream.events:
            received.append(event.number)
    assert received == list(numbers[:2])


@pytest.mark.parametrize("numbers", [(1, 2), (4, 5)])
async def test_a_stream_continues_only_after_the_caller_s_last_event(
    start_stream, numbers
):
    """A stream that began elsewhere than it was asked to was passed on."""
    endpoints = ScriptedEndpoints(numbers, (3, 4, 5))
    stream = await start_stream(endpoints, is_resumable=True, resume_after=2)
    assert [event.number async for event in stream.events] == [3, 4, 5]


async def test_a_resumable_stream_begins_with_its_first_event(start_stream):
    """The rest of a stream, answered twice, was the whole answer to a repeated call."""
    endpoints = ScriptedEndpoints((3, 4), range(5))
    stream = await start_stream(endpoints, is_resumable=True)
    assert [event.number async for event in stream.events] == list(range(5))
    assert endpoints.resumed_after == [-1, -1]


@pytest.mark.parametrize("numbers", [(7, 8), (1, 2, 4), (10, 20, 30)])
async def test_the_numbers_of_a_stream_that_is_never_resumed_only_increase(
    start_stream, numbers
):
    """Guards against breaking off a complete stream that is numbered by its tokens."""
    stream = await start_stream(ScriptedEndpoints(numbers), is_resumable=False)
    assert [event.number async for event in stream.events] == list(numbers)

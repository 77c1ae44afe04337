"""A streaming request whose caller disconnects before the stream begins."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from bankrudder.crashes import FREE
from bankrudder.fleet import Endpoint, EndpointDirectory
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


class FakeCrashGuard:
    """A crash guard that refuses nothing and records abandoned attempts."""

    def __init__(self):
        self.abandoned = []

    def decision(self, content):
        return FREE

    def share_strikes(self, content):
        pass

    def note_abandoned(self, send):
        self.abandoned.append(send.target.endpoint.id)


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    directory.put(Endpoint("e", "s", "127.0.0.1:1", "north", slots=4))
    return directory


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

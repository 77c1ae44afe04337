"""Fixtures for the tests of calls: the fake store, call records, and endpoints."""

import pytest

from bankrudder.calls import CallRecords
from bankrudder.fleet import Endpoint, EndpointDirectory, EndpointId
from bankrudder.world import SystemClock
from outside.fixtures import gate, rows, store  # noqa: F401


@pytest.fixture
def records(store):  # noqa: F811
    return CallRecords(store, SystemClock())


@pytest.fixture
def directory(manual_clock):
    """Two endpoints of one service, with two slots each, in two data centres."""
    directory = EndpointDirectory("north", manual_clock)
    for name, data_centre in (("e1", "north"), ("e2", "south")):
        directory.put(Endpoint(EndpointId(name), "desk", "127.0.0.1:1", data_centre, 2))
    return directory

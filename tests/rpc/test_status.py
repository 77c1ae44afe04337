"""Operators are shown the speed of endpoints that report their slowdown."""

import pytest

from bankrudder.cli._output import status_lines
from bankrudder.client._operator import _node_report
from bankrudder.fleet import Endpoint, EndpointDirectory, ReportedLoad
from bankrudder.presence import Heartbeat
from bankrudder.rpc import StatusReporter
from bankrudder.rpc._operators import _state_to_proto


class OwnPresence:
    """The presence of a host that knows no other."""

    host = "h1"

    def own_heartbeat(self):
        return Heartbeat("l1", count=1, data_centre="north")


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    for name in ("e1", "e2"):
        directory.put(Endpoint(name, "s", "a:1", "north", 6))
    return directory


def shown(directory, clock):
    """Return the table of endpoints as it reaches an operator."""
    reporter = StatusReporter(OwnPresence(), directory, lambda: True, clock)
    nodes = [_node_report(_state_to_proto(state)) for state in reporter.states(False)]
    lines = status_lines(nodes, endpoints=True)
    return lines[lines.index("") + 1 :]


def test_speed_slowdown_and_age_are_shown(directory, manual_clock):
    tracked = directory.get("e1")
    tracked.note_load(ReportedLoad(1, 0, 6, 2.5), manual_clock.monotonic())
    tracked.note_answer(0.05, manual_clock.monotonic())
    manual_clock.advance(2.0)
    header, first, second = shown(directory, manual_clock)
    assert "LATENCY MS" in header
    assert first.split() == ["e1", "ready", "0", "6", "0", "20.0", "1.00", "2.0"]
    assert second.split() == ["e2", "ready", "0", "6", "0"]


def test_without_slowdowns_the_table_is_as_before(directory, manual_clock):
    tracked = directory.get("e1")
    tracked.note_load(ReportedLoad(1, 0, 6), manual_clock.monotonic())
    header, *rows = shown(directory, manual_clock)
    assert "LATENCY MS" not in header
    assert [row.split() for row in rows] == [
        ["e1", "ready", "0", "6", "0"],
        ["e2", "ready", "0", "6", "0"],
    ]

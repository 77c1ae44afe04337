"""What owners see of the engines' speed reaches the host that gives orders."""

import pytest

from bankrudder.fleet import Endpoint, EndpointDirectory
from bankrudder.orders import EnginePaces
from bankrudder.world import SystemClock
from outside.fixtures import gate, rows, store
from outside.store import GateMode

__all__ = ["gate", "rows", "store"]


@pytest.fixture
def directory():
    directory = EndpointDirectory("north", SystemClock())
    for name in ("e1", "e2"):
        directory.put(Endpoint(name, "s", "a:1", "north", 8))
    return directory


@pytest.fixture
def paces(store, directory):
    return EnginePaces(store, directory)


async def test_what_one_host_sees_another_one_reads(paces, directory, store):
    directory.get("e1").note_event_gap(0.05)
    await paces.tell()
    other = EnginePaces(store, directory)
    await other.look()
    assert other.usual == {"e1": 0.05}


async def test_only_changes_are_told(paces, directory, gate):
    directory.get("e1").note_event_gap(0.05)
    await paces.tell()
    told = len(gate.calls)
    directory.get("e1").note_event_gap(0.052)
    await paces.tell()
    assert len(gate.calls) == told
    for _ in range(20):
        directory.get("e1").note_event_gap(0.1)
    await paces.tell()
    assert len(gate.calls) == told + 1


async def test_an_engine_that_is_slow_for_a_while_keeps_its_name(paces, directory):
    directory.get("e1").note_event_gap(0.04)
    await paces.tell()
    for _ in range(10):
        await paces.look()
    for _ in range(40):
        directory.get("e1").note_event_gap(0.12)
    await paces.tell()
    for _ in range(8):
        await paces.look()
    assert paces.usual["e1"] == 0.04
    for _ in range(8):
        await paces.look()
    assert paces.usual["e1"] > 0.1


async def test_rows_of_engines_that_are_gone_are_removed(paces, directory, rows):
    directory.get("e1").note_event_gap(0.04)
    await paces.tell()
    directory.remove("e1", 0.0)
    await paces.look()
    assert not rows.rows
    assert paces.usual == {}


async def test_without_the_store_nothing_is_known_and_all_is_told_later(
    paces, directory, gate
):
    directory.get("e1").note_event_gap(0.04)
    gate.mode = GateMode.BUSY
    await paces.tell()
    await paces.look()
    assert paces.usual == {}
    gate.mode = GateMode.OPEN
    await paces.tell()
    await paces.look()
    assert paces.usual == {"e1": 0.04}


@pytest.mark.parametrize("told", ["soon", {"gap_s": 0}, {"gap_s": -1.0}, {}])
async def test_what_cannot_be_a_pace_is_passed_over(paces, directory, rows, told):
    directory.get("e1").note_event_gap(0.04)
    await paces.tell()
    rows.put("paces", "e2", told)
    await paces.look()
    assert paces.usual == {"e1": 0.04}

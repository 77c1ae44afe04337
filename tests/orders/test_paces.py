"""Paces that owners of batches measure reach the host that gives the orders."""

import msgspec
import pytest

from bankrudder.fleet import Endpoint, EndpointDirectory, ReportedLoad
from bankrudder.orders import EnginePaces
from bankrudder.orders._paces import EnginePace
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


async def test_a_host_reads_the_pace_that_another_host_wrote(paces, directory, store):
    directory.get("e1").note_event_gap(0.05)
    await paces.write_changed()
    other = EnginePaces(store, directory)
    await other.read_all()
    assert other.usual_gaps == {"e1": 0.05}


async def test_only_changed_paces_are_written(paces, directory, gate):
    directory.get("e1").note_event_gap(0.05)
    await paces.write_changed()
    call_count = len(gate.calls)
    directory.get("e1").note_event_gap(0.052)
    await paces.write_changed()
    assert len(gate.calls) == call_count
    for _ in range(20):
        directory.get("e1").note_event_gap(0.1)
    await paces.write_changed()
    assert len(gate.calls) == call_count + 1


async def test_a_short_slowdown_does_not_change_the_usual_gap(paces, directory):
    directory.get("e1").note_event_gap(0.04)
    await paces.write_changed()
    for _ in range(10):
        await paces.read_all()
    for _ in range(40):
        directory.get("e1").note_event_gap(0.12)
    await paces.write_changed()
    for _ in range(8):
        await paces.read_all()
    assert paces.usual_gaps["e1"] == 0.04
    for _ in range(8):
        await paces.read_all()
    assert paces.usual_gaps["e1"] > 0.1


async def test_rows_of_engines_that_are_gone_are_removed(paces, directory, rows):
    directory.get("e1").note_event_gap(0.04)
    await paces.write_changed()
    directory.remove("e1", 0.0)
    await paces.read_all()
    assert not rows.rows
    assert paces.usual_gaps == {}


async def test_paces_are_written_and_read_once_the_store_is_available_again(
    paces, directory, gate
):
    directory.get("e1").note_event_gap(0.04)
    gate.mode = GateMode.BUSY
    await paces.write_changed()
    await paces.read_all()
    assert paces.usual_gaps == {}
    gate.mode = GateMode.OPEN
    await paces.write_changed()
    await paces.read_all()
    assert paces.usual_gaps == {"e1": 0.04}


@pytest.mark.parametrize("document", ["soon", {"gap_s": 0}, {"gap_s": -1.0}, {}])
async def test_rows_without_a_valid_pace_are_ignored(paces, directory, rows, document):
    directory.get("e1").note_event_gap(0.04)
    await paces.write_changed()
    rows.put("paces", "e2", document)
    await paces.read_all()
    assert paces.usual_gaps == {"e1": 0.04}


def note_gaps(engine, gap_s, began, seconds):
    """Note gaps of an engine that reports its slowdown; return the time."""
    engine.note_load(ReportedLoad(1, 0, 8, 1.0), began)
    now = began
    while now < began + seconds:
        now += 4 * gap_s
        engine.note_event_gap(gap_s, now)
    return now


async def test_a_spell_of_slowness_is_not_written(paces, directory, gate):
    """With the moving average, each spell was written at its begin and its end."""
    engine = directory.get("e1")
    now = note_gaps(engine, 0.04, 0.0, 4.0)
    await paces.write_changed()
    call_count = len(gate.calls)
    now = note_gaps(engine, 0.1, now, 0.6)
    await paces.write_changed()
    note_gaps(engine, 0.04, now, 1.0)
    await paces.write_changed()
    assert len(gate.calls) == call_count


async def test_a_lasting_pace_is_written_once_a_spell_cannot_make_it_up(
    paces, directory, store
):
    engine = directory.get("e1")
    now = note_gaps(engine, 0.1, 0.0, 0.6)
    await paces.write_changed()
    await paces.read_all()
    assert paces.usual_gaps == {}
    note_gaps(engine, 0.04, now, 2.0)
    await paces.write_changed()
    await paces.read_all()
    assert paces.usual_gaps == {"e1": pytest.approx(0.04)}


async def test_a_lasting_change_applies_at_the_next_read(paces, directory):
    engine = directory.get("e1")
    now = note_gaps(engine, 0.04, 0.0, 4.0)
    await paces.write_changed()
    for _ in range(20):
        await paces.read_all()
    note_gaps(engine, 0.08, now, 4.0)
    await paces.write_changed()
    await paces.read_all()
    assert paces.usual_gaps == {"e1": pytest.approx(0.08)}


async def test_rows_of_engines_without_slowdown_are_as_before(paces, directory, rows):
    directory.get("e1").note_event_gap(0.04)
    await paces.write_changed()
    [(_, value)] = rows.rows.values()
    assert msgspec.json.decode(value) == {"gap_s": 0.04, "born": None}


def test_a_row_of_an_earlier_program_is_understood():
    pace = msgspec.json.decode(b'{"gap_s": 0.04, "born": null}', type=EnginePace)
    assert pace == EnginePace(0.04)

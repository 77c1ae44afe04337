"""What owners take from the rows that tell of loads."""

import msgspec
import pytest

from bankrudder.fleet import Endpoint, EndpointDirectory, ModelState
from bankrudder.orders import LOADED_TABLE, LoadAnnouncer
from bankrudder.store import Row, RowKey


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    models = (ModelState("m", 1),)
    directory.put(Endpoint("e1", "s", "a:1", "north", 8, models=models))
    return directory


@pytest.fixture
def announcer(directory, manual_clock):
    return LoadAnnouncer(None, directory, manual_clock)


def row(document, engine="e1"):
    return Row(RowKey(LOADED_TABLE, "", engine), 1, msgspec.json.encode(document))


def test_a_load_that_begins_and_one_that_has_ended(announcer, directory, manual_clock):
    engine = directory.get("e1")
    announcer.take(row({"model": "m", "version": 2, "is_loading": True}))
    assert engine.is_loading("m", manual_clock.monotonic())
    assert engine.version_of("m") == 1
    announcer.take(row({"model": "m", "version": 2}))
    assert not engine.is_loading("m", manual_clock.monotonic())
    assert engine.version_of("m") == 2


def test_the_begin_of_a_load_that_has_ended_comes_late(
    announcer, directory, manual_clock
):
    announcer.take(row({"model": "m", "version": 2}))
    announcer.take(row({"model": "m", "version": 2, "is_loading": True}))
    assert not directory.get("e1").is_loading("m", manual_clock.monotonic())


@pytest.mark.parametrize("told", ["soon", {}, {"model": "m", "version": "two"}])
def test_what_is_not_understood_changes_nothing(
    announcer, directory, manual_clock, told
):
    announcer.take(row(told))
    engine = directory.get("e1")
    assert engine.version_of("m") == 1
    assert not engine.is_loading("m", manual_clock.monotonic())


def test_rows_of_engines_that_are_not_listed_are_passed_over(announcer):
    announcer.take(row({"model": "m", "version": 2}, engine="gone"))

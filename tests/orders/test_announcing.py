"""Owners of batches apply the rows that announce loads."""

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


def test_rows_tell_when_a_load_begins_and_has_ended(announcer, directory, manual_clock):
    engine = directory.get("e1")
    announcer.apply_row(row({"model": "m", "version": 2, "is_loading": True}))
    assert engine.is_loading("m", manual_clock.monotonic())
    assert engine.version_of("m") == 1
    announcer.apply_row(row({"model": "m", "version": 2}))
    assert not engine.is_loading("m", manual_clock.monotonic())
    assert engine.version_of("m") == 2


def test_a_late_row_for_the_begin_of_an_ended_load_is_ignored(
    announcer, directory, manual_clock
):
    announcer.apply_row(row({"model": "m", "version": 2}))
    announcer.apply_row(row({"model": "m", "version": 2, "is_loading": True}))
    assert not directory.get("e1").is_loading("m", manual_clock.monotonic())


@pytest.mark.parametrize("value", ["soon", {}, {"model": "m", "version": "two"}])
def test_rows_that_cannot_be_decoded_are_ignored(
    announcer, directory, manual_clock, value
):
    announcer.apply_row(row(value))
    engine = directory.get("e1")
    assert engine.version_of("m") == 1
    assert not engine.is_loading("m", manual_clock.monotonic())


def test_rows_of_unlisted_engines_are_ignored(announcer):
    announcer.apply_row(row({"model": "m", "version": 2}, engine="gone"))

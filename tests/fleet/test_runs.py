"""Tracked state of an endpoint applies to one run, identified by its start time."""

import asyncio

import msgspec
import pytest

from bankrudder.fleet import (
    Endpoint,
    EndpointDirectory,
    EndpointRun,
    ModelState,
    Readiness,
    ReportedLoad,
    RunEndedError,
    within_run,
)


def entry(born=None, version=1, readiness=Readiness.READY):
    models = (ModelState("m", version),)
    return Endpoint("e", "s", "a:1", "north", 4, readiness, models, born)


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    directory.put(entry(born=5, version=7))
    return directory


def test_later_run_in_the_list_keeps_no_state_of_the_run_before(
    directory, manual_clock
):
    before = directory.get("e")
    before.note_failure(manual_clock.monotonic())
    before.note_event_gap(0.1)
    before.note_load(ReportedLoad(4, 9, 4), manual_clock.monotonic())
    before.note_loading("m", 8, manual_clock.monotonic())
    before.in_flight = 3
    directory.put(entry(born=9))
    later = directory.get("e")
    now = manual_clock.monotonic()
    assert later is not before
    assert later.version_of("m") == 1
    assert later.in_flight == 0
    assert later.event_gap_s is None
    assert later.is_trusted
    assert not later.is_suspended(now)
    assert not later.is_loading("m", now)
    assert later.other_hosts_load(now) == 0
    assert before.has_ended
    assert not before.takes_work


def test_later_run_learned_from_an_answer_has_no_known_versions(directory):
    later = directory.note_run(EndpointRun("e", 9))
    assert directory.get("e") is later
    assert later.version_of("m") is None
    assert later.takes_work


def test_latest_start_time_applies_and_earlier_ones_are_ignored(directory):
    later = directory.note_run(EndpointRun("e", 9))
    directory.put(entry(born=5, version=7))
    assert directory.get("e") is later
    assert later.version_of("m") is None
    assert directory.note_run(EndpointRun("e", 5)) is None
    directory.put(entry(born=9, version=2))
    assert directory.get("e") is later
    assert later.version_of("m") == 2


def test_an_entry_of_an_earlier_run_does_not_bring_back_a_missing_endpoint(
    directory, manual_clock
):
    directory.note_run(EndpointRun("e", 9))
    directory.remove("e", manual_clock.monotonic() + 2.0)
    directory.put(entry(born=5))
    manual_clock.advance(3.0)
    directory.remove_expired()
    assert directory.get("e") is None


def test_runs_within_a_second_are_told_apart(directory):
    first = directory.get("e")
    directory.put(entry(born=6))
    second = directory.get("e")
    directory.put(entry(born=7))
    assert first.has_ended
    assert second.has_ended
    assert directory.get("e").run == EndpointRun("e", 7)


def test_a_drained_endpoint_comes_back_ready_under_its_name(directory):
    directory.put(entry(born=5, readiness=Readiness.DRAINING))
    directory.note_run(EndpointRun("e", 9))
    # The new run counts as draining until the list says otherwise.
    assert not directory.get("e").takes_work
    directory.put(entry(born=9))
    assert directory.get("e").takes_work


def test_endpoint_without_start_times_is_one_run(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    directory.put(entry(version=3))
    known = directory.get("e")
    directory.put(entry(version=4))
    assert directory.note_run(EndpointRun("e")) is known
    assert directory.get("e") is known
    assert known.version_of("m") == 4


def test_entry_without_a_start_time_keeps_the_known_one(directory):
    known = directory.get("e")
    directory.put(entry(version=8))
    assert directory.get("e") is known
    assert known.run == EndpointRun("e", 5)


def test_start_times_are_not_compared_with_the_local_clock(directory, manual_clock):
    manual_clock.advance(1e9)
    assert directory.note_run(EndpointRun("e", 6)).run.born == 6


async def test_work_at_an_earlier_run_is_cancelled_at_once(directory):
    known = directory.get("e")
    with pytest.raises(RunEndedError):
        async with asyncio.timeout(1.0), within_run(known):
            directory.put(entry(born=9))
            await asyncio.sleep(10)


async def test_work_that_begins_at_an_ended_run_is_cancelled(directory):
    known = directory.get("e")
    directory.put(entry(born=9))
    with pytest.raises(RunEndedError):
        async with asyncio.timeout(1.0), within_run(known):
            await asyncio.sleep(10)


async def test_timeout_within_a_run_is_raised_as_a_timeout(directory):
    with pytest.raises(TimeoutError):
        async with within_run(directory.get("e")), asyncio.timeout(0.01):
            await asyncio.sleep(10)


def test_unreadable_entry_gets_no_new_requests_until_it_is_readable(directory):
    known = directory.get("e")
    directory.put_unreadable("e", "no zone")
    directory.put_unreadable("new", "no zone")
    assert directory.unreadable_count == 2
    assert directory.of_service("s") == []
    assert directory.get("new") is None
    assert directory.get("e") is known
    assert not known.has_ended
    directory.put(entry(born=5))
    assert directory.of_service("s") == [known]
    directory.remove("new", 0.0)
    assert directory.unreadable_count == 0


def test_later_run_of_an_unreadable_entry_gets_no_new_requests(directory):
    directory.put_unreadable("e", "no zone")
    later = directory.note_run(EndpointRun("e", 9))
    assert not later.takes_work
    directory.put(entry(born=9))
    assert later.takes_work


def test_run_of_an_unlisted_endpoint_is_ignored(directory):
    assert directory.note_run(EndpointRun("other", 9)) is None
    assert directory.get("other") is None


def test_entries_with_different_start_times_are_encoded_differently():
    # Hosts that receive the list from another host must distinguish runs, too.
    assert msgspec.msgpack.encode(entry(5)) != msgspec.msgpack.encode(entry(6))

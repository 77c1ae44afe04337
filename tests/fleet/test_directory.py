"""Listing, removal and selection of endpoints."""

import random

import pytest

from bankrudder.fleet import Endpoint, EndpointDirectory, Readiness, ReportedLoad


def endpoint(name, data_centre="north", readiness=Readiness.READY):
    return Endpoint(name, "s", "127.0.0.1:1", data_centre, 4, readiness)


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock, random.Random(1))
    for name in ("a", "b", "c"):
        directory.put(endpoint(name))
    return directory


def chosen(directory, *tried):
    return directory.choose("s", tried).endpoint.id


def test_least_loaded_endpoint_is_chosen(directory):
    directory.get("a").in_flight = 4
    directory.get("b").in_flight = 4
    assert chosen(directory) == "c"


def test_requests_of_other_hosts_count_while_the_report_is_recent(
    directory, manual_clock
):
    for name in ("a", "b"):
        directory.get(name).note_load(ReportedLoad(4, 8, 4), manual_clock.monotonic())
    assert chosen(directory) == "c"
    assert directory.get("a").other_hosts_load(manual_clock.monotonic()) == 12
    manual_clock.advance(2.0)
    assert directory.get("a").other_hosts_load(manual_clock.monotonic()) == 0


def test_failed_endpoint_is_suspended_for_a_while(directory, manual_clock):
    for name in ("a", "b"):
        directory.get(name).note_failure(manual_clock.monotonic())
    assert chosen(directory) == "c"
    # A suspended endpoint is better than none.
    assert chosen(directory, "c") in ("a", "b")
    manual_clock.advance(1.0)
    assert not directory.get("a").is_suspended(manual_clock.monotonic())


def test_consecutive_failures_lengthen_the_suspension_up_to_a_bound(
    directory, manual_clock
):
    suspensions_s = [directory.get("a").note_failure(0.0) for _ in range(6)]
    assert suspensions_s == sorted(suspensions_s)
    assert suspensions_s[-1] == suspensions_s[-2] == 3.0
    directory.get("a").note_answer(0.05)
    assert directory.get("a").note_failure(0.0) == suspensions_s[0]


def test_local_data_centre_is_preferred_among_equals(directory):
    for name in ("a", "b"):
        directory.put(endpoint(name, "south"))
    assert chosen(directory) == "c"


def test_a_draining_endpoint_is_not_chosen(directory):
    for name in ("a", "b"):
        directory.put(endpoint(name, readiness=Readiness.DRAINING))
    assert chosen(directory) == "c"
    directory.put(endpoint("c", readiness=Readiness.DRAINING))
    assert directory.choose("s") is None


def test_an_endpoint_is_removed_at_once_or_when_it_does_not_come_back(
    directory, manual_clock
):
    tracked = directory.get("a")
    directory.remove("a", 0.0)
    assert directory.get("a") is None
    assert not tracked.takes_work
    directory.remove("b", manual_clock.monotonic() + 2.0)
    directory.remove_expired()
    assert directory.get("b") is not None
    manual_clock.advance(2.1)
    directory.remove_expired()
    assert directory.get("b") is None


def test_endpoint_that_is_listed_again_in_time_is_kept(directory, manual_clock):
    directory.remove("a", manual_clock.monotonic() + 2.0)
    directory.put(endpoint("a"))
    manual_clock.advance(3.0)
    directory.remove_expired()
    assert directory.get("a") is not None


def test_versions_of_one_run_only_grow(directory):
    tracked = directory.get("a")
    tracked.note_version("m", 3)
    tracked.note_version("m", 2)
    assert tracked.version_of("m") == 3


def test_a_suspect_goes_to_no_endpoint_with_another_suspect(directory):
    release = directory.get("a").occupy(is_suspect=True)
    directory.get("b").occupy(is_suspect=True)
    for _ in range(5):
        assert directory.choose("s", (), is_suspect=True).endpoint.id == "c"
    directory.get("c").occupy(is_suspect=True)
    assert directory.choose("s", (), is_suspect=True) is None
    release()
    assert directory.choose("s", (), is_suspect=True).endpoint.id == "a"


def test_other_requests_avoid_endpoints_with_suspects_where_possible(directory):
    for name in ("a", "b"):
        directory.get(name).occupy(is_suspect=True)
    directory.get("c").in_flight = 3
    assert chosen(directory) == "c"
    # An endpoint with a suspect is better than one that failed.
    directory.get("c").note_failure(0.0)
    assert chosen(directory) in ("a", "b")

"""Endpoints with an open connection are preferred until they are half full."""

import random
from collections import Counter

import pytest

from bankrudder.fleet import Endpoint, EndpointDirectory
from bankrudder.fleet._choice import (
    UNKNOWN_LATENCY_S,
    Candidate,
    expected_cost_s,
    mean_latency_s,
)

KEEP_ALIVE_S = 9.0
HOSTS = 100
ENDPOINTS = 14


def candidate(load=0, latency_s=0.03, is_local=True, is_connected=True, slots=6):
    return Candidate(slots, load, latency_s, is_local, is_connected)


def test_open_connection_is_preferred_until_half_of_the_slots_are_taken():
    unconnected = expected_cost_s(candidate(is_connected=False), 0.03)
    assert expected_cost_s(candidate(load=2), 0.03) < unconnected
    assert expected_cost_s(candidate(load=4), 0.03) > unconnected


@pytest.mark.parametrize("slots", [2, 8, 32])
def test_half_of_the_slots_is_the_bound_for_any_slot_count(slots):
    unconnected = expected_cost_s(candidate(is_connected=False, slots=slots), 0.03)
    below = candidate(load=slots // 2 - 1, slots=slots)
    above = candidate(load=slots // 2 + 1, slots=slots)
    assert expected_cost_s(below, 0.03) < unconnected < expected_cost_s(above, 0.03)


@pytest.mark.parametrize("latency_s", [0.01, 0.05, 0.2, 0.8])
def test_endpoint_without_answers_is_not_expected_to_be_faster(latency_s):
    known = candidate(latency_s=latency_s)
    unknown = candidate(latency_s=None, is_connected=False)
    mean_s = mean_latency_s([known.latency_s, unknown.latency_s])
    assert mean_s == latency_s
    assert expected_cost_s(known, mean_s) < expected_cost_s(unknown, mean_s)


def test_before_any_answer_a_latency_is_assumed():
    assert mean_latency_s([None]) is None
    assert expected_cost_s(candidate(latency_s=None), None) == UNKNOWN_LATENCY_S


def test_faster_endpoint_is_preferred_to_a_much_slower_connected_one():
    slow = candidate(latency_s=0.2)
    mean_s = mean_latency_s([slow.latency_s, 0.03])
    other = candidate(latency_s=0.03, is_connected=False)
    assert expected_cost_s(other, mean_s) < expected_cost_s(slow, mean_s)


def make_host(manual_clock, seed):
    directory = EndpointDirectory("north", manual_clock, random.Random(seed))
    for number in range(ENDPOINTS):
        directory.put(Endpoint(f"e{number}", "s", f"a:{number}", "north", 6))
    return directory


def test_hosts_with_few_requests_open_few_connections(manual_clock):
    """Each host sends a request of 0.2 s per second to endpoints with six slots."""
    hosts = [make_host(manual_clock, seed) for seed in range(HOSTS)]
    opened, load = 0, Counter()
    for _ in range(20):
        for host in hosts:
            target = host.choose("s")
            load[target.endpoint.id] += 1
            now = manual_clock.monotonic()
            opened += not target.is_connected(now)
            target.note_answer(0.2)
            target.note_connection(KEEP_ALIVE_S, now)
        manual_clock.advance(1.0)
    assert opened == HOSTS
    # Hosts choose among equals at random, so none gets far more than its share.
    assert max(load.values()) < 2.5 * HOSTS * 20 / ENDPOINTS


def test_a_host_with_many_requests_uses_many_endpoints(manual_clock):
    host = make_host(manual_clock, 1)
    for _ in range(40):
        target = host.choose("s")
        target.in_flight += 1
        target.note_answer(0.2)
        target.note_connection(KEEP_ALIVE_S, manual_clock.monotonic())
    busiest = max(each.in_flight for each in host.all())
    assert busiest <= 5


def test_a_connection_that_was_closed_or_broken_does_not_count(manual_clock):
    host = make_host(manual_clock, 1)
    target = host.choose("s")
    target.note_connection(KEEP_ALIVE_S, manual_clock.monotonic())
    assert target.is_connected(manual_clock.monotonic())
    manual_clock.advance(KEEP_ALIVE_S)
    assert not target.is_connected(manual_clock.monotonic())
    target.note_connection(KEEP_ALIVE_S, manual_clock.monotonic())
    target.note_failure(manual_clock.monotonic())
    assert not target.is_connected(manual_clock.monotonic())

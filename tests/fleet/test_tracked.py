"""What a host keeps of each endpoint."""

import tracemalloc

from bankrudder.fleet import Endpoint
from bankrudder.fleet._tracked import MAX_IDLE_KNOWN, TrackedEndpoint

ENDPOINTS = 1000

MAX_BYTES = 1024
"""A hundredth of the 128 MB that a host has for control, for 860 endpoints and
380 hosts: 1 KB each."""


def endpoint(number=0):
    return Endpoint(f"i-{number}", "engines", "10.0.0.1:80", "north", 8)


def test_an_endpoint_that_nothing_is_sent_to_takes_little_memory():
    entries = [endpoint(number) for number in range(ENDPOINTS)]
    tracemalloc.start()
    try:
        kept = [TrackedEndpoint(entry) for entry in entries]
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken / len(kept) < MAX_BYTES


def test_no_more_idle_connections_are_counted_than_one_host_opens():
    tracked = TrackedEndpoint(endpoint())
    for number in range(3 * MAX_IDLE_KNOWN):
        tracked.note_connection(1.0 + number, 0.0)
    taken = 0
    while tracked.is_connected(0.0):
        tracked.take_connection()
        taken += 1
    assert taken == MAX_IDLE_KNOWN


def test_a_call_that_waits_twice_for_the_end_is_forgotten_once_at_a_time():
    tracked = TrackedEndpoint(endpoint())
    calls = []

    def ended():
        calls.append("ended")

    with tracked.calling_at_end(ended):
        with tracked.calling_at_end(ended):
            pass
        tracked.end()
    assert calls == ["ended"]

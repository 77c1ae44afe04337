"""Memory use, idle connections and end callbacks of a tracked endpoint."""

import tracemalloc

from bankrudder.fleet import Endpoint
from bankrudder.fleet._tracked import MAX_IDLE_CONNECTIONS, TrackedEndpoint

ENDPOINTS = 1000

MAX_BYTES = 1024
"""Memory limit for each tracked endpoint: a hundredth of the 128 MB that a host has for
control, divided among 860 endpoints and 380 hosts, is 1 KB each."""


def endpoint(number=0):
    return Endpoint(f"i-{number}", "engines", "10.0.0.1:80", "north", 8)


def test_unused_endpoint_takes_little_memory():
    entries = [endpoint(number) for number in range(ENDPOINTS)]
    tracemalloc.start()
    try:
        kept = [TrackedEndpoint(entry) for entry in entries]
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken / len(kept) < MAX_BYTES


def test_count_of_idle_connections_is_bounded():
    tracked = TrackedEndpoint(endpoint())
    for number in range(3 * MAX_IDLE_CONNECTIONS):
        tracked.note_connection(1.0 + number, 0.0)
    taken = 0
    while tracked.is_connected(0.0):
        tracked.take_connection()
        taken += 1
    assert taken == MAX_IDLE_CONNECTIONS


def test_callback_registered_twice_is_removed_once_per_context():
    tracked = TrackedEndpoint(endpoint())
    calls = []

    def ended():
        calls.append("ended")

    with tracked.end_callback(ended):
        with tracked.end_callback(ended):
            pass
        tracked.mark_ended()
    assert calls == ["ended"]

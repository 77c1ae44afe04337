"""The newest heartbeat of each host."""

import msgspec
import pytest

from bankrudder.decoding import UnreadableDocumentError
from bankrudder.presence import Heartbeat
from bankrudder.presence._seen import SeenHosts
from bankrudder.store import Row, RowKey


@pytest.fixture
def seen(manual_clock):
    return SeenHosts(manual_clock)


def record_heartbeat(seen, host, lifetime="one", count=1, version=1, **more):
    value = msgspec.json.encode(Heartbeat(lifetime, count, **more))
    seen.apply_row(Row(RowKey("hosts", "", host), version, value))


def test_the_newest_heartbeat_replaces_earlier_ones(seen, manual_clock):
    record_heartbeat(seen, "a", count=1)
    manual_clock.advance(2.0)
    record_heartbeat(seen, "a", count=2, version=7)
    assert seen["a"].heartbeat.count == 2
    assert (seen["a"].seen_at, seen["a"].version) == (2.0, 7)


def test_a_late_heartbeat_of_an_ended_run_is_ignored(seen):
    record_heartbeat(seen, "a", "one")
    record_heartbeat(seen, "a", "two")
    record_heartbeat(seen, "a", "one", count=9)
    assert seen["a"].heartbeat.lifetime == "two"


def test_a_host_whose_row_was_removed_is_not_known(seen):
    record_heartbeat(seen, "a")
    seen.remove_row(RowKey("hosts", "", "a"))
    assert (len(seen), seen.get("a")) == (0, None)


@pytest.mark.parametrize(
    ("silent_s", "is_heard"), [(0.5, True), (3.0, False), (14.0, False), (20.0, True)]
)
def test_a_silent_host_is_expected_to_return_for_a_limited_time(
    seen, manual_clock, silent_s, is_heard
):
    record_heartbeat(seen, "a")
    record_heartbeat(seen, "b")
    manual_clock.advance(silent_s)
    record_heartbeat(seen, "c")
    assert seen.has_heard_all_hosts("a", 2.0, 15.0) is is_heard
    manual_clock.advance(100.0)
    assert seen.has_heard_all_hosts("a", 2.0, 15.0)


def test_the_asking_host_is_left_out(seen, manual_clock):
    record_heartbeat(seen, "a")
    manual_clock.advance(5.0)
    assert seen.has_heard_all_hosts("a", 2.0, 15.0)


def test_hosts_that_publish_no_clock_offset_are_left_out(seen):
    record_heartbeat(seen, "a", wall_ahead_s=1.5)
    record_heartbeat(seen, "b")
    assert seen.wall_ahead() == [1.5]


@pytest.mark.parametrize(
    "change",
    [
        {"count": -1},
        {"count": 10**40},
        {"revision": 10**40},
        {"interval_s": 0},
        {"interval_s": 1e300},
        {"room": -1},
        {"feed_address": "nowhere"},
        {"feed_address": "10.0.0.1:99999"},
        {"rpc_address": "a b:1"},
    ],
)
def test_an_odd_heartbeat_leaves_the_one_before_in_force(seen, change):
    record_heartbeat(seen, "a", count=4)
    value = msgspec.json.encode({"lifetime": "two", "count": 5, **change})
    with pytest.raises(UnreadableDocumentError):
        seen.apply_row(Row(RowKey("hosts", "", "a"), 2, value))
    assert (seen["a"].heartbeat.lifetime, seen["a"].heartbeat.count) == ("one", 4)

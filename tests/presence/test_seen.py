"""What the heartbeats of all hosts told last."""

import msgspec
import pytest

from bankrudder.presence import Heartbeat
from bankrudder.presence._seen import SeenHosts
from bankrudder.store import Row, RowKey


@pytest.fixture
def seen(manual_clock):
    return SeenHosts(manual_clock)


def beat(seen, host, lifetime="one", count=1, version=1, **more):
    value = msgspec.json.encode(Heartbeat(lifetime, count, **more))
    seen.take(Row(RowKey("hosts", "", host), version, value))


def test_the_newest_heartbeat_counts(seen, manual_clock):
    beat(seen, "a", count=1)
    manual_clock.advance(2.0)
    beat(seen, "a", count=2, version=7)
    assert seen["a"].beat.count == 2
    assert (seen["a"].at, seen["a"].version) == (2.0, 7)


def test_a_late_heartbeat_of_an_ended_run_is_passed_over(seen):
    beat(seen, "a", "one")
    beat(seen, "a", "two")
    beat(seen, "a", "one", count=9)
    assert seen["a"].beat.lifetime == "two"


def test_a_host_whose_row_is_gone_is_not_known(seen):
    beat(seen, "a")
    seen.drop(RowKey("hosts", "", "a"))
    assert (len(seen), seen.get("a")) == (0, None)


@pytest.mark.parametrize(
    ("silent_s", "is_heard"), [(0.5, True), (3.0, False), (14.0, False), (20.0, True)]
)
def test_a_host_that_may_come_back_is_waited_for(
    seen, manual_clock, silent_s, is_heard
):
    beat(seen, "a")
    beat(seen, "b")
    manual_clock.advance(silent_s)
    beat(seen, "c")
    assert seen.is_everyone_heard("a", 2.0, 15.0) is is_heard
    manual_clock.advance(100.0)
    assert seen.is_everyone_heard("a", 2.0, 15.0)


def test_the_host_that_asks_does_not_wait_for_itself(seen, manual_clock):
    beat(seen, "a")
    manual_clock.advance(5.0)
    assert seen.is_everyone_heard("a", 2.0, 15.0)


def test_hosts_that_say_nothing_of_their_clocks_are_left_out(seen):
    beat(seen, "a", wall_ahead_s=1.5)
    beat(seen, "b")
    assert seen.wall_ahead() == [1.5]

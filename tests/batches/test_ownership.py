"""What all hosts know of the batches that are open."""

import pytest

from bankrudder.batches._ownership import WORK_WEIGHT, OwnerBook
from bankrudder.batches._values import Owner
from bankrudder.presence import Presence


@pytest.fixture
def book(store, manual_clock):
    return OwnerBook(Presence(store, "h", "life", manual_clock), manual_clock)


def owner(model="m"):
    return Owner(host="other", lifetime="other-life", model=model)


async def test_how_long_batches_are_open_is_known_once_one_ended(book, manual_clock):
    book.put("b1", owner(), 1)
    manual_clock.advance(4.0)
    assert book.open_seconds() == {}
    book.remove("b1")
    assert book.open_seconds() == {"m": 4.0}


async def test_the_latest_batches_count_most(book, manual_clock):
    for name, seconds in (("b1", 4.0), ("b2", 8.0)):
        book.put(name, owner(), 1)
        manual_clock.advance(seconds)
        book.remove(name)
    mean = 4.0 + WORK_WEIGHT * 4.0
    assert book.open_seconds() == {"m": pytest.approx(mean)}


async def test_a_change_of_owner_is_no_new_batch(book, manual_clock):
    book.put("b1", owner(), 1)
    manual_clock.advance(3.0)
    book.put("b1", owner(), 2)
    manual_clock.advance(3.0)
    book.remove("b1")
    book.remove("b1")
    assert book.open_seconds() == {"m": 6.0}


class HostsAsRead:
    """What is known of the hosts, up to some version of the store: this one runs."""

    host = "h"
    lifetime = "life"

    def __init__(self, read_version):
        self.read_version = read_version

    def is_alive(self, host, lifetime):
        return (host, lifetime) == (self.host, self.lifetime)

    def is_in(self, host, data_centres):
        return True

    def live_hosts(self, data_centres):
        return [self.host]

    def room_of(self, host):
        return 1.0


async def test_an_owner_is_not_lost_before_its_first_heartbeat_can_be_known(
    manual_clock,
):
    hosts = HostsAsRead(read_version=5)
    book = OwnerBook(hosts, manual_clock)
    book.put("b1", owner(), 6)
    assert list(book.due_for_me()) == []
    hosts.read_version = 6
    assert [batch for batch, _, _ in book.due_for_me()] == ["b1"]


async def test_an_owner_that_ended_before_the_hosts_were_read_is_lost_at_once(
    manual_clock,
):
    book = OwnerBook(HostsAsRead(read_version=9), manual_clock)
    book.put("b1", owner(), 6)
    assert [batch for batch, _, _ in book.due_for_me()] == ["b1"]

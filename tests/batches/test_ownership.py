"""Open times of batches, and the takeover of batches without a live owner."""

import pytest

from bankrudder.batches._ownership import NEWEST_BATCH_WEIGHT, OwnerRegistry
from bankrudder.batches._values import Owner
from bankrudder.presence import Presence


@pytest.fixture
def owners(store, manual_clock):
    return OwnerRegistry(Presence(store, "h", "life", manual_clock), manual_clock)


def owner(model="m"):
    return Owner(host="other", lifetime="other-life", model=model)


async def test_the_open_time_is_known_once_a_batch_ended(owners, manual_clock):
    owners.put("b1", owner(), 1)
    manual_clock.advance(4.0)
    assert owners.open_seconds() == {}
    owners.remove("b1")
    assert owners.open_seconds() == {"m": 4.0}


async def test_the_newest_batch_has_a_fixed_weight_in_the_mean(owners, manual_clock):
    for name, seconds in (("b1", 4.0), ("b2", 8.0)):
        owners.put(name, owner(), 1)
        manual_clock.advance(seconds)
        owners.remove(name)
    mean = 4.0 + NEWEST_BATCH_WEIGHT * 4.0
    assert owners.open_seconds() == {"m": pytest.approx(mean)}


async def test_a_change_of_owner_does_not_restart_the_open_time(owners, manual_clock):
    owners.put("b1", owner(), 1)
    manual_clock.advance(3.0)
    owners.put("b1", owner(), 2)
    manual_clock.advance(3.0)
    owners.remove("b1")
    owners.remove("b1")
    assert owners.open_seconds() == {"m": 6.0}


class PresenceStub:
    """The heartbeats read up to a version of the store: only this host is alive."""

    host = "h"
    lifetime = "life"

    def __init__(self, read_version):
        self.read_version = read_version

    def is_alive(self, host, lifetime):
        return (host, lifetime) == (self.host, self.lifetime)

    def is_in_data_centres(self, host, data_centres):
        return True

    def live_hosts(self, data_centres):
        return [self.host]

    def capacity_of(self, host):
        return 1.0


async def test_an_owner_newer_than_the_read_heartbeats_is_not_replaced(manual_clock):
    heartbeats = PresenceStub(read_version=5)
    owners = OwnerRegistry(heartbeats, manual_clock)
    owners.put("b1", owner(), 6)
    assert list(owners.takeover_candidates()) == []
    heartbeats.read_version = 6
    assert [batch for batch, _, _ in owners.takeover_candidates()] == ["b1"]


async def test_an_owner_missing_from_the_read_heartbeats_is_replaced_at_once(
    manual_clock,
):
    owners = OwnerRegistry(PresenceStub(read_version=9), manual_clock)
    owners.put("b1", owner(), 6)
    assert [batch for batch, _, _ in owners.takeover_candidates()] == ["b1"]

"""Engines are ordered by need, once for each count, and only by the lease holder."""

import pytest

from bankrudder.duties import Duty, DutyOutcome, EndpointOrder
from bankrudder.fleet import Endpoint, EndpointDirectory
from bankrudder.routing import (
    RoutingConfiguration,
    RoutingTable,
    Scaling,
    Service,
)
from bankrudder.scheduling._supply import PEAK_PERIOD
from bankrudder.supply import EngineScaler
from bankrudder.supply._scaling import UNAVAILABLE_RETRY_S

SCALING = Scaling(1, 11, {"north": 1.0, "south": 0.8})


class HeldLease:
    is_valid = True
    left_s = 2.0
    fence = 7


class OwnerRegistryStub:
    is_loaded = True

    def __init__(self, **samples):
        self.samples = samples

    def largest_batch_sample_count(self, model):
        return self.samples.get(model, 0)


class PlatformStub:
    def __init__(self):
        self.outcomes = []
        self.orders = []

    async def call(self, call, grant):
        self.orders.append(call)
        return self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE


class ScaledService:
    def __init__(self, clock, scaling=SCALING):
        self.clock = clock
        self.platform = PlatformStub()
        self.lease = HeldLease()
        self.owners = OwnerRegistryStub()
        self.directory = EndpointDirectory("north", clock)
        for number in range(4):
            place = "north" if number % 2 else "south"
            self.directory.put(
                Endpoint(f"e{number}", "engines", f"127.0.0.1:{number}", place, 8)
            )
        services = (
            Service("engines", 100, ("m0", "m1"), scaling),
            Service("plain", 100, (), SCALING),
        )
        self.table = RoutingTable(RoutingConfiguration(1, (), services))
        duty = Duty("supply", self.platform, self.lease, "a", 1e6, clock)
        self.scaler = EngineScaler(
            duty,
            lambda: self.table,
            self.directory,
            self.owners,
            lambda: self.lease.fence,
            clock,
        )

    async def order_engines(self):
        """Check once; return the counts that were ordered, by data centre."""
        before = len(self.platform.orders)
        await self.scaler.order_engines()
        orders = self.platform.orders[before:]
        assert all(isinstance(each, EndpointOrder) for each in orders)
        assert all(each.service == "engines" for each in orders)
        return {each.data_centre: each.count for each in orders}


@pytest.fixture
def supply(manual_clock):
    return ScaledService(manual_clock)


async def test_without_samples_nothing_is_ordered(supply):
    assert await supply.order_engines() == {}


async def test_nothing_is_ordered_before_the_owner_rows_are_loaded(supply):
    supply.owners.samples = {"m0": 80}
    supply.owners.is_loaded = False
    assert await supply.order_engines() == {}


async def test_nothing_is_ordered_for_a_service_without_scaling(manual_clock):
    supply = ScaledService(manual_clock, scaling=None)
    supply.owners.samples = {"m0": 80}
    assert await supply.order_engines() == {}


async def test_engines_for_the_samples_are_ordered_once(supply):
    supply.owners.samples = {"m0": 80}
    assert await supply.order_engines() == {"north": 6, "south": 6}
    assert await supply.order_engines() == {}


async def test_an_order_of_unknown_outcome_is_repeated_with_the_same_count(supply):
    supply.owners.samples = {"m0": 80}
    supply.platform.outcomes = [DutyOutcome.UNKNOWN, DutyOutcome.DONE]
    first = await supply.order_engines()
    again = await supply.order_engines()
    assert first == {"north": 6, "south": 6}
    assert list(again.values()) == [6]


async def test_the_next_lease_holder_orders_the_same_counts(supply):
    supply.owners.samples = {"m0": 80}
    first = await supply.order_engines()
    supply.lease.fence = 9
    assert await supply.order_engines() == first


async def test_a_data_centre_without_engines_is_retried_after_a_pause(supply):
    supply.owners.samples = {"m0": 80}
    supply.platform.outcomes = [DutyOutcome.REFUSED]
    refused = next(iter(await supply.order_engines()))
    other = {"north": "south", "south": "north"}[refused]
    assert (await supply.order_engines())[other] == 11
    supply.clock.advance(UNAVAILABLE_RETRY_S + 0.1)
    assert (await supply.order_engines())[refused] == 6


async def test_a_new_lease_holder_does_not_scale_down_before_a_whole_period(supply):
    """A new lease holder may at first know the samples of only one trainer."""
    supply.owners.samples = {"m0": 1}
    assert await supply.order_engines() == {}
    supply.clock.advance(50.0)
    supply.lease.fence = 9
    assert await supply.order_engines() == {}
    supply.clock.advance(50.0)
    assert await supply.order_engines() == {}
    supply.clock.advance(PEAK_PERIOD.total_seconds())
    assert await supply.order_engines() == {"north": 1}


async def test_engines_are_not_moved_between_data_centres_to_even_them_out(supply):
    supply.directory.put(Endpoint("e9", "engines", "127.0.0.1:9", "south", 8))
    supply.owners.samples = {"m0": 24}
    assert await supply.order_engines() == {}


async def test_engines_beyond_the_upper_bound_are_not_removed_at_once(supply):
    """An order within the bounds would drain engines that run samples."""
    for number in range(20):
        engine = Endpoint(
            f"m{number}", "engines", f"127.0.0.1:{90 + number}", "north", 8
        )
        supply.directory.put(engine)
    supply.owners.samples = {"m0": 800}
    assert await supply.order_engines() == {"south": 11}
    supply.clock.advance(PEAK_PERIOD.total_seconds() + 1)
    assert await supply.order_engines() == {"north": 11}


async def test_nothing_is_ordered_without_the_lease(supply):
    supply.owners.samples = {"m0": 80}
    supply.lease.left_s = 0.0
    assert await supply.order_engines() == {}

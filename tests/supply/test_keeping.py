"""Orders of engines: by need, each once, none without the duty."""

import pytest

from bankrudder.duties import Duty, DutyOutcome, EndpointOrder
from bankrudder.fleet import Endpoint, EndpointDirectory
from bankrudder.routing import (
    RoutingConfiguration,
    RoutingTable,
    Scaling,
    Service,
)
from bankrudder.scheduling._supply import HOLD
from bankrudder.supply import SupplyKeeper
from bankrudder.supply._keeping import UNAVAILABLE_S

SCALING = Scaling(1, 11, {"north": 1.0, "south": 0.8})


class Lease:
    is_valid = True
    left_s = 2.0
    fence = 7


class Owners:
    is_loaded = True

    def __init__(self, **samples):
        self.samples = samples

    def samples_of(self, model):
        return self.samples.get(model, 0)


class Platform:
    def __init__(self):
        self.outcomes = []
        self.orders = []

    async def call(self, call, ticket):
        self.orders.append(call)
        return self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE


class Supply:
    def __init__(self, clock, scaling=SCALING):
        self.clock = clock
        self.platform = Platform()
        self.lease = Lease()
        self.owners = Owners()
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
        self.keeper = SupplyKeeper(
            duty,
            lambda: self.table,
            self.directory,
            self.owners,
            lambda: self.lease.fence,
            clock,
        )

    async def look(self):
        """Look once; return the numbers that were ordered, by data centre."""
        before = len(self.platform.orders)
        await self.keeper.look()
        orders = self.platform.orders[before:]
        assert all(isinstance(each, EndpointOrder) for each in orders)
        assert all(each.service == "engines" for each in orders)
        return {each.data_centre: each.count for each in orders}


@pytest.fixture
def supply(manual_clock):
    return Supply(manual_clock)


async def test_without_work_what_is_there_stays(supply):
    assert await supply.look() == {}


async def test_before_the_batches_are_known_nothing_is_ordered(supply):
    supply.owners.samples = {"m0": 80}
    supply.owners.is_loaded = False
    assert await supply.look() == {}


async def test_a_service_that_operators_do_not_scale_is_left_alone(manual_clock):
    supply = Supply(manual_clock, scaling=None)
    supply.owners.samples = {"m0": 80}
    assert await supply.look() == {}


async def test_engines_are_ordered_for_the_samples_once(supply):
    supply.owners.samples = {"m0": 80}
    assert await supply.look() == {"north": 6, "south": 6}
    assert await supply.look() == {}


async def test_an_order_that_was_lost_names_the_same_number_again(supply):
    supply.owners.samples = {"m0": 80}
    supply.platform.outcomes = [DutyOutcome.UNKNOWN, DutyOutcome.DONE]
    first = await supply.look()
    again = await supply.look()
    assert first == {"north": 6, "south": 6}
    assert list(again.values()) == [6]


async def test_the_next_holder_orders_no_more(supply):
    supply.owners.samples = {"m0": 80}
    first = await supply.look()
    supply.lease.fence = 9
    assert await supply.look() == first


async def test_a_data_centre_without_engines_is_asked_again_later(supply):
    supply.owners.samples = {"m0": 80}
    supply.platform.outcomes = [DutyOutcome.REFUSED]
    refused = next(iter(await supply.look()))
    other = {"north": "south", "south": "north"}[refused]
    assert (await supply.look())[other] == 11
    supply.clock.advance(UNAVAILABLE_S + 0.1)
    assert (await supply.look())[refused] == 6


async def test_what_is_there_stays_while_the_work_is_not_known_for_long(supply):
    """A new holder may see one of several trainers first."""
    supply.owners.samples = {"m0": 1}
    assert await supply.look() == {}
    supply.clock.advance(50.0)
    supply.lease.fence = 9
    assert await supply.look() == {}
    supply.clock.advance(50.0)
    assert await supply.look() == {}
    supply.clock.advance(HOLD.total_seconds())
    assert await supply.look() == {"north": 1}


async def test_engines_are_not_moved_between_data_centres_for_evenness(supply):
    supply.directory.put(Endpoint("e9", "engines", "127.0.0.1:9", "south", 8))
    supply.owners.samples = {"m0": 24}
    assert await supply.look() == {}


async def test_engines_beyond_the_bounds_are_not_taken_away_at_once(supply):
    """An order within the bounds would drain what is at work."""
    for number in range(20):
        engine = Endpoint(
            f"m{number}", "engines", f"127.0.0.1:{90 + number}", "north", 8
        )
        supply.directory.put(engine)
    supply.owners.samples = {"m0": 800}
    assert await supply.look() == {"south": 11}
    supply.clock.advance(HOLD.total_seconds() + 1)
    assert await supply.look() == {"north": 11}


async def test_without_the_duty_nothing_is_ordered(supply):
    supply.owners.samples = {"m0": 80}
    supply.lease.left_s = 0.0
    assert await supply.look() == {}

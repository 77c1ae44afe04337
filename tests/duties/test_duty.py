"""Calls are made only while the lease is surely held, and at the stated rate."""

import asyncio

import pytest

from bankrudder.duties import Duty, DutyOutcome, UsageReport
from bankrudder.duties._duty import MAX_CALL_S, MIN_CALL_S

CALL = UsageReport(1, {"north": 2})


class Lease:
    def __init__(self, left_s=2.0, fence=7):
        self.left_s = left_s
        self.fence = fence

    @property
    def is_valid(self):
        return self.left_s > 0


class Api:
    def __init__(self, outcome=DutyOutcome.DONE, takes_s=0.0):
        self.tickets = []
        self._outcome = outcome
        self._takes_s = takes_s
        self.most_at_once = 0
        self._at_once = 0

    async def call(self, call, ticket):
        self.tickets.append(ticket)
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        await asyncio.sleep(self._takes_s)
        self._at_once -= 1
        return self._outcome


def duty(api, lease, clock, calls_per_s=1e6):
    return Duty("duty", api, lease, "a", calls_per_s, clock)


async def test_a_call_bears_the_holder_and_its_token(manual_clock):
    api = Api()
    assert await duty(api, Lease(), manual_clock).call(CALL) is DutyOutcome.DONE
    [ticket] = api.tickets
    assert (ticket.holder, ticket.fence) == ("a", 7)


@pytest.mark.parametrize("left_s", [0.0, MIN_CALL_S / 2])
async def test_without_enough_of_the_lease_nothing_is_sent(manual_clock, left_s):
    api = Api()
    outcome = await duty(api, Lease(left_s), manual_clock).call(CALL)
    assert outcome is DutyOutcome.NOT_ON_DUTY
    assert api.tickets == []


@pytest.mark.parametrize(
    ("left_s", "timeout_s"), [(2.0, MAX_CALL_S), (0.3, 0.3), (10.0, MAX_CALL_S)]
)
async def test_no_call_outlasts_the_lease(manual_clock, left_s, timeout_s):
    api = Api()
    await duty(api, Lease(left_s), manual_clock).call(CALL)
    assert api.tickets[0].timeout_s == timeout_s


async def test_the_lease_is_asked_again_right_before_the_sending(manual_clock):
    api = Api()
    lease = Lease()
    await duty(api, lease, manual_clock).call(CALL)
    [ticket] = api.tickets
    assert ticket.is_held()
    lease.fence = 9  # lost, and taken again
    assert not ticket.is_held()
    lease.fence, lease.left_s = 7, 0.0
    assert not ticket.is_held()


async def test_calls_are_made_one_after_the_other(manual_clock):
    api = Api(takes_s=0.01)
    it = duty(api, Lease(), manual_clock)
    await asyncio.gather(*(it.call(CALL) for _ in range(5)))
    assert len(api.tickets) == 5
    assert api.most_at_once == 1


async def test_the_lease_is_looked_at_after_waiting_for_a_turn(manual_clock):
    """What held at the asking need not hold any more when the turn comes."""
    api = Api(takes_s=0.02)
    lease = Lease()
    it = duty(api, lease, manual_clock)
    first = asyncio.ensure_future(it.call(CALL))
    await asyncio.sleep(0.005)
    second = asyncio.ensure_future(it.call(CALL))
    lease.left_s = 0.0
    assert await first is DutyOutcome.DONE
    assert await second is DutyOutcome.NOT_ON_DUTY


async def test_calls_keep_to_half_of_the_stated_rate(manual_clock):
    it = duty(Api(), Lease(), manual_clock, calls_per_s=50)
    loop = asyncio.get_running_loop()
    began = loop.time()
    for _ in range(4):
        await it.call(CALL)
    # The clock stands still, so each call waits for the whole pause again.
    assert loop.time() - began >= 3 * 0.04

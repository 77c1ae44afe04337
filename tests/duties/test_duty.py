"""Calls are made only while the lease is held, and at the configured rate."""

import asyncio

import pytest

from bankrudder.duties import Duty, DutyOutcome, UsageReport
from bankrudder.duties._duty import MAX_CALL_TIMEOUT_S, MIN_LEASE_LEFT_S

CALL = UsageReport(1, {"north": 2})


class Lease:
    def __init__(self, left_s=2.0, fence=7):
        self.left_s = left_s
        self.fence = fence

    @property
    def is_valid(self):
        return self.left_s > 0


class Api:
    def __init__(self, outcome=DutyOutcome.DONE, duration_s=0.0):
        self.grants = []
        self._outcome = outcome
        self._duration_s = duration_s
        self.max_concurrent_calls = 0
        self._concurrent_calls = 0

    async def call(self, call, grant):
        self.grants.append(grant)
        self._concurrent_calls += 1
        self.max_concurrent_calls = max(
            self.max_concurrent_calls, self._concurrent_calls
        )
        await asyncio.sleep(self._duration_s)
        self._concurrent_calls -= 1
        return self._outcome


def make_duty(api, lease, clock, calls_per_s=1e6):
    return Duty("duty", api, lease, "a", calls_per_s, clock)


async def test_a_call_carries_the_holder_and_the_fencing_token(manual_clock):
    api = Api()
    assert await make_duty(api, Lease(), manual_clock).call(CALL) is DutyOutcome.DONE
    [grant] = api.grants
    assert (grant.holder, grant.fence) == ("a", 7)


@pytest.mark.parametrize("left_s", [0.0, MIN_LEASE_LEFT_S / 2])
async def test_nothing_is_sent_when_too_little_of_the_lease_is_left(
    manual_clock, left_s
):
    api = Api()
    outcome = await make_duty(api, Lease(left_s), manual_clock).call(CALL)
    assert outcome is DutyOutcome.NOT_ON_DUTY
    assert api.grants == []


@pytest.mark.parametrize(
    ("left_s", "timeout_s"),
    [(2.0, MAX_CALL_TIMEOUT_S), (0.3, 0.3), (10.0, MAX_CALL_TIMEOUT_S)],
)
async def test_no_call_outlasts_the_lease(manual_clock, left_s, timeout_s):
    api = Api()
    await make_duty(api, Lease(left_s), manual_clock).call(CALL)
    assert api.grants[0].timeout_s == timeout_s


async def test_the_lease_can_be_checked_again_right_before_sending(manual_clock):
    api = Api()
    lease = Lease()
    await make_duty(api, lease, manual_clock).call(CALL)
    [grant] = api.grants
    assert grant.is_held()
    lease.fence = 9  # the lease was lost and acquired again
    assert not grant.is_held()
    lease.fence, lease.left_s = 7, 0.0
    assert not grant.is_held()


async def test_calls_do_not_overlap(manual_clock):
    api = Api(duration_s=0.01)
    held_duty = make_duty(api, Lease(), manual_clock)
    await asyncio.gather(*(held_duty.call(CALL) for _ in range(5)))
    assert len(api.grants) == 5
    assert api.max_concurrent_calls == 1


async def test_the_lease_is_checked_after_waiting_for_an_earlier_call(manual_clock):
    """The lease may be lost between the request for a call and the call itself."""
    api = Api(duration_s=0.02)
    lease = Lease()
    held_duty = make_duty(api, lease, manual_clock)
    first = asyncio.ensure_future(held_duty.call(CALL))
    await asyncio.sleep(0.005)
    second = asyncio.ensure_future(held_duty.call(CALL))
    lease.left_s = 0.0
    assert await first is DutyOutcome.DONE
    assert await second is DutyOutcome.NOT_ON_DUTY


async def test_calls_are_limited_to_half_of_the_configured_rate(
    manual_clock, monkeypatch
):
    pauses_s = []
    calls_after_s = []

    async def pause(seconds):
        pauses_s.append(seconds)

    class PausedApi(Api):
        async def call(self, call, grant):
            calls_after_s.append(sum(pauses_s))
            return DutyOutcome.DONE

    monkeypatch.setattr(asyncio, "sleep", pause)
    held_duty = make_duty(PausedApi(), Lease(), manual_clock, calls_per_s=50)
    for _ in range(4):
        await held_duty.call(CALL)
    # The manual clock does not advance, so each call waits for the whole pause.
    assert pauses_s == [0.0, 0.04, 0.04, 0.04]
    assert calls_after_s == [0.0, 0.04, 0.04 + 0.04, 0.04 + 0.04 + 0.04]


async def test_a_later_call_pauses_only_for_what_is_left(manual_clock, monkeypatch):
    pauses_s = []

    async def pause(seconds):
        pauses_s.append(seconds)

    monkeypatch.setattr(asyncio, "sleep", pause)
    held_duty = make_duty(Api(), Lease(), manual_clock, calls_per_s=50)
    for elapsed_s in (0.0, 0.03, 0.05):
        manual_clock.advance(elapsed_s)
        await held_duty.call(CALL)
    # The calls of the API make pauses of no length, too.
    assert [each for each in pauses_s if each] == [pytest.approx(0.01)]

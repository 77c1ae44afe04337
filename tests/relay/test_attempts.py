"""A request that crashes endpoints is at no more endpoints than it may crash.

After a stall of a host the time to hedge had passed, and the loss that had arrived
meanwhile was not read yet, so that the request was at three endpoints at once.
"""

import asyncio
import time

import msgspec
import pytest

from bankrudder.crashes import (
    CRASH_LIMIT,
    FREE,
    Admission,
    AdmissionDecision,
    RefusalPolicy,
)
from bankrudder.fleet import (
    Answered,
    Endpoint,
    EndpointDirectory,
    LossReason,
    Lost,
)
from bankrudder.observe import NoTraceExport, Tracer
from bankrudder.overload import FreeTurn
from bankrudder.relay import (
    IncomingRequest,
    NotRun,
    RejectReason,
    Relayed,
    Unanswered,
)
from bankrudder.relay._attempts import Attempts
from bankrudder.relay._limits import MAX_SUSPECT_WAIT_S
from bankrudder.relay._metering import NoMeter
from bankrudder.relay._waiting import first_done
from bankrudder.routing import Route, RouteKind, WeightedService
from bankrudder.world import SystemClock

STALL_S = 0.3

LOSS_STEPS = 10
"""Steps of the event loop from the arrival of a loss to its report."""


class CrashingEndpoints:
    """Endpoints that are lost while the host stalls, the first one, or at once."""

    def __init__(self):
        self.pending = 0
        self.most_pending = 0
        self.count = 0

    async def send(self, endpoint, request):
        self.count += 1
        self.pending += 1
        self.most_pending = max(self.most_pending, self.pending)
        if self.count == 1:
            time.sleep(STALL_S)  # noqa: ASYNC251
        for _ in range(LOSS_STEPS):
            await asyncio.sleep(0)
        self.pending -= 1
        return Lost(LossReason.NO_ANSWER)


class HangingEndpoints:
    """Endpoints of which the first is lost, and the others hang."""

    def __init__(self):
        self.names = []

    async def send(self, endpoint, request):
        self.names.append(endpoint.id)
        if len(self.names) == 1:
            return Lost(LossReason.NO_ANSWER)
        await asyncio.sleep(60)


class AnsweringEndpoints:
    """Endpoints that answer at once."""

    def __init__(self):
        self.count = 0

    async def send(self, endpoint, request):
        self.count += 1
        return Answered(200, (), b"answer")


class CountingGuard:
    """A crash guard that counts each loss as a crash."""

    def __init__(self, strikes):
        self.strikes = strikes

    def decision(self, content, policy):
        match self.strikes:
            case 0:
                return FREE
            case 1:
                return AdmissionDecision(Admission.FREE, 1)
            case 2:
                return AdmissionDecision(Admission.ALONE, 2)
        return AdmissionDecision(Admission.REFUSED, self.strikes, 600.0)

    async def note_lost(self, send, reason):
        self.strikes += 1

    def note_answer(self, content):
        self.strikes = 0

    def share_strikes(self, content):
        pass

    def note_abandoned(self, send):
        pass


@pytest.fixture
def directory():
    directory = EndpointDirectory("north", SystemClock())
    for number in range(4):
        directory.put(Endpoint(f"e{number}", "s", "127.0.0.1:1", "north", slots=4))
    return directory


@pytest.fixture
def make_attempts(directory):
    clock = SystemClock()
    services = (WeightedService("s", 1.0),)
    route = Route(
        "r", "h", "/", RouteKind.IDEMPOTENT, services, 0.8, 0.01, max_attempts=3
    )

    def make(
        client,
        max_attempts=3,
        *,
        strikes=0,
        policy=RefusalPolicy.LASTING,
        refusal=lambda: None,
    ):
        now = clock.monotonic()
        request = IncomingRequest(
            "q", "POST", "/x", "/x", "h", (), b"", now + 0.8, now, policy=policy
        )
        return Attempts(
            request,
            msgspec.structs.replace(route, max_attempts=max_attempts),
            "s",
            directory,
            client,
            CountingGuard(strikes),
            clock,
            Tracer("a", NoTraceExport()),
            NoMeter(),
            FreeTurn(),
            refusal,
        )

    return make


async def test_a_loss_during_a_stall_is_noticed_before_the_request_is_hedged(
    make_attempts,
):
    endpoints = CrashingEndpoints()
    reply = await make_attempts(endpoints).reply()
    assert isinstance(reply, Unanswered)
    assert (endpoints.count, endpoints.most_pending) == (3, 1)


async def test_after_a_crash_a_request_is_hedged_to_the_third_endpoint_at_most(
    make_attempts,
):
    endpoints = HangingEndpoints()
    await make_attempts(endpoints, max_attempts=4).reply()
    assert len(endpoints.names) == CRASH_LIMIT


@pytest.fixture
def occupied_endpoints(directory):
    """All endpoints of the directory, each of which works on a suspect."""
    endpoints = directory.of_service("s")
    for endpoint in endpoints:
        endpoint.occupy(is_suspect=True)
    return endpoints


async def test_an_owed_suspect_waits_for_an_endpoint_of_its_own_for_a_limited_time(
    make_attempts, occupied_endpoints
):
    """Guards against reward calls that run one by one after a series of crashes."""
    client = AnsweringEndpoints()
    attempts = make_attempts(client, strikes=2, policy=RefusalPolicy.BRIEF)
    began = time.monotonic()
    assert isinstance(await attempts.reply(), Relayed)
    assert time.monotonic() - began >= MAX_SUSPECT_WAIT_S
    assert client.count == 1
    await asyncio.sleep(0)
    assert all(each.suspects == 1 for each in occupied_endpoints)


async def test_a_suspect_of_a_caller_waits_for_as_long_as_its_caller(
    make_attempts, occupied_endpoints
):
    client = AnsweringEndpoints()
    assert isinstance(await make_attempts(client, strikes=2).reply(), NotRun)
    assert client.count == 0


class JumpingClock(SystemClock):
    """A clock by which each wait takes as long as the test says."""

    def __init__(self, times_s):
        self._times_s = list(times_s)

    def monotonic(self):
        return self._times_s.pop(0)


@pytest.mark.parametrize(
    ("times_s", "count"),
    [
        ([0.0, 0.02], 1),
        ([0.0, 1.0, 1.0, 1.03], 2),
        ([0.0, 1.0, 1.0, 2.0, 2.0, 2.02], 3),
    ],
)
async def test_a_time_out_counts_only_without_a_stall(times_s, count):
    clock = JumpingClock(times_s)
    hanging = asyncio.ensure_future(asyncio.sleep(60))
    assert await first_done([hanging], 0.01, clock) == set()
    assert clock._times_s == []
    assert len(times_s) == 2 * count
    hanging.cancel()


async def test_a_request_that_did_not_run_yet_can_be_refused_at_its_turn(make_attempts):
    """Guards against one that is sent although the host stops before it can end."""
    client = AnsweringEndpoints()
    refusal = NotRun(RejectReason.STOPPING, 0.0)
    assert await make_attempts(client, refusal=lambda: refusal).reply() == refusal
    assert client.count == 0


async def test_a_request_that_may_have_run_is_not_refused_any_more(make_attempts):
    refusals = iter([None])
    attempts = make_attempts(CrashingEndpoints(), refusal=lambda: next(refusals))
    assert isinstance(await attempts.reply(), Unanswered)

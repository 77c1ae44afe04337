"""Requests in line while endpoints refuse, end or stay silent."""

import asyncio
import random

import pytest

from bankrudder.crashes import FREE, Admission, AdmissionDecision
from bankrudder.fleet import (
    Answered,
    Endpoint,
    EndpointDirectory,
    EndpointId,
    LossReason,
    Lost,
    RefusalReason,
    Refused,
    ReportedLoad,
)
from bankrudder.observe import NoTraceExport, Tracer
from bankrudder.overload import RequestLines
from bankrudder.relay import (
    Forwarder,
    IncomingRequest,
    NotRun,
    RejectReason,
    Relayed,
    Unanswered,
)
from bankrudder.routing import Route, RouteKind, WeightedService
from outside.site import until

FULL = Refused(RefusalReason.FULL, ReportedLoad(1, 1, 1))
ANSWER = Answered(200, (), b"answer", ReportedLoad(0, 0, 1))
NAMES = ("e1", "e2")


class FakeCrashGuard:
    """A crash guard that refuses nothing unless ``verdict`` is changed."""

    def __init__(self):
        self.verdict = FREE

    def decision(self, content, policy):
        return self.verdict

    def note_answer(self, content):
        pass

    async def note_lost(self, send, reason):
        pass

    note_abandoned = share_strikes = note_answer


class ScriptedEndpoints:
    """Endpoints that give ``outcomes`` in turn, then hold requests until released."""

    def __init__(self):
        self.outcomes = []
        self.sent = []
        self.released = asyncio.Event()

    async def send(self, endpoint, request):
        self.sent.append(request.request_id)
        if self.outcomes:
            return self.outcomes.pop(0)
        await self.released.wait()
        return ANSWER


class Host:
    """A forwarder with lines, on a clock that stands still."""

    def __init__(self, clock):
        self.clock = clock
        self.directory = EndpointDirectory("north", clock, random.Random(1))
        for name in NAMES:
            self.directory.put(Endpoint(EndpointId(name), "s", "h:1", "north", 1))
        self.endpoints = ScriptedEndpoints()
        self.lines = RequestLines(self.directory, clock, random.Random(1))
        self.crashes = FakeCrashGuard()
        self.forwarder = Forwarder(
            self.directory,
            self.endpoints,
            self.crashes,
            clock,
            Tracer.from_config("host", NoTraceExport(), clock),
            lines=self.lines,
        )

    @property
    def waiting(self):
        return sum(each.waiting for each in self.lines.states())

    def start(self, name, kind=RouteKind.IDEMPOTENT, patience_s=1.0):
        route = Route(
            "r", "h", "/", kind, (WeightedService("s", 1),), 2.0, 0.2, max_attempts=3
        )
        now = self.clock.monotonic()
        request = IncomingRequest(
            name, "POST", "/x", "/x", "h", (), b"", now + patience_s, now
        )
        return asyncio.ensure_future(self.forwarder.forward(request, route))


@pytest.fixture
def host(manual_clock):
    return Host(manual_clock)


async def settle():
    for _ in range(20):
        await asyncio.sleep(0)


async def filled(host, count=2):
    """Start as many requests as there are slots, then let both endpoints refuse one."""
    tasks = [host.start(f"first-{number}") for number in range(count)]
    await settle()
    assert len(host.endpoints.sent) == count
    return tasks


async def test_a_request_that_was_refused_waits_and_runs_later(host, manual_clock):
    host.endpoints.outcomes = [FULL, FULL]
    host.endpoints.released.set()
    task = host.start("q", RouteKind.AT_MOST_ONCE)
    await settle()
    while not task.done():
        manual_clock.advance(0.05)
        await asyncio.sleep(0.002)
    assert isinstance(task.result(), Relayed)
    assert host.endpoints.sent == ["q"] * 3


async def test_a_hopeless_request_in_line_is_rejected_and_never_sent(
    host, manual_clock
):
    tasks = await filled(host)
    host.endpoints.outcomes = [FULL] * 40
    waiting = host.start("waits", patience_s=0.5)
    await settle()
    for _ in range(12):
        manual_clock.advance(0.05)
        await asyncio.sleep(0.025)
    reply = waiting.result()
    assert isinstance(reply, NotRun)
    assert 0 < reply.retry_after_s <= 0.5 / 3
    host.endpoints.outcomes = []
    host.endpoints.released.set()
    replies = await asyncio.gather(*tasks)
    assert all(isinstance(each, Relayed) for each in replies)


async def test_endpoints_that_end_with_a_line_before_them_let_callers_go(
    host, manual_clock
):
    tasks = await filled(host)
    host.endpoints.outcomes = [FULL] * 2
    waiting = [host.start(f"waits-{number}") for number in range(4)]
    await settle()
    assert host.waiting > 0
    for name in NAMES:
        host.directory.remove(EndpointId(name), keep_until=0.0)
    replies = await asyncio.gather(*waiting)
    assert {each.reason for each in replies} == {RejectReason.NO_ENDPOINT}
    assert host.waiting == 0
    for task in tasks:
        task.cancel()


async def test_a_stale_report_keeps_no_request_waiting(host, manual_clock):
    for name in NAMES:
        tracked = host.directory.get(EndpointId(name))
        tracked.note_load(ReportedLoad(9, 9, 1), manual_clock.monotonic())
    manual_clock.advance(0.5)
    host.endpoints.released.set()
    reply = await host.start("q")
    assert isinstance(reply, Relayed)


async def test_a_caller_that_leaves_the_line_takes_no_slot(host, manual_clock):
    tasks = await filled(host)
    host.endpoints.outcomes = [FULL] * 2
    waiting = [host.start(f"waits-{number}") for number in range(3)]
    await settle()
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    assert host.waiting == 0
    host.endpoints.released.set()
    await asyncio.gather(*tasks)
    assert isinstance(await host.start("next"), Relayed)


async def test_a_silent_endpoint_is_hedged_once_the_shortage_is_over(
    host, manual_clock
):
    host.endpoints.outcomes = [FULL]
    task = host.start("q", patience_s=10.0)
    await settle()
    while len(host.endpoints.sent) < 2:
        manual_clock.advance(0.01)
        await asyncio.sleep(0.002)
    manual_clock.advance(1.2)  # beyond `SHORTAGE_S`
    await until(lambda: len(host.endpoints.sent) == 3, limit_s=1.0)
    host.endpoints.released.set()
    assert isinstance(await task, Relayed)


async def test_a_crashing_request_is_refused_without_waiting_in_line(
    host, manual_clock
):
    tasks = await filled(host)
    host.endpoints.outcomes = [FULL] * 2
    waiting = host.start("waits")
    await settle()
    assert host.waiting == 1
    host.crashes.verdict = AdmissionDecision(Admission.REFUSED, 2, 1.0)
    reply = await asyncio.wait_for(host.start("crashes"), 0.015)
    assert reply == NotRun(RejectReason.CRASHES_ENDPOINTS, 1.0)
    for task in (*tasks, waiting):
        task.cancel()


async def test_a_lost_request_is_repeated_within_the_budget_only(host):
    host.endpoints.released.set()
    host.endpoints.outcomes = [Lost(LossReason.NO_ANSWER)] * 5
    reply = await host.start("q")
    assert isinstance(reply, Unanswered)
    assert host.endpoints.sent == ["q"] * 3
    host.endpoints.outcomes = [Lost(LossReason.NO_ANSWER)] * 30
    for number in range(4):
        await host.start(f"r-{number}")
    # Five saved tokens and one in ten of the first sends; one was not spent above.
    repeats = len(host.endpoints.sent) - 5
    assert repeats == 5


async def test_no_lost_request_is_repeated_while_the_service_is_short(
    host, manual_clock
):
    host.endpoints.outcomes = [FULL, Lost(LossReason.NO_ANSWER)]
    task = host.start("q")
    while not task.done():
        manual_clock.advance(0.05)
        await asyncio.sleep(0.002)
    assert isinstance(task.result(), Unanswered)
    assert host.endpoints.sent == ["q"] * 2

"""A crash whose endpoint restarted before it was probed counts in time.

A host that is slow to probe finds the endpoint listening again. Such a loss counted
only some time after the restart was learned, and not at other hosts, so that a request
crashed a fourth and a fifth endpoint.
"""

import asyncio

import pytest

from bankrudder.crashes import Admission, CrashGuard, Send, Strike, decide_admission
from bankrudder.crashes._evidence import RESTART_DETECTION_S
from bankrudder.crashes._losses import MAX_OPEN_LOSSES, Loss, OpenLosses
from bankrudder.crashes._records import decode_strike, encode_strike
from bankrudder.fleet import (
    Endpoint,
    EndpointDirectory,
    EndpointRun,
    LossReason,
    ProbeResult,
    Readiness,
    TrackedEndpoint,
)
from bankrudder.store import ReadPace
from outside.site import until

NAMES = ("e1", "e2", "e3")

CRASH_LIMIT = 3

ATTEMPTS = 2
"""Number of endpoints that a host may use for one request."""


class Service:
    """Endpoints that crash on each request and restart under their names."""

    def __init__(self):
        self.hosts = []
        self.runs = 0
        self.born = 1

    def list_all(self, readiness=Readiness.READY):
        for host in self.hosts:
            for name in NAMES:
                host.directory.put(
                    Endpoint(name, "desk", "a:1", "north", 4, readiness, born=self.born)
                )

    def restart_all(self):
        self.born += 1
        self.list_all()


class Host:
    """A crash guard whose probes stall while ``may_probe`` is clear."""

    def __init__(self, store, clock, service):
        self.clock = clock
        self.service = service
        self.may_probe = asyncio.Event()
        self.may_probe.set()
        self.reach_result = ProbeResult.LISTENING
        self.directory = EndpointDirectory("north", clock)
        self.guard = CrashGuard(
            store, self, self.directory, clock, lambda: 0.0, ReadPace(lambda: 1, 2000.0)
        )
        self.running = asyncio.ensure_future(self.guard.run())
        service.hosts.append(self)

    async def reach(self, endpoint):
        await self.may_probe.wait()
        return self.reach_result

    def admission(self):
        return self.guard.decision("a").admission

    async def visit(self):
        """Make the attempts of one request, as the relay does."""
        for name in NAMES[:ATTEMPTS]:
            if self.admission() is Admission.REFUSED:
                break
            self.service.runs += 1
            send = Send("a", self.directory.get(name), self.clock.monotonic())
            self.clock.advance(0.05)
            await self.guard.note_lost(send, LossReason.NO_ANSWER)
        self.guard.share_strikes("a")


@pytest.fixture
def service():
    return Service()


@pytest.fixture
async def hosts(store, manual_clock, service):
    hosts = [Host(store, manual_clock, service) for _ in range(3)]
    service.list_all()
    yield hosts
    for host in hosts:
        host.running.cancel()
    await asyncio.gather(*(host.running for host in hosts), return_exceptions=True)


def shared_keys(rows):
    return [key for key in rows.rows if key[0] == "crashes"]


@pytest.mark.parametrize("stall_s", [0.0, 0.5, 1.0, 3.0])
@pytest.mark.parametrize("stalled", [0, 1])
async def test_a_request_crashes_three_endpoints_however_late_the_probes_are(
    hosts, service, manual_clock, rows, stall_s, stalled
):
    if stalled == 1:
        hosts[0].reach_result = ProbeResult.NOT_LISTENING
    hosts[stalled].may_probe.clear()
    await hosts[0].visit()
    service.restart_all()
    manual_clock.advance(stall_s)
    await until(lambda: len(shared_keys(rows)) == 2)
    await until(lambda: hosts[1].admission() is Admission.ALONE)
    await hosts[1].visit()
    assert hosts[1].admission() is Admission.REFUSED
    await until(lambda: hosts[2].admission() is Admission.REFUSED)
    service.restart_all()
    manual_clock.advance(stall_s)
    await hosts[2].visit()
    hosts[stalled].may_probe.set()
    await asyncio.sleep(0.05)
    for host in hosts:
        await host.visit()
    assert service.runs == CRASH_LIMIT


async def test_restart_learned_after_the_probe_counts_at_once(hosts, service):
    await hosts[0].visit()
    assert hosts[0].admission() is Admission.FREE
    service.restart_all()
    assert hosts[0].admission() is Admission.ALONE


async def test_single_late_crash_is_shared_after_the_request_has_ended(
    hosts, service, rows
):
    target = hosts[0].directory.get("e1")
    hosts[0].guard.note_abandoned(Send("a", target, 0.0))
    await asyncio.sleep(0.4)
    service.restart_all()
    await until(lambda: len(shared_keys(rows)) == 1)
    await until(lambda: len(hosts[1].guard) == 1)


async def test_lost_answers_alone_limit_nothing_and_are_forgotten(
    hosts, manual_clock, rows
):
    for host in hosts:
        await host.visit()
    assert {host.admission() for host in hosts} == {Admission.FREE}
    manual_clock.advance(RESTART_DETECTION_S)
    await until(lambda: shared_keys(rows) == [])
    assert [len(host.guard) for host in hosts] == [0, 0, 0]


async def test_doubts_are_forgotten_when_the_request_is_answered(hosts, rows):
    await hosts[0].visit()
    await until(lambda: len(shared_keys(rows)) == 2)
    hosts[0].guard.note_answer("a")
    await until(lambda: shared_keys(rows) == [])


async def test_planned_restart_within_the_doubt_is_no_crash(hosts, service, rows):
    service.list_all(Readiness.DRAINING)
    await hosts[0].visit()
    service.restart_all()
    await until(lambda: shared_keys(rows) == [])
    assert hosts[0].admission() is Admission.FREE


async def test_doubts_of_a_host_that_stopped_are_removed(hosts, manual_clock, rows):
    await hosts[0].visit()
    await until(lambda: len(shared_keys(rows)) == 2)
    hosts[0].running.cancel()
    manual_clock.advance(3600.0)
    await until(lambda: hosts[1].guard.decision("a").strikes == 0)
    await hosts[1].guard.clean()
    await until(lambda: shared_keys(rows) == [])


def strike(number, sent_at, *, is_doubtful=False):
    run = EndpointRun(f"e{number}", 1)
    return Strike("a", run, sent_at, sent_at + 0.1, is_doubtful)


def decide(certain_count, doubt_count, age_s=0.5):
    strikes = [
        strike(number, float(number), is_doubtful=number >= certain_count)
        for number in range(certain_count + doubt_count)
    ]
    certain = {each.run: each for each in strikes if not each.is_doubtful}
    now = strikes[-1].lost_at + age_s
    doubts = [each for each in strikes if each.is_doubtful]
    return decide_admission("a", {"a": certain} if certain else {}, now, doubts)


@pytest.mark.parametrize(
    ("certain_count", "doubt_count", "expected"),
    [
        (0, 9, Admission.FREE),
        (1, 0, Admission.FREE),
        (1, 1, Admission.ALONE),
        (1, 2, Admission.REFUSED),
        (2, 1, Admission.REFUSED),
        (3, 1, Admission.REFUSED),
    ],
)
def test_doubts_count_in_addition_to_a_certain_strike(
    certain_count, doubt_count, expected
):
    assert decide(certain_count, doubt_count).admission is expected


def test_a_refusal_for_doubts_lasts_until_they_are_resolved():
    decision = decide(2, 1, age_s=1.0)
    assert decision.retry_after_s == pytest.approx(RESTART_DETECTION_S - 1.0)
    assert decide(2, 1, RESTART_DETECTION_S).admission is Admission.ALONE


@pytest.mark.parametrize("is_doubtful", [True, False])
def test_a_row_tells_whether_a_strike_is_doubtful(is_doubtful):
    made = Strike("a", EndpointRun("e", 1), 5.0, 5.1, is_doubtful, "q1")
    assert decode_strike(encode_strike(made).value) == made


def test_oldest_losses_are_evicted_first():
    losses = OpenLosses()
    target = TrackedEndpoint(Endpoint("e", "desk", "a:1", "north", 4))
    for number in range(MAX_OPEN_LOSSES):
        assert losses.add(Loss(Send(str(number), target, 0.0), 0.0)) == []
    [evicted] = losses.add(Loss(Send("new", target, 0.0), 0.0))
    assert evicted.content == "0"
    assert losses.has("new", target.run)
    assert not losses.has("0", target.run)

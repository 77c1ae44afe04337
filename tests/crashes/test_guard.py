"""Recording, sharing and expiry of strikes across hosts."""

import asyncio

import pytest

from bankrudder.crashes import Admission, CrashGuard, Send
from bankrudder.crashes._evidence import LISTED_ALIVE_S
from bankrudder.fleet import Endpoint, EndpointDirectory, LossReason, ProbeResult
from bankrudder.store import ReadPace
from outside.site import until
from outside.store import GateMode

LOST = LossReason.NO_ANSWER


class Endpoints:
    """An endpoint client that reports the same probe result for each address."""

    def __init__(self):
        self.reach_result = ProbeResult.NOT_LISTENING
        self.probe_count = 0

    async def reach(self, endpoint):
        self.probe_count += 1
        return self.reach_result


class Host:
    """A crash guard with its own endpoint directory."""

    def __init__(self, store, clock, endpoints):
        self.clock = clock
        self.list_current_for_s = 1000.0
        self.directory = EndpointDirectory("north", clock)
        self.guard = CrashGuard(
            store,
            endpoints,
            self.directory,
            clock,
            lambda: self.list_current_for_s,
            ReadPace(lambda: 1, 2000.0),
        )
        self.running = asyncio.ensure_future(self.guard.run())

    def target(self, name):
        self.directory.put(Endpoint(name, "desk", "127.0.0.1:1", "north", slots=4))
        return self.directory.get(name)

    async def lose(self, *names, content="a", reason=LOST):
        for name in names:
            await self.guard.note_lost(self.send(name, content), reason)

    def send(self, name, content="a"):
        return Send(content, self.target(name), self.clock.monotonic())

    def admission(self, content="a"):
        return self.guard.decision(content).admission


@pytest.fixture
def endpoints():
    return Endpoints()


@pytest.fixture
async def make_host(store, manual_clock, endpoints):
    hosts = []

    def make():
        hosts.append(Host(store, manual_clock, endpoints))
        return hosts[-1]

    yield make
    for host in hosts:
        host.running.cancel()
    await asyncio.gather(*(host.running for host in hosts), return_exceptions=True)


def stored_keys(rows):
    return [key for key in rows.rows if key[0] == "crashes"]


async def test_strikes_are_shared_with_other_hosts(make_host):
    first, second = make_host(), make_host()
    await first.lose("e1", "e2")
    await until(lambda: second.admission() is Admission.ALONE)
    await second.lose("e3")
    assert second.admission() is Admission.REFUSED
    await until(lambda: first.admission() is Admission.REFUSED)


async def test_host_that_starts_later_reads_the_strikes(make_host, rows):
    first = make_host()
    await first.lose("e1", "e2", "e3")
    await until(lambda: len(stored_keys(rows)) == 3)
    first.running.cancel()
    later = make_host()
    await until(lambda: later.admission() is Admission.REFUSED)


async def test_single_strike_is_written_only_if_the_request_got_no_answer(
    make_host, rows
):
    host = make_host()
    await host.lose("e1")
    await asyncio.sleep(0.1)
    assert stored_keys(rows) == []
    host.guard.share_strikes("a")
    await until(lambda: len(stored_keys(rows)) == 1)


async def test_crash_after_a_cancelled_request_counts(make_host, rows, endpoints):
    first, second = make_host(), make_host()
    endpoints.reach_result = ProbeResult.LISTENING
    first.guard.note_abandoned(first.send("e1"))
    endpoints.reach_result = ProbeResult.NOT_LISTENING
    await until(lambda: len(stored_keys(rows)) == 1)
    await until(lambda: len(second.guard) == 1)


async def test_cancelled_request_at_a_live_endpoint_does_not_count(
    make_host, endpoints
):
    host = make_host()
    endpoints.reach_result = ProbeResult.LISTENING
    for name in ("e1", "e2", "e3"):
        host.guard.note_abandoned(host.send(name))
    await until(lambda: endpoints.probe_count == 3)
    assert host.admission() is Admission.FREE


async def test_answer_clears_strikes_at_all_hosts(make_host, rows):
    first, second = make_host(), make_host()
    await first.lose("e1", "e2", "e3")
    await until(lambda: second.admission() is Admission.REFUSED)
    second.guard.note_answer("a")
    await until(lambda: first.admission() is Admission.FREE)
    await until(lambda: stored_keys(rows) == [])


@pytest.mark.parametrize("probe_result", [ProbeResult.LISTENING, ProbeResult.UNKNOWN])
async def test_lost_answers_of_live_endpoints_do_not_count(
    make_host, endpoints, probe_result
):
    endpoints.reach_result = probe_result
    host = make_host()
    await host.lose("e1", "e2", "e3", "e4")
    assert host.admission() is Admission.FREE


@pytest.mark.parametrize("reason", [LossReason.TIMEOUT, LossReason.FOREIGN_ANSWER])
async def test_late_and_foreign_answers_cause_no_probe(make_host, endpoints, reason):
    host = make_host()
    await host.lose("e1", "e2", "e3", reason=reason)
    assert host.admission() is Admission.FREE
    assert endpoints.probe_count == 0


async def test_requests_lost_at_the_same_time_share_one_probe(make_host, endpoints):
    host = make_host()
    await asyncio.gather(
        *(host.lose("e1", content=f"content-{number}") for number in range(9))
    )
    assert endpoints.probe_count == 1
    assert len(host.guard) == 9


async def test_later_loss_causes_a_new_probe(make_host, endpoints):
    host = make_host()
    endpoints.reach_result = ProbeResult.LISTENING
    await host.lose("e1")
    endpoints.reach_result = ProbeResult.NOT_LISTENING
    await host.lose("e1")
    assert (endpoints.probe_count, len(host.guard)) == (2, 1)


async def test_strikes_of_endpoints_that_stay_listed_are_withdrawn(
    make_host, manual_clock, rows
):
    host = make_host()
    await host.lose("e1", "e2", "e3")
    assert host.admission() is Admission.REFUSED
    await until(lambda: len(stored_keys(rows)) == 3)
    manual_clock.advance(LISTED_ALIVE_S)
    await until(lambda: host.admission() is Admission.FREE)
    await until(lambda: stored_keys(rows) == [])


async def test_list_that_became_readable_just_now_is_no_evidence(
    make_host, manual_clock
):
    host = make_host()
    host.list_current_for_s = 1.0
    await host.lose("e1", "e2", "e3")
    manual_clock.advance(LISTED_ALIVE_S)
    await asyncio.sleep(0.8)
    assert host.admission() is Admission.REFUSED
    host.list_current_for_s = LISTED_ALIVE_S
    await until(lambda: host.admission() is Admission.FREE)


async def test_strikes_of_endpoints_removed_from_the_list_are_kept(
    make_host, manual_clock
):
    host = make_host()
    await host.lose("e1", "e2", "e3")
    for name in ("e1", "e2", "e3"):
        host.directory.remove(name, 0.0)
    manual_clock.advance(LISTED_ALIVE_S)
    await asyncio.sleep(0.8)
    assert host.admission() is Admission.REFUSED


async def test_rows_that_the_store_refuses_are_written_later(make_host, gate, rows):
    host = make_host()
    gate.mode = GateMode.BUSY
    await host.lose("e1", "e2", "e3")
    assert host.admission() is Admission.REFUSED
    await asyncio.sleep(0.3)
    assert stored_keys(rows) == []
    gate.mode = GateMode.OPEN
    await until(lambda: len(stored_keys(rows)) == 3)


async def test_undecodable_rows_are_ignored(make_host, rows):
    rows.put("crashes", "noise", {"neither": "content", "nor": "endpoint"})
    host = make_host()
    await host.lose("e1", "e2")
    await until(lambda: len(stored_keys(rows)) == 3)
    assert len(host.guard) == 1


async def test_old_strikes_are_removed_from_the_store(make_host, manual_clock, rows):
    host = make_host()
    await host.lose("e1", "e2", "e3")
    await until(lambda: len(stored_keys(rows)) == 3)
    manual_clock.advance(25 * 3600.0)
    await host.guard.clean()
    await until(lambda: stored_keys(rows) == [])

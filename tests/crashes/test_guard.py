"""What hosts know of each other's losses, and how long it lasts."""

import asyncio

import pytest

from bankrudder.crashes import Admission, CrashGuard, Send
from bankrudder.crashes._evidence import SETTLE_S
from bankrudder.fleet import Endpoint, EndpointDirectory, LossReason, Reach
from bankrudder.store import ReadPace
from outside.site import until
from outside.store import GateMode

LOST = LossReason.NO_ANSWER


class Endpoints:
    """Tells of each address whether somebody listens there."""

    def __init__(self):
        self.reaches = Reach.NOT_LISTENING
        self.looks = 0

    async def reach(self, endpoint):
        self.looks += 1
        return self.reaches


class Host:
    """A guard with a directory of its own."""

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
        return self.guard.verdict(content).admission


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


def kept(rows):
    return [key for key in rows.rows if key[0] == "crashes"]


async def test_other_hosts_know_of_it(make_host):
    first, second = make_host(), make_host()
    await first.lose("e1", "e2")
    await until(lambda: second.admission() is Admission.ALONE)
    await second.lose("e3")
    assert second.admission() is Admission.REFUSED
    await until(lambda: first.admission() is Admission.REFUSED)


async def test_a_host_that_starts_later_knows_of_it(make_host, rows):
    first = make_host()
    await first.lose("e1", "e2", "e3")
    await until(lambda: len(kept(rows)) == 3)
    first.running.cancel()
    later = make_host()
    await until(lambda: later.admission() is Admission.REFUSED)


async def test_a_single_loss_is_written_only_if_nobody_answered(make_host, rows):
    host = make_host()
    await host.lose("e1")
    await asyncio.sleep(0.1)
    assert kept(rows) == []
    host.guard.tell("a")
    await until(lambda: len(kept(rows)) == 1)


async def test_an_end_after_the_caller_left_counts(make_host, rows, endpoints):
    first, second = make_host(), make_host()
    endpoints.reaches = Reach.LISTENING
    first.guard.note_left(first.send("e1"))
    endpoints.reaches = Reach.NOT_LISTENING
    await until(lambda: len(kept(rows)) == 1)
    await until(lambda: len(second.guard) == 1)


async def test_a_caller_who_leaves_an_endpoint_that_lives_counts_nothing(
    make_host, endpoints
):
    host = make_host()
    endpoints.reaches = Reach.LISTENING
    for name in ("e1", "e2", "e3"):
        host.guard.note_left(host.send(name))
    await until(lambda: endpoints.looks == 3)
    assert host.admission() is Admission.FREE


async def test_an_answer_clears_it_everywhere(make_host, rows):
    first, second = make_host(), make_host()
    await first.lose("e1", "e2", "e3")
    await until(lambda: second.admission() is Admission.REFUSED)
    second.guard.note_answer("a")
    await until(lambda: first.admission() is Admission.FREE)
    await until(lambda: kept(rows) == [])


@pytest.mark.parametrize("reach", [Reach.LISTENING, Reach.UNKNOWN])
async def test_lost_answers_of_endpoints_that_live_count_nothing(
    make_host, endpoints, reach
):
    endpoints.reaches = reach
    host = make_host()
    await host.lose("e1", "e2", "e3", "e4")
    assert host.admission() is Admission.FREE


@pytest.mark.parametrize("reason", [LossReason.TIMEOUT, LossReason.FOREIGN_ANSWER])
async def test_late_and_foreign_answers_are_not_even_looked_at(
    make_host, endpoints, reason
):
    host = make_host()
    await host.lose("e1", "e2", "e3", reason=reason)
    assert host.admission() is Admission.FREE
    assert endpoints.looks == 0


async def test_all_requests_of_one_end_share_one_look(make_host, endpoints):
    host = make_host()
    await asyncio.gather(
        *(host.lose("e1", content=f"content-{number}") for number in range(9))
    )
    assert endpoints.looks == 1
    assert len(host.guard) == 9


async def test_a_later_loss_is_looked_at_anew(make_host, endpoints):
    host = make_host()
    endpoints.reaches = Reach.LISTENING
    await host.lose("e1")
    endpoints.reaches = Reach.NOT_LISTENING
    await host.lose("e1")
    assert (endpoints.looks, len(host.guard)) == (2, 1)


async def test_an_endpoint_that_is_still_listed_lives(make_host, manual_clock, rows):
    host = make_host()
    await host.lose("e1", "e2", "e3")
    assert host.admission() is Admission.REFUSED
    await until(lambda: len(kept(rows)) == 3)
    manual_clock.advance(SETTLE_S)
    await until(lambda: host.admission() is Admission.FREE)
    await until(lambda: kept(rows) == [])


async def test_a_list_that_was_read_again_just_now_proves_nothing(
    make_host, manual_clock
):
    host = make_host()
    host.list_current_for_s = 1.0
    await host.lose("e1", "e2", "e3")
    manual_clock.advance(SETTLE_S)
    await asyncio.sleep(0.8)
    assert host.admission() is Admission.REFUSED
    host.list_current_for_s = SETTLE_S
    await until(lambda: host.admission() is Admission.FREE)


async def test_endpoints_that_are_gone_from_the_list_have_ended(
    make_host, manual_clock
):
    host = make_host()
    await host.lose("e1", "e2", "e3")
    for name in ("e1", "e2", "e3"):
        host.directory.remove(name, 0.0)
    manual_clock.advance(SETTLE_S)
    await asyncio.sleep(0.8)
    assert host.admission() is Admission.REFUSED


async def test_what_the_store_does_not_take_is_written_later(make_host, gate, rows):
    host = make_host()
    gate.mode = GateMode.BUSY
    await host.lose("e1", "e2", "e3")
    assert host.admission() is Admission.REFUSED
    await asyncio.sleep(0.3)
    assert kept(rows) == []
    gate.mode = GateMode.OPEN
    await until(lambda: len(kept(rows)) == 3)


async def test_rows_that_cannot_be_read_are_passed_over(make_host, rows):
    rows.put("crashes", "noise", {"neither": "content", "nor": "endpoint"})
    host = make_host()
    await host.lose("e1", "e2")
    await until(lambda: len(kept(rows)) == 3)
    assert len(host.guard) == 1


async def test_old_strikes_are_removed_from_the_store(make_host, manual_clock, rows):
    host = make_host()
    await host.lose("e1", "e2", "e3")
    await until(lambda: len(kept(rows)) == 3)
    manual_clock.advance(25 * 3600.0)
    await host.guard.clean()
    await until(lambda: kept(rows) == [])

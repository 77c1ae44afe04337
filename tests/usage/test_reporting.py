"""Each window is reported once with one body, whoever holds the duty and whatever
becomes of the calls.
"""

import itertools
from datetime import timedelta

import pytest

from bankrudder.duties import Duty, DutyOutcome
from bankrudder.store import ABSENT, StoreErrorKind, StoreUnavailableError
from bankrudder.usage import (
    StoreClock,
    TrueTime,
    UsageReporter,
    UsageRows,
    UsageTerms,
)
from manual_clock import ManualClock
from outside.store import GateMode

TERMS = UsageTerms(timedelta(seconds=5), timedelta(seconds=10))
CALLS_PER_S = 1e6


class HeldLease:
    """A lease that a test gives and takes."""

    def __init__(self, fence=0):
        self.fence = fence
        self.left_s = 2.0

    @property
    def is_valid(self):
        return bool(self.fence)


class Platform:
    """Takes reports; ``outcomes`` holds what the next calls come to.

    ``lost`` means that the call was carried out and nobody learned it.
    """

    def __init__(self):
        self.outcomes = []
        self.calls = []
        self.taken = {}

    async def call(self, call, ticket):
        self.calls.append((call.window, ticket.holder, ticket.fence))
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE
        if outcome in (DutyOutcome.DONE, "lost"):
            assert self.taken.setdefault(call.window, call.counts) == call.counts
        return DutyOutcome.UNKNOWN if outcome == "lost" else outcome


class Reporting:
    """Hosts that may hold the duty, on one store and one platform."""

    def __init__(self, store):
        self.clock = ManualClock()
        self.rows = UsageRows(store, self.clock)
        self.platform = Platform()
        self.is_everyone_heard = True
        self.leases = {}
        self.reporters = {}
        self.first = TERMS.window_at(self.clock.wall())

    def host(self, name):
        lease = self.leases[name] = HeldLease()
        duty = Duty("usage", self.platform, lease, name, CALLS_PER_S, self.clock)
        time = TrueTime(StoreClock(self.clock), list, self.clock)
        self.reporters[name] = UsageReporter(
            duty,
            self.rows,
            TERMS,
            time,
            lambda: lease.fence,
            lambda _: self.is_everyone_heard,
        )

    def give(self, name, fence):
        """Let one host alone hold the duty."""
        for lease in self.leases.values():
            lease.fence = 0
        self.leases[name].fence = fence

    async def look(self, name):
        await self.reporters[name].look()

    async def count(self, window, writer="w.1", **counts):
        await self.rows.put_counts(window, writer, counts, ABSENT)


@pytest.fixture
def reporting(store):
    reporting = Reporting(store)
    for name in ("a", "b"):
        reporting.host(name)
    reporting.give("a", 5)
    return reporting


async def test_windows_are_reported_one_after_the_other(reporting):
    first = reporting.first
    await reporting.look("a")
    await reporting.count(first, north=3, south=1)
    await reporting.count(first, "v.1", north=1)
    reporting.clock.advance(14.1)
    await reporting.look("a")
    assert reporting.platform.taken == {
        first: {"north": 4, "south": 1},
        first + 1: {},
    }


async def test_nothing_is_reported_before_the_counts_can_be_there(reporting):
    await reporting.look("a")
    left = TERMS.end_of(reporting.first) - reporting.clock.wall()
    reporting.clock.advance(left + 3.9)
    await reporting.look("a")
    assert reporting.platform.calls == []


async def test_the_counts_of_a_silent_host_are_waited_for(reporting):
    first = reporting.first
    await reporting.look("a")
    reporting.is_everyone_heard = False
    reporting.clock.advance(TERMS.end_of(first) - reporting.clock.wall() + 7.5)
    await reporting.look("a")
    assert reporting.platform.calls == []
    await reporting.count(first, north=2)
    reporting.clock.advance(0.6)
    await reporting.look("a")
    assert reporting.platform.taken == {first: {"north": 2}}


OUTCOMES = [
    DutyOutcome.DONE,
    DutyOutcome.REFUSED,
    DutyOutcome.UNKNOWN,
    DutyOutcome.NOT_ON_DUTY,
    "lost",
]


@pytest.mark.parametrize("outcomes", list(itertools.product(OUTCOMES, repeat=2)))
async def test_whatever_becomes_of_a_call_no_window_gets_two_bodies(
    reporting, outcomes
):
    first = reporting.first
    await reporting.look("a")
    await reporting.count(first, north=3)
    reporting.clock.advance(20.0)
    reporting.platform.outcomes = [outcomes[0]]
    await reporting.look("a")
    # Counts that come late change nothing of what was settled.
    await reporting.count(first, "late.1", north=50)
    reporting.give("b", 9)
    reporting.platform.outcomes = [outcomes[1]]
    await reporting.look("b")
    reporting.clock.advance(1.0)
    await reporting.look("b")
    reporting.give("a", 12)
    await reporting.look("a")
    taken = reporting.platform.taken
    assert taken[first] == {"north": 3}
    assert sorted(taken) == list(range(first, max(taken) + 1))
    fences = [fence for _, _, fence in reporting.platform.calls]
    assert fences == sorted(fences)


async def test_what_was_reported_is_not_sent_again_by_the_next_holder(reporting):
    await reporting.look("a")
    reporting.clock.advance(20.0)
    await reporting.look("a")
    before = len(reporting.platform.calls)
    reporting.give("b", 9)
    await reporting.look("b")
    assert len(reporting.platform.calls) == before


async def test_a_holder_that_was_away_goes_on_after_the_one_between(reporting):
    first = reporting.first
    await reporting.look("a")
    reporting.clock.advance(10.0)
    await reporting.look("a")
    reporting.give("b", 9)
    reporting.clock.advance(10.0)
    await reporting.look("b")
    reporting.give("a", 12)
    await reporting.count(first + 3, north=1)
    reporting.clock.advance(5.0)
    await reporting.look("a")
    windows = [window for window, _, _ in reporting.platform.calls]
    assert windows == list(range(first, first + len(windows)))


async def test_a_first_holder_begins_with_what_was_counted_before(reporting):
    await reporting.count(reporting.first - 2, north=1)
    reporting.clock.advance(10.0)
    await reporting.look("a")
    assert reporting.platform.taken[reporting.first - 2] == {"north": 1}
    assert min(reporting.platform.taken) == reporting.first - 2


async def test_counts_that_a_first_holder_finds_late_are_reported(reporting):
    first = reporting.first
    reporting.clock.advance(TERMS.end_of(first) - reporting.clock.wall() + 0.1)
    await reporting.look("a")
    await reporting.count(first, north=3)
    reporting.clock.advance(9.0)
    await reporting.look("a")
    assert reporting.platform.taken == {first: {"north": 3}, first + 1: {}}


async def test_windows_before_anything_ran_are_not_reported(reporting):
    first = reporting.first
    await reporting.look("a")
    reporting.clock.advance(20.0)
    await reporting.look("a")
    assert min(reporting.platform.taken) == first


async def test_all_that_an_outage_held_up_goes_out_after_it(reporting):
    first = reporting.first
    await reporting.look("a")
    reporting.platform.outcomes = [DutyOutcome.UNKNOWN] * 3
    for _ in range(3):
        reporting.clock.advance(20.0)
        await reporting.look("a")
    assert reporting.platform.taken == {}
    await reporting.look("a")
    assert sorted(reporting.platform.taken)[:11] == list(range(first, first + 11))


async def test_a_report_that_the_platform_rejects_does_not_stop_the_others(reporting):
    first = reporting.first
    await reporting.look("a")
    reporting.platform.outcomes = [DutyOutcome.REJECTED]
    reporting.clock.advance(20.0)
    await reporting.look("a")
    assert first not in reporting.platform.taken
    assert first + 1 in reporting.platform.taken
    kept = {each.window: each.row for each in await reporting.rows.reports()}
    assert kept[first].is_rejected
    assert not kept[first + 1].is_rejected


async def test_an_outage_of_the_store_holds_reports_up_and_loses_none(reporting, gate):
    first = reporting.first
    await reporting.look("a")
    reporting.clock.advance(20.0)
    gate.mode = GateMode.SILENT
    gate.mode = GateMode.BUSY
    with pytest.raises(Exception, match="busy"):
        await reporting.look("a")
    assert reporting.platform.calls == []
    gate.mode = GateMode.OPEN
    await reporting.look("a")
    assert sorted(reporting.platform.taken)[:3] == [first, first + 1, first + 2]


async def store_is_busy(*_, **__):
    raise StoreUnavailableError(StoreErrorKind.BUSY)


@pytest.mark.parametrize("outcome", [DutyOutcome.DONE, DutyOutcome.REJECTED])
async def test_a_report_whose_end_the_store_did_not_note_is_noted_later(
    reporting, monkeypatch, outcome
):
    first = reporting.first
    await reporting.look("a")
    reporting.clock.advance(TERMS.end_of(first) - reporting.clock.wall() + 4.1)
    reporting.platform.outcomes = [outcome]
    with monkeypatch.context() as patched:
        patched.setattr(reporting.rows, "note_done", store_is_busy)
        await reporting.look("a")
    assert not (await reporting.rows.reports())[0].row.is_done
    await reporting.look("a")
    kept = (await reporting.rows.reports())[0].row
    assert kept.is_done
    assert kept.is_rejected is (outcome is DutyOutcome.REJECTED)
    assert len(reporting.platform.calls) == 1


async def test_a_report_in_the_last_moment_of_the_lease_is_not_sent(reporting):
    await reporting.look("a")
    reporting.clock.advance(20.0)
    reporting.leases["a"].left_s = 0.05
    await reporting.look("a")
    assert reporting.platform.calls == []

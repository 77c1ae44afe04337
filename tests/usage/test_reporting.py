"""Each window is reported with one body only.

This holds across changes of the duty's holder and for every outcome of the calls.
"""

import asyncio
import itertools
from contextlib import suppress
from datetime import timedelta

import pytest

from bankrudder.duties import Duty, DutyOutcome
from bankrudder.store import (
    ABSENT,
    NotSettledError,
    StoreErrorKind,
    StoreUnavailableError,
)
from bankrudder.usage import (
    FleetTime,
    ReportSchedule,
    StoreClock,
    UsageReporter,
    UsageRows,
)
from manual_clock import ManualClock
from outside.store import GateMode

SCHEDULE = ReportSchedule(timedelta(seconds=5), timedelta(seconds=10))
CALLS_PER_S = 1e6


class FakeLease:
    """A lease whose holder is chosen by the test."""

    def __init__(self, fence=0):
        self.fence = fence
        self.left_s = 2.0

    @property
    def is_valid(self):
        return bool(self.fence)


class Platform:
    """Accepts reports; ``outcomes`` holds the outcomes of the next calls.

    ``lost`` means that the platform accepted the call but its answer was lost.
    """

    def __init__(self):
        self.outcomes = []
        self.calls = []
        self.accepted = {}

    async def call(self, call, grant):
        self.calls.append((call.window, grant.holder, grant.fence))
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE
        if outcome in (DutyOutcome.DONE, "lost"):
            assert self.accepted.setdefault(call.window, call.counts) == call.counts
        return DutyOutcome.UNKNOWN if outcome == "lost" else outcome


class ReportingHosts:
    """Hosts that can hold the duty and share one store and one platform."""

    def __init__(self, store):
        self.clock = ManualClock()
        self.rows = UsageRows(store, self.clock)
        self.platform = Platform()
        self.has_heard_all_hosts = True
        self.is_heard_since = lambda _: self.has_heard_all_hosts
        self.leases = {}
        self.reporters = {}
        self.first = SCHEDULE.window_at(self.clock.wall())

    def host(self, name):
        lease = self.leases[name] = FakeLease()
        duty = Duty("usage", self.platform, lease, name, CALLS_PER_S, self.clock)
        time = FleetTime(StoreClock(self.clock), list, self.clock)
        self.reporters[name] = UsageReporter(
            duty,
            self.rows,
            SCHEDULE,
            time,
            lambda: lease.fence,
            lambda seconds: self.is_heard_since(seconds),
        )

    def set_holder(self, name, fence):
        """Make one host the only holder of the duty."""
        for lease in self.leases.values():
            lease.fence = 0
        self.leases[name].fence = fence

    async def report_due_windows(self, name):
        await self.reporters[name].report_due_windows()

    async def count(self, window, writer="w.1", **counts):
        await self.rows.put_counts(window, writer, counts, ABSENT)


@pytest.fixture
def reporting(store):
    reporting = ReportingHosts(store)
    for name in ("a", "b"):
        reporting.host(name)
    reporting.set_holder("a", 5)
    return reporting


async def test_windows_are_reported_in_order(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    await reporting.count(first, north=3, south=1)
    await reporting.count(first, "v.1", north=1)
    reporting.clock.advance(14.1)
    await reporting.report_due_windows("a")
    assert reporting.platform.accepted == {
        first: {"north": 4, "south": 1},
        first + 1: {},
    }


async def test_nothing_is_reported_before_all_counts_can_be_stored(reporting):
    await reporting.report_due_windows("a")
    left = SCHEDULE.end_of(reporting.first) - reporting.clock.wall()
    reporting.clock.advance(left + 3.9)
    await reporting.report_due_windows("a")
    assert reporting.platform.calls == []


async def test_a_report_waits_for_the_counts_of_a_silent_host(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.has_heard_all_hosts = False
    reporting.clock.advance(SCHEDULE.end_of(first) - reporting.clock.wall() + 7.5)
    await reporting.report_due_windows("a")
    assert reporting.platform.calls == []
    await reporting.count(first, north=2)
    reporting.clock.advance(0.6)
    await reporting.report_due_windows("a")
    assert reporting.platform.accepted == {first: {"north": 2}}


OUTCOMES = [
    DutyOutcome.DONE,
    DutyOutcome.REFUSED,
    DutyOutcome.UNKNOWN,
    DutyOutcome.NOT_ON_DUTY,
    "lost",
]


@pytest.mark.parametrize("outcomes", list(itertools.product(OUTCOMES, repeat=2)))
async def test_no_window_gets_two_bodies_for_any_call_outcomes(reporting, outcomes):
    first = reporting.first
    await reporting.report_due_windows("a")
    await reporting.count(first, north=3)
    reporting.clock.advance(20.0)
    reporting.platform.outcomes = [outcomes[0]]
    await reporting.report_due_windows("a")
    # Counts that arrive late do not change a stored report.
    await reporting.count(first, "late.1", north=50)
    reporting.set_holder("b", 9)
    reporting.platform.outcomes = [outcomes[1]]
    await reporting.report_due_windows("b")
    reporting.clock.advance(1.0)
    await reporting.report_due_windows("b")
    reporting.set_holder("a", 12)
    await reporting.report_due_windows("a")
    accepted = reporting.platform.accepted
    assert accepted[first] == {"north": 3}
    assert sorted(accepted) == list(range(first, max(accepted) + 1))
    fences = [fence for _, _, fence in reporting.platform.calls]
    assert fences == sorted(fences)


async def test_the_next_holder_does_not_resend_accepted_reports(reporting):
    await reporting.report_due_windows("a")
    reporting.clock.advance(20.0)
    await reporting.report_due_windows("a")
    before = len(reporting.platform.calls)
    reporting.set_holder("b", 9)
    await reporting.report_due_windows("b")
    assert len(reporting.platform.calls) == before


async def test_a_returning_holder_continues_after_the_reports_of_another(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.clock.advance(10.0)
    await reporting.report_due_windows("a")
    reporting.set_holder("b", 9)
    reporting.clock.advance(10.0)
    await reporting.report_due_windows("b")
    reporting.set_holder("a", 12)
    await reporting.count(first + 3, north=1)
    reporting.clock.advance(5.0)
    await reporting.report_due_windows("a")
    windows = [window for window, _, _ in reporting.platform.calls]
    assert windows == list(range(first, first + len(windows)))


async def test_a_first_holder_reports_counts_stored_before_it_started(reporting):
    await reporting.count(reporting.first - 2, north=1)
    reporting.clock.advance(10.0)
    await reporting.report_due_windows("a")
    assert reporting.platform.accepted[reporting.first - 2] == {"north": 1}
    assert min(reporting.platform.accepted) == reporting.first - 2


async def test_counts_that_arrive_after_a_first_holder_started_are_reported(reporting):
    first = reporting.first
    reporting.clock.advance(SCHEDULE.end_of(first) - reporting.clock.wall() + 0.1)
    await reporting.report_due_windows("a")
    await reporting.count(first, north=3)
    reporting.clock.advance(9.0)
    await reporting.report_due_windows("a")
    assert reporting.platform.accepted == {first: {"north": 3}, first + 1: {}}


async def test_windows_before_the_first_request_are_not_reported(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.clock.advance(20.0)
    await reporting.report_due_windows("a")
    assert min(reporting.platform.accepted) == first


async def test_reports_delayed_by_a_platform_outage_are_sent_after_it(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.platform.outcomes = [DutyOutcome.UNKNOWN] * 3
    for _ in range(3):
        reporting.clock.advance(20.0)
        await reporting.report_due_windows("a")
    assert reporting.platform.accepted == {}
    await reporting.report_due_windows("a")
    assert sorted(reporting.platform.accepted)[:11] == list(range(first, first + 11))


async def test_a_rejected_report_does_not_block_later_windows(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.platform.outcomes = [DutyOutcome.REJECTED]
    reporting.clock.advance(20.0)
    await reporting.report_due_windows("a")
    assert first not in reporting.platform.accepted
    assert first + 1 in reporting.platform.accepted
    kept = {each.window: each.row for each in await reporting.rows.reports()}
    assert kept[first].is_rejected
    assert not kept[first + 1].is_rejected


async def test_a_store_outage_delays_reports_but_loses_none(reporting, gate):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.clock.advance(20.0)
    gate.mode = GateMode.SILENT
    gate.mode = GateMode.BUSY
    with pytest.raises(Exception, match="busy"):
        await reporting.report_due_windows("a")
    assert reporting.platform.calls == []
    gate.mode = GateMode.OPEN
    await reporting.report_due_windows("a")
    assert sorted(reporting.platform.accepted)[:3] == [first, first + 1, first + 2]


async def store_is_busy(*_, **__):
    raise StoreUnavailableError(StoreErrorKind.BUSY)


@pytest.mark.parametrize("outcome", [DutyOutcome.DONE, DutyOutcome.REJECTED])
async def test_an_answer_that_could_not_be_recorded_is_recorded_later(
    reporting, monkeypatch, outcome
):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.clock.advance(SCHEDULE.end_of(first) - reporting.clock.wall() + 4.1)
    reporting.platform.outcomes = [outcome]
    with monkeypatch.context() as patched:
        patched.setattr(reporting.rows, "record_answer", store_is_busy)
        await reporting.report_due_windows("a")
    assert not (await reporting.rows.reports())[0].row.is_done
    await reporting.report_due_windows("a")
    kept = (await reporting.rows.reports())[0].row
    assert kept.is_done
    assert kept.is_rejected is (outcome is DutyOutcome.REJECTED)
    assert len(reporting.platform.calls) == 1


async def test_no_report_is_sent_just_before_the_lease_expires(reporting):
    await reporting.report_due_windows("a")
    reporting.clock.advance(20.0)
    reporting.leases["a"].left_s = 0.05
    await reporting.report_due_windows("a")
    assert reporting.platform.calls == []


class Sequence:
    """Two outages in a row, in seconds since the start of the first window.

    Two hosts count. One of them is silent from 8 s to 16 s, or for good, and cannot
    store its counts meanwhile. The store is away from 18 s to 25 s for all hosts, so
    that the holder's lease lapses.
    """

    STORE_AWAY_S = (18.0, 25.0)
    LEASE_LEFT_S = 1.65

    def __init__(self, reporting, gate, mode, silent_until_s):
        self._reporting = reporting
        self._gate = gate
        self._mode = mode
        self._silent_until_s = silent_until_s
        self._last_heard_s = 0.0
        self.accepted_at = {}
        reporting.is_heard_since = self._is_heard_since

    @property
    def now_s(self):
        return self._reporting.clock.wall() - 5 * self._reporting.first

    def _is_heard_since(self, seconds):
        return self.now_s - self._last_heard_s <= seconds

    async def run(self, until_s):
        stored = set()
        while self.now_s < until_s:
            self._reporting.clock.advance(0.25)
            is_silent = 8.0 <= self.now_s < self._silent_until_s
            if not is_silent:
                self._last_heard_s = self.now_s
            away_from_s, away_to_s = self.STORE_AWAY_S
            is_away = away_from_s <= self.now_s < away_to_s
            self._gate.mode = self._mode if is_away else GateMode.OPEN
            lease = self._reporting.leases["a"]
            lease.left_s = 2.4
            if is_away:
                lease.left_s = max(self.LEASE_LEFT_S - (self.now_s - away_from_s), 0.0)
                lease.fence = 5 if lease.left_s else 0
            elif self.now_s >= away_to_s:
                lease.fence = 12
            for number in range(int(self.now_s // 5)):
                for host in ("steady", "silent"):
                    is_late = host == "silent" and (is_silent or self.now_s < 16.5)
                    if is_away or (is_late and number > 0) or (host, number) in stored:
                        continue
                    stored.add((host, number))
                    window = self._reporting.first + number
                    await self._reporting.count(window, f"{host}.1", north=1)
            if lease.fence:
                with suppress(StoreUnavailableError):
                    await self._reporting.report_due_windows("a")
            for window in self._reporting.platform.accepted:
                self.accepted_at.setdefault(window - self._reporting.first, self.now_s)


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.SILENT])
@pytest.mark.parametrize("silent_until_s", [16.0, 1e9])
async def test_windows_are_reported_in_time_when_the_store_fails_after_hosts(
    reporting, gate, mode, silent_until_s
):
    sequence = Sequence(reporting, gate, mode, silent_until_s)
    await reporting.report_due_windows("a")
    await sequence.run(25.0)
    due_s = {number: 5.0 * (number + 1) + 10.0 for number in range(3)}
    assert set(sequence.accepted_at) >= set(due_s)
    assert all(sequence.accepted_at[each] <= due_s[each] for each in due_s)
    truth = {"north": 2}
    bodies = [reporting.platform.accepted[reporting.first + each] for each in range(3)]
    if silent_until_s == 16.0:
        assert bodies == [truth] * 3
    else:
        assert bodies == [truth, {"north": 1}, {"north": 1}]
    # The next holder sends the same bodies again, which the platform checks here.
    await sequence.run(26.0)
    await asyncio.sleep(1.0)
    await reporting.report_due_windows("a")
    rows = await reporting.rows.reports()
    assert [each.row.counts for each in rows[:3]] == bodies
    assert all(each.row.is_done for each in rows[:3])


async def test_a_draft_is_replaced_by_the_counts_at_the_time_of_the_report(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    await reporting.count(first, north=1)
    reporting.clock.advance(SCHEDULE.end_of(first) - reporting.clock.wall() + 2.6)
    await reporting.report_due_windows("a")
    [draft] = await reporting.rows.reports()
    assert (draft.row.is_draft, draft.row.counts) == (True, {"north": 1})
    await reporting.count(first, "late.1", north=2)
    reporting.clock.advance(1.5)
    await reporting.report_due_windows("a")
    assert reporting.platform.accepted == {first: {"north": 3}}
    assert not (await reporting.rows.reports())[0].row.is_draft


async def test_the_next_holder_keeps_the_body_of_a_draft(reporting):
    first = reporting.first
    await reporting.report_due_windows("a")
    await reporting.count(first, north=1)
    reporting.clock.advance(SCHEDULE.end_of(first) - reporting.clock.wall() + 2.6)
    await reporting.report_due_windows("a")
    [draft] = await reporting.rows.reports()
    await reporting.count(first, "late.1", north=2)
    reporting.set_holder("b", 9)
    await reporting.report_due_windows("b")
    assert reporting.platform.accepted == {first: {"north": 1}}
    # A write of the former holder that the store applies late does not replace it.
    stored = await reporting.rows.settle(
        first, {"north": 50}, replaces=draft, is_draft=True
    )
    assert stored.row.counts == {"north": 1}
    assert (await reporting.rows.reports())[0].row.counts == {"north": 1}


async def test_a_draft_whose_store_write_is_unknown_is_not_sent(
    reporting, gate, monkeypatch
):
    first = reporting.first
    await reporting.report_due_windows("a")
    reporting.clock.advance(SCHEDULE.end_of(first) - reporting.clock.wall() + 2.6)

    async def lose_outcome(*_, **__):
        raise NotSettledError

    with monkeypatch.context() as patched:
        patched.setattr(reporting.rows, "settle", lose_outcome)
        await reporting.report_due_windows("a")
    gate.mode = GateMode.BUSY
    reporting.leases["a"].left_s = 0.5
    reporting.clock.advance(8.0)
    with pytest.raises(StoreUnavailableError):
        await reporting.report_due_windows("a")
    assert reporting.platform.calls == []

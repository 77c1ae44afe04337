"""Usage reports, sent to the platform by the host that holds the reporting duty."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from bankrudder.duties import Duty, DutyOutcome, UsageReport, UsageWindow
from bankrudder.store import NotSettledError, RowVersion, StoreUnavailableError
from bankrudder.usage._storage import RETAINED_REPORT_COUNT, StoredReport, UsageRows
from bankrudder.usage._time import FleetTime
from bankrudder.usage._windows import ReportSchedule, ReportStep
from bankrudder.world import WorkspaceName

REPORT_PAUSE_S = 0.25
"""Pause between two checks of whether a window can be reported: a twentieth of the
usual window length. A check that finds nothing to report makes no call to the store."""

LEASE_ENDING_S = 0.8
"""Remaining time of the lease below which drafts are sent if the store is away: the
longest duration of a call. A lease that is renewed in time has more left."""

STORE_WAIT_SHARE = 0.25
"""Share of the remaining lease for which a call to the store may take while drafts are
at hand, so that enough of the lease is left to send them."""

CLEANUP_INTERVAL_WINDOWS = 60
"""Number of windows between two removals of old reports: a few minutes at the usual
window length."""

_log = structlog.get_logger("usage")


class _AnsweredReport(msgspec.Struct, frozen=True):
    """A report that the platform has accepted or rejected."""

    report: StoredReport
    is_rejected: bool


class _Draft(msgspec.Struct, frozen=True):
    """A draft that this holder stored at a fleet time and has not sent."""

    report: StoredReport
    made_at: float
    is_complete: bool


class UsageReporter:
    """Reports each window once, oldest first.

    A draft of each report is stored some time before, so that it can be sent while the
    store is away. Drafts and the reasons for their times are described in `_windows`.

    Parameters
    ----------
    fence : callable
        Returns the fencing token of the duty. When the token changes, the reports are
        read from the store again, because another host may have sent some meanwhile.
    has_heard_all_hosts : callable
        Returns whether every host has sent a heartbeat within the given number of
        seconds. The counts of a host that has not may still arrive.
    """

    def __init__(
        self,
        duty: Duty,
        rows: UsageRows,
        schedule: ReportSchedule,
        time: FleetTime,
        fence: Callable[[], RowVersion],
        has_heard_all_hosts: Callable[[float], bool],
    ):
        self._duty = duty
        self._rows = rows
        self._schedule = schedule
        self._time = time
        self._fence = fence
        self._has_heard_all_hosts = has_heard_all_hosts
        self._loaded_fence: RowVersion | None = None
        self._unsent: list[StoredReport] = []
        self._unrecorded: list[_AnsweredReport] = []
        self._drafts: dict[UsageWindow, _Draft] = {}
        self._silent_at: dict[UsageWindow, float] = {}
        self._is_store_away = False
        self._next_window = UsageWindow(0)
        self._skip_empty_before = UsageWindow(0)
        self._last_cleanup_window = UsageWindow(0)

    async def report_due_windows(self) -> None:
        """Report all windows that can be reported now.

        Raises
        ------
        StoreUnavailableError
            If the store cannot be read or written.
        """
        try:
            await self._report_due_windows()
        except NotSettledError:
            _log.warning(
                "usage: outcome of a store write unknown", window=self._next_window
            )
            self._loaded_fence = None

    async def _report_due_windows(self) -> None:
        if self._loaded_fence != self._fence():
            await self._load()
        self._is_store_away = False
        while self._duty.is_held:
            if self._unsent:
                if not await self._send(self._unsent[0]):
                    break
                self._unsent.pop(0)
                await self._record_answers()
            elif not await self._report_next():
                break
        await self._record_answers()
        await self._store_drafts()

    async def _load(self) -> None:
        """Read the stored reports and determine the next window to report."""
        fence = self._fence()
        reports = await self._rows.reports()
        self._drafts.clear()
        self._silent_at.clear()
        self._unrecorded.clear()
        self._unsent = [
            # The holder before may have sent its draft without the store.
            await self._rows.seal(each) if each.row.is_draft else each
            for each in reports
            if not each.row.is_done
        ]
        if reports:
            self._next_window = UsageWindow(reports[-1].window + 1)
        else:
            await self._start_as_first_holder()
        self._loaded_fence = fence
        _log.info(
            "usage: duty taken",
            fence=fence,
            next_window=self._next_window,
            unsent=[each.window for each in self._unsent],
        )

    async def _start_as_first_holder(self) -> None:
        """Choose the first window to report when the store holds no reports.

        Other hosts may have counted requests that they have not written yet, so all
        windows whose reports are not yet overdue are included.
        """
        now = self._time.now()
        counted_windows = await self._rows.counted_windows()
        self._next_window = min(
            [*counted_windows, self._schedule.oldest_reportable(now)]
        )
        self._skip_empty_before = self._schedule.window_at(now)

    def _step(self, window: UsageWindow) -> ReportStep:
        draft = self._drafts.get(window)
        return self._schedule.next_step(
            window,
            self._time.now(),
            has_heard_all_hosts=self._is_complete(window),
            drafted_at=None if draft is None else draft.made_at,
            is_lease_ending=self._duty.left_s < LEASE_ENDING_S,
        )

    def _is_complete(self, window: UsageWindow) -> bool:
        """Whether every host has had time to store its counts of an ended window.

        Otherwise a silent host may still hold counts of that window that it has not
        written to the store.
        """
        now = self._time.now()
        ended_for_s = now - self._schedule.end_of(window)
        if not self._has_heard_all_hosts(max(ended_for_s, 0.0)):
            self._silent_at[window] = now
            return False
        return self._schedule.is_complete(now - self._silent_at.get(window, 0.0))

    async def _report_next(self) -> bool:
        """Settle the next window if it is due, or use its draft if the store is away.

        Returns
        -------
        bool
            False if there is nothing to report now.
        """
        window = self._next_window
        if self._step(window) is not ReportStep.REPORT:
            return False
        draft = self._drafts.get(window)
        if draft is None:
            await self._settle_next(await self._rows.counts(window))
            return True
        counts = await self._counts_if_available(window)
        if counts is None:
            self._use_draft(draft)
            return True
        is_complete = self._is_complete(window)
        if not self._schedule.should_report(
            window, self._time.now(), has_heard_all_hosts=is_complete
        ):
            return False
        await self._settle_next(counts, draft.report)
        return True

    async def _settle_next(
        self,
        counts: dict[WorkspaceName, int],
        draft: StoredReport | None = None,
    ) -> None:
        if not counts and self._next_window < self._skip_empty_before:
            # The first holder does not report empty windows before the first counted
            # request: the service may not have been deployed at that time.
            self._silent_at.pop(self._next_window, None)
            self._next_window = UsageWindow(self._next_window + 1)
            return
        self._skip_empty_before = UsageWindow(0)
        is_complete = self._is_complete(self._next_window)
        if draft is not None and draft.row.counts == counts:
            report = draft
        else:
            report = await self._rows.settle(self._next_window, counts, replaces=draft)
        write_log = _log.info if is_complete else _log.warning
        write_log(
            "usage: window settled"
            if is_complete
            else "usage: window settled without the counts of a silent host",
            window=self._next_window,
            after_s=self._after_end_s(self._next_window),
            counts=report.row.counts,
        )
        self._use(report)
        if self._next_window - self._last_cleanup_window >= CLEANUP_INTERVAL_WINDOWS:
            self._last_cleanup_window = self._next_window
            oldest = UsageWindow(self._next_window - RETAINED_REPORT_COUNT)
            await self._rows.remove_before(oldest)

    def _use_draft(self, draft: _Draft) -> None:
        _log.warning(
            "usage: store away, window reported from its draft",
            window=draft.report.window,
            after_s=self._after_end_s(draft.report.window),
            draft_age_s=round(self._time.now() - draft.made_at, 2),
            is_complete=draft.is_complete,
            counts=draft.report.row.counts,
        )
        self._use(draft.report)

    def _use(self, report: StoredReport) -> None:
        """Take a stored report as final, so that it is sent and never replaced."""
        self._drafts.pop(report.window, None)
        self._silent_at.pop(report.window, None)
        if not report.row.is_done:
            self._unsent.append(report)
        self._next_window = UsageWindow(report.window + 1)

    def _after_end_s(self, window: UsageWindow) -> float:
        return round(self._time.now() - self._schedule.end_of(window), 2)

    async def _counts_if_available(
        self, window: UsageWindow
    ) -> dict[WorkspaceName, int] | None:
        """Return the counts of a window, None if the store does not answer in time."""
        if self._is_store_away:
            return None
        try:
            async with self._store_timeout():
                return await self._rows.counts(window)
        except (StoreUnavailableError, TimeoutError):
            self._is_store_away = True
            return None

    async def _store_drafts(self) -> None:
        """Store drafts of the windows that may have to be sent without the store."""
        window = max(self._next_window, self._skip_empty_before)
        while self._duty.is_held and not self._is_store_away:
            step = self._step(window)
            if step is ReportStep.DRAFT:
                await self._store_draft(window)
            elif window not in self._drafts:
                return
            window = UsageWindow(window + 1)

    async def _store_draft(self, window: UsageWindow) -> None:
        is_complete = self._is_complete(window)
        counts = await self._counts_if_available(window)
        if counts is None:
            return
        before = self._drafts.get(window)
        report = None if before is None else before.report
        if report is None or report.row.counts != counts:
            try:
                async with self._store_timeout():
                    report = await self._rows.settle(
                        window, counts, replaces=report, is_draft=True
                    )
            except StoreUnavailableError:
                self._is_store_away = True
                return
            except (NotSettledError, TimeoutError):
                # The stored body is unknown, so that none may be sent before it is
                # read again.
                self._drafts.pop(window, None)
                self._is_store_away = True
                return
            if not report.row.is_draft:
                raise NotSettledError  # Another holder has reported the window.
        self._drafts[window] = _Draft(report, self._time.now(), is_complete)

    def _store_timeout(self) -> asyncio.Timeout:
        return asyncio.timeout(self._duty.left_s * STORE_WAIT_SHARE)

    async def _send(self, report: StoredReport) -> bool:
        """Send a stored report; return whether the platform accepted or rejected it."""
        call = UsageReport(report.window, report.row.counts)
        outcome = await self._duty.call(call)
        if outcome not in (DutyOutcome.DONE, DutyOutcome.REJECTED):
            return False
        is_rejected = outcome is DutyOutcome.REJECTED
        if is_rejected:
            _log.error("usage: report rejected for good", window=report.window)
        self._unrecorded.append(_AnsweredReport(report, is_rejected))
        return True

    async def _record_answers(self) -> None:
        """Record in the store which reports the platform has accepted or rejected.

        Until a report is recorded, the next holder of the duty sends it again with an
        identical body, which is harmless.
        """
        while self._unrecorded and not self._is_store_away:
            answered = self._unrecorded[0]
            try:
                async with self._store_timeout():
                    await self._rows.record_answer(
                        answered.report, is_rejected=answered.is_rejected
                    )
            except (StoreUnavailableError, NotSettledError, TimeoutError):
                self._is_store_away = True
                _log.warning(
                    "usage: answer to a report not recorded in the store",
                    window=answered.report.window,
                )
                return
            self._unrecorded.pop(0)

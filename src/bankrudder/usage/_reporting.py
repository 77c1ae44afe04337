"""Usage reports, sent to the platform by the host that holds the reporting duty."""

from collections.abc import Callable

import msgspec
import structlog

from bankrudder.duties import Duty, DutyOutcome, UsageReport, UsageWindow
from bankrudder.store import NotSettledError, RowVersion, StoreUnavailableError
from bankrudder.usage._storage import RETAINED_REPORT_COUNT, StoredReport, UsageRows
from bankrudder.usage._time import FleetTime
from bankrudder.usage._windows import ReportSchedule

REPORT_PAUSE_S = 0.25
"""Pause between two checks of whether a window can be reported: a twentieth of the
usual window length. A check that finds nothing to report makes no call to the store."""

CLEANUP_INTERVAL_WINDOWS = 60
"""Number of windows between two removals of old reports: a few minutes at the usual
window length."""

_log = structlog.get_logger("usage")


class _AnsweredReport(msgspec.Struct, frozen=True):
    """A report that the platform has accepted or rejected."""

    report: StoredReport
    is_rejected: bool


class UsageReporter:
    """Reports each window once, oldest first.

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
        await self._record_answers()
        while self._duty.is_held:
            if self._unsent:
                if not await self._send(self._unsent[0]):
                    return
                self._unsent.pop(0)
                await self._record_answers()
            elif self._should_report_next():
                await self._settle_next()
            else:
                return

    async def _load(self) -> None:
        """Read the stored reports and determine the next window to report."""
        fence = self._fence()
        reports = await self._rows.reports()
        self._unsent = [each for each in reports if not each.row.is_done]
        self._unrecorded.clear()
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

    def _should_report_next(self) -> bool:
        return self._schedule.should_report(
            self._next_window,
            self._time.now(),
            has_heard_all_hosts=self._is_next_complete(),
        )

    def _is_next_complete(self) -> bool:
        """Whether every host has sent a heartbeat since the end of the next window.

        Otherwise a silent host may still hold counts of that window that it has not
        written to the store.
        """
        ended_for_s = self._time.now() - self._schedule.end_of(self._next_window)
        return self._has_heard_all_hosts(max(ended_for_s, 0.0))

    async def _settle_next(self) -> None:
        counts = await self._rows.counts(self._next_window)
        if not counts and self._next_window < self._skip_empty_before:
            # The first holder does not report empty windows before the first counted
            # request: the service may not have been deployed at that time.
            self._next_window = UsageWindow(self._next_window + 1)
            return
        self._skip_empty_before = UsageWindow(0)
        is_complete = self._is_next_complete()
        report = await self._rows.settle(self._next_window, counts)
        after_end_s = self._time.now() - self._schedule.end_of(self._next_window)
        write_log = _log.info if is_complete else _log.warning
        write_log(
            "usage: window settled"
            if is_complete
            else "usage: window settled without the counts of a silent host",
            window=self._next_window,
            after_s=round(after_end_s, 2),
            counts=report.row.counts,
        )
        if not report.row.is_done:
            self._unsent.append(report)
        self._next_window = UsageWindow(self._next_window + 1)
        if self._next_window - self._last_cleanup_window >= CLEANUP_INTERVAL_WINDOWS:
            self._last_cleanup_window = self._next_window
            oldest = UsageWindow(self._next_window - RETAINED_REPORT_COUNT)
            await self._rows.remove_before(oldest)

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
        while self._unrecorded:
            answered = self._unrecorded[0]
            try:
                await self._rows.record_answer(
                    answered.report, is_rejected=answered.is_rejected
                )
            except (StoreUnavailableError, NotSettledError):
                _log.warning(
                    "usage: answer to a report not recorded in the store",
                    window=answered.report.window,
                )
                return
            self._unrecorded.pop(0)

"""Reports of usage by the host whose duty they are."""

from collections.abc import Callable

import msgspec
import structlog

from bankrudder.duties import Duty, DutyOutcome, UsageReport, UsageWindow
from bankrudder.store import NotSettledError, RowVersion, StoreUnavailableError
from bankrudder.usage._keeping import KEPT_REPORTS, KeptReport, UsageRows
from bankrudder.usage._time import TrueTime
from bankrudder.usage._windows import UsageTerms

REPORT_PAUSE_S = 0.25
"""Pause between two looks whether a window can be reported: a twentieth of a usual
window, for no call to the store."""

CLEANING_WINDOWS = 60
"""Windows after which old reports are looked for: some minutes."""

_log = structlog.get_logger("usage")


class _Ended(msgspec.Struct, frozen=True):
    """A report to which the platform gave its answer."""

    report: KeptReport
    is_rejected: bool


class UsageReporter:
    """Reports one window after the other, the oldest first, each once.

    Parameters
    ----------
    fence : callable
        Fencing token of the duty; another one makes the store's rows read anew, as
        another host may have reported meanwhile.
    is_everyone_heard : callable
        Whether each host was heard of in the last so many seconds; the counts of one
        that was not may still come.
    """

    def __init__(
        self,
        duty: Duty,
        rows: UsageRows,
        terms: UsageTerms,
        time: TrueTime,
        fence: Callable[[], RowVersion],
        is_everyone_heard: Callable[[float], bool],
    ):
        self._duty = duty
        self._rows = rows
        self._terms = terms
        self._time = time
        self._fence = fence
        self._is_everyone_heard = is_everyone_heard
        self._read_under: RowVersion | None = None
        self._unsent: list[KeptReport] = []
        self._unnoted: list[_Ended] = []
        self._next = UsageWindow(0)
        self._first_full = UsageWindow(0)
        self._cleaned_at = UsageWindow(0)

    async def look(self) -> None:
        """Report what can be reported now.

        Raises
        ------
        StoreUnavailableError
            If the store does not let it go on.
        """
        try:
            await self._look()
        except NotSettledError:
            _log.warning("usage: store did not settle", window=self._next)
            self._read_under = None

    async def _look(self) -> None:
        if self._read_under != self._fence():
            await self._read()
        await self._note_ended()
        while self._duty.is_held:
            if self._unsent:
                if not await self._send(self._unsent[0]):
                    return
                self._unsent.pop(0)
                await self._note_ended()
            elif self._should_report_next():
                await self._settle_next()
            else:
                return

    async def _read(self) -> None:
        """Learn what was reported, and where to go on."""
        fence = self._fence()
        reports = await self._rows.reports()
        self._unsent = [each for each in reports if not each.row.is_done]
        self._unnoted.clear()
        if reports:
            self._next = UsageWindow(reports[-1].window + 1)
        else:
            await self._begin()
        self._read_under = fence
        _log.info(
            "usage: duty taken",
            fence=fence,
            next_window=self._next,
            unsent=[each.window for each in self._unsent],
        )

    async def _begin(self) -> None:
        """Begin as the first holder of all.

        Other hosts may have counted before and not kept it yet, so windows whose
        reports are still in time are looked at too.
        """
        now = self._time.now()
        counted = await self._rows.counted()
        self._next = min([*counted, self._terms.oldest_in_time(now)])
        self._first_full = self._terms.window_at(now)

    def _should_report_next(self) -> bool:
        return self._terms.should_report(
            self._next,
            self._time.now(),
            is_everyone_heard=self._is_next_complete(),
        )

    def _is_next_complete(self) -> bool:
        """Whether the counts of no host can be missing, as each was heard since."""
        ended_for_s = self._time.now() - self._terms.end_of(self._next)
        return self._is_everyone_heard(max(ended_for_s, 0.0))

    async def _settle_next(self) -> None:
        counts = await self._rows.counts(self._next)
        if not counts and self._next < self._first_full:
            # Nothing has run yet: the service may not even have been there.
            self._next = UsageWindow(self._next + 1)
            return
        self._first_full = UsageWindow(0)
        is_complete = self._is_next_complete()
        report = await self._rows.settle(self._next, counts)
        late_s = self._time.now() - self._terms.end_of(self._next)
        level = _log.info if is_complete else _log.warning
        level(
            "usage: window settled"
            if is_complete
            else "usage: window settled without the counts of a silent host",
            window=self._next,
            after_s=round(late_s, 2),
            counts=report.row.counts,
        )
        if not report.row.is_done:
            self._unsent.append(report)
        self._next = UsageWindow(self._next + 1)
        if self._next - self._cleaned_at >= CLEANING_WINDOWS:
            self._cleaned_at = self._next
            oldest = UsageWindow(self._next - KEPT_REPORTS)
            await self._rows.drop_before(oldest)

    async def _send(self, report: KeptReport) -> bool:
        """Send a settled report; return whether that is through."""
        call = UsageReport(report.window, report.row.counts)
        outcome = await self._duty.call(call)
        if outcome not in (DutyOutcome.DONE, DutyOutcome.REJECTED):
            return False
        is_rejected = outcome is DutyOutcome.REJECTED
        if is_rejected:
            _log.error("usage: report rejected for good", window=report.window)
        self._unnoted.append(_Ended(report, is_rejected))
        return True

    async def _note_ended(self) -> None:
        """Note in the store which reports are through, those that it took no note of.

        Until then whoever holds the duty next sends the very same again, which is
        harmless.
        """
        while self._unnoted:
            ended = self._unnoted[0]
            try:
                await self._rows.note_done(ended.report, is_rejected=ended.is_rejected)
            except (StoreUnavailableError, NotSettledError):
                _log.warning(
                    "usage: report made and not noted", window=ended.report.window
                )
                return
            self._unnoted.pop(0)

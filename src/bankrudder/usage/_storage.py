"""Storage of usage counts and usage reports.

- ``usage``: one part per window, with one row for each run of a host that holds the
  run's counts.
- ``usage_reports``: one row per window with the body of its report. The body is stored
  before the report is first sent, so that every later attempt, from any host, sends an
  identical body. A row that is a draft may be replaced only by the holder that stored
  it, under the same fencing token and before it is sent; the next holder makes it final
  with the same body, because the draft may have been sent.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from contextlib import suppress

import msgspec
import structlog

from bankrudder.decoding import (
    NonNegativeInt,
    UnreadableDocumentError,
    decode_decimal,
    decode_json,
)
from bankrudder.duties import UsageWindow
from bankrudder.presence import Lifetime
from bankrudder.store import (
    ABSENT,
    Committed,
    Conflict,
    Expectation,
    NotCommitted,
    NotSettledError,
    Put,
    Row,
    RowKey,
    RowVersion,
    Store,
    StoreUnavailableError,
    Transaction,
    UnreadableRowError,
    commit_settled,
    decoding_row,
    read_all,
    remove_all,
)
from bankrudder.usage._counting import UsageCounter
from bankrudder.usage._table import WindowState, WindowSummary, summarize_windows
from bankrudder.world import Clock, HostId, WorkspaceName

USAGE_TABLE = "usage"
REPORTS_TABLE = "usage_reports"

MIN_WRITE_PAUSE_S = 0.5
"""Minimum pause between two writes of a host's counts. A host that crashes loses the
counts since its last write."""

FLEET_WRITES_PER_S = 75.0
"""Writes of counts per second by all hosts together. All hosts write to the part of the
window that has just ended, so the limit is half of the rate that one part of the store
accepts."""

COMMIT_TIMEOUT_S = 2.5
"""Time after which a write is not retried any more, whether its outcome is unknown or
it was refused."""

RETAINED_REPORT_COUNT = 720
"""Number of reports kept in the store: one hour of windows of the usual length."""

_Counts = dict[WorkspaceName, NonNegativeInt]

_log = structlog.get_logger("usage")


class ReportRow(msgspec.Struct, frozen=True):
    """Value of a report's row. The counts, which form the report's body, never change.

    Attributes
    ----------
    is_draft : bool
        Whether the holder that stored the row may still replace it.
    is_done : bool
        Whether the platform has accepted or rejected the report.
    is_rejected : bool
        Whether the platform has rejected the report as invalid.
    """

    counts: _Counts
    is_done: bool = False
    is_rejected: bool = False
    is_draft: bool = False


class StoredReport(msgspec.Struct, frozen=True):
    """A report as read from the store."""

    window: UsageWindow
    row: ReportRow
    version: RowVersion


class UsageRows:
    """Reads and writes the rows of counts and reports.

    Each call raises `StoreUnavailableError` or `NotSettledError` unless it is known to
    have succeeded.
    """

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    async def put_counts(
        self,
        window: UsageWindow,
        writer: str,
        counts: Mapping[WorkspaceName, int],
        before: RowVersion,
    ) -> RowVersion:
        """Replace the counts of one run of a host and return the row's version.

        The write is conditional on the row's version, so that a write that the store
        applies late cannot overwrite a newer one.

        Parameters
        ----------
        before : RowVersion
            Version that the row is expected to have.
        """
        key = RowKey(USAGE_TABLE, str(window), writer)
        value = msgspec.json.encode(counts)
        version = before
        while True:
            outcome = await self._commit_row(key, version, value)
            match outcome:
                case Committed(version=written):
                    return written
                case Conflict():
                    # Only this run writes the row, so the conflicting version comes
                    # from an earlier write of this run that was applied late.
                    row = outcome.row(key)
                    version = row.version if row is not None else ABSENT

    async def counts(self, window: UsageWindow) -> dict[WorkspaceName, int]:
        """Return the counts of a window, summed over all hosts."""
        total: Counter[WorkspaceName] = Counter()
        for row in await read_all(self._store, USAGE_TABLE, str(window)):
            with suppress(UnreadableRowError), decoding_row(row.key):
                total.update(decode_json(row.value, _Counts))
        return dict(total)

    async def counted_windows(self) -> list[UsageWindow]:
        """Return the windows that have stored counts, oldest first."""
        parts = await self._store.parts(USAGE_TABLE)
        windows = (decode_decimal(each) for each in parts)
        return sorted(UsageWindow(each) for each in windows if each is not None)

    async def newest_windows(self, max_count: int) -> list[WindowSummary]:
        """Return the newest windows in the form shown to operators."""
        reports = await self.reports()
        known = [
            WindowSummary(each.window, _state(each.row), each.row.counts)
            for each in reports
        ]
        open_windows = (await self.counted_windows())[-max_count:]
        counting = {window: await self.counts(window) for window in open_windows}
        return summarize_windows(known, counting, max_count)

    async def settle(
        self,
        window: UsageWindow,
        counts: dict[WorkspaceName, int],
        *,
        replaces: StoredReport | None = None,
        is_draft: bool = False,
    ) -> StoredReport:
        """Store `counts` as the report of a window unless one is already stored.

        Parameters
        ----------
        replaces : StoredReport, optional
            Draft of this holder that is replaced.
        is_draft : bool
            Whether the report may be replaced later.

        Returns
        -------
        StoredReport
            The report that is stored now, either the new or the earlier one.
        """
        key = _report_key(window)
        row = ReportRow(counts, is_draft=is_draft)
        expected = ABSENT if replaces is None else replaces.version
        outcome = await self._commit_row(key, expected, msgspec.json.encode(row))
        match outcome:
            case Committed(version=version):
                return StoredReport(window, row, version)
            case Conflict():
                before = outcome.row(key)
                if before is None:
                    raise NotSettledError
                try:
                    stored = _stored_report(before)
                except UnreadableRowError:
                    return await self._replace(before, row)
                if stored.row.is_draft:
                    # Another holder stored it, or a write that this one gave up.
                    raise NotSettledError
                return stored

    async def _replace(self, unreadable: Row, report: ReportRow) -> StoredReport:
        """Store a report in place of a row that another program has written."""
        window = UsageWindow(int(unreadable.key.key))
        outcome = await self._commit_row(
            unreadable.key, unreadable.version, msgspec.json.encode(report)
        )
        if not isinstance(outcome, Committed):
            raise NotSettledError
        return StoredReport(window, report, outcome.version)

    async def seal(self, draft: StoredReport) -> StoredReport:
        """Make a draft of an earlier holder final, so that it cannot be replaced."""
        return await self.settle(draft.window, draft.row.counts, replaces=draft)

    async def record_answer(
        self, report: StoredReport, *, is_rejected: bool = False
    ) -> None:
        """Record that the platform accepted or rejected a report; remove its counts."""
        done = msgspec.structs.replace(
            report.row, is_done=True, is_rejected=is_rejected, is_draft=False
        )
        key = _report_key(report.window)
        await self._commit_row(key, report.version, msgspec.json.encode(done))
        await self._remove_counts(report.window)

    async def reports(self) -> list[StoredReport]:
        """Return all stored reports, oldest first."""
        reports: list[StoredReport] = []
        for row in await read_all(self._store, REPORTS_TABLE, ""):
            with suppress(UnreadableRowError):
                reports.append(_stored_report(row))
        return reports

    async def remove_before(self, window: UsageWindow) -> None:
        """Remove the reports of older windows, and counts that arrived after them."""
        end = _report_key(window).key
        rows = await read_all(self._store, REPORTS_TABLE, "", end)
        await remove_all(self._store, [row.key for row in rows])
        for old in await self.counted_windows():
            if old < window:
                await self._remove_counts(old)

    async def _remove_counts(self, window: UsageWindow) -> None:
        rows = await read_all(self._store, USAGE_TABLE, str(window))
        await remove_all(self._store, [row.key for row in rows])

    async def _commit_row(
        self, key: RowKey, before: RowVersion, value: bytes
    ) -> Committed | Conflict:
        outcome = await commit_settled(
            self._store,
            Transaction((Expectation(key, before),), (Put(key, value),)),
            lambda conflict: conflict.holds(value),
            self._clock,
            COMMIT_TIMEOUT_S,
        )
        if isinstance(outcome, NotCommitted):
            raise StoreUnavailableError(outcome.error_kind)
        return outcome


class UsageWriter:
    """Writes the counts of one run of this host to the store as they grow.

    Parameters
    ----------
    host_count : callable
        Returns the number of known hosts.
    """

    def __init__(
        self,
        counter: UsageCounter,
        rows: UsageRows,
        host: HostId,
        lifetime: Lifetime,
        host_count: Callable[[], int],
    ):
        self._counter = counter
        self._rows = rows
        self._writer = f"{host}.{lifetime}"
        self._host_count = host_count
        self._versions: dict[UsageWindow, RowVersion] = {}

    async def run(self) -> None:
        """Write counts periodically until cancelled."""
        while True:
            await asyncio.sleep(self.pause_s())
            await self.write_unsaved()

    def pause_s(self) -> float:
        """Return the pause between two writes of this host."""
        return max(MIN_WRITE_PAUSE_S, self._host_count() / FLEET_WRITES_PER_S)

    async def write_unsaved(self) -> None:
        """Write all counts that grew since the last write."""
        unsaved_windows = self._counter.unsaved_windows
        for window in unsaved_windows:
            counts = self._counter.take_counts(window)
            before = self._versions.get(window, ABSENT)
            try:
                version = await self._rows.put_counts(
                    window, self._writer, counts, before
                )
            except (StoreUnavailableError, NotSettledError):
                self._counter.mark_unsaved(window)
                _log.warning("usage: counts not kept yet", window=window, counts=counts)
                return
            self._versions[window] = version
        if unsaved_windows:
            self._discard_before(self._counter.oldest_reportable())

    def _discard_before(self, window: UsageWindow) -> None:
        """Discard the counts and row versions of windows that are past their due time.

        A request counts in the window in which it started. If it ends after later
        windows were written, the complete counts of its own window are written again,
        so windows that can still be reported must be retained.
        """
        self._counter.discard_before(window)
        kept = {each: at for each, at in self._versions.items() if each >= window}
        self._versions = kept


def _report_key(window: UsageWindow) -> RowKey:
    return RowKey(REPORTS_TABLE, "", f"{window:012d}")


def _state(row: ReportRow) -> WindowState:
    if row.is_rejected:
        return WindowState.REJECTED
    if row.is_draft:
        return WindowState.COUNTING
    return WindowState.REPORTED if row.is_done else WindowState.SETTLED


def _stored_report(row: Row) -> StoredReport:
    with decoding_row(row.key):
        window = decode_decimal(row.key.key)
        if window is None:
            raise UnreadableDocumentError("the key is not the number of a window")
        value = decode_json(row.value, ReportRow)
    return StoredReport(UsageWindow(window), value, row.version)

"""Counts and reports in the store.

- ``usage``: in the part of each window one row for each run of a host, with its counts.
- ``usage_reports``: one row for each window, with the body of its report. The body is
  settled there before it is sent first, so whoever sends it again sends the very same.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

import msgspec
import structlog

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
    commit_settled,
    read_all,
    remove_all,
)
from bankrudder.usage._counting import UsageBook
from bankrudder.usage._table import UsageLine, WindowState, usage_lines
from bankrudder.world import Clock, HostId, WorkspaceName

USAGE_TABLE = "usage"
REPORTS_TABLE = "usage_reports"

KEEP_PAUSE_S = 0.5
"""Least pause between two writes of a host's counts: what its sudden loss may lose."""

KEPT_PER_S = 75.0
"""Writes of counts by all hosts together, a second: half of what one part of the store
takes, as all hosts write to the part of the window that has just ended."""

GIVE_UP_S = 2.5
"""Time for which a write of unknown outcome is tried again."""

KEPT_REPORTS = 720
"""Reports that stay readable, an hour at the usual length of a window."""

_log = structlog.get_logger("usage")


class ReportRow(msgspec.Struct, frozen=True):
    """Value of a report's row; its body never changes.

    Attributes
    ----------
    is_done : bool
        Whether the platform has given its answer.
    is_rejected : bool
        Whether that was that it takes the report for wrong.
    """

    counts: dict[WorkspaceName, int]
    is_done: bool = False
    is_rejected: bool = False


class KeptReport(msgspec.Struct, frozen=True):
    """A report as it is in the store."""

    window: UsageWindow
    row: ReportRow
    version: RowVersion


class UsageRows:
    """Reads and writes the rows; decides nothing.

    Each call raises `StoreUnavailableError` or `NotSettledError` if it is not known to
    have been done.
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
        """Replace the counts of one run of a host; return the row's version.

        The version that is expected keeps a write that the store carries out late from
        undoing a newer one.
        """
        key = RowKey(USAGE_TABLE, str(window), writer)
        value = msgspec.json.encode(counts)
        version = before
        while True:
            outcome = await self._settled(key, version, value)
            match outcome:
                case Committed(version=written):
                    return written
                case Conflict():
                    # Only this run writes the row: an earlier write came late.
                    row = outcome.row(key)
                    version = row.version if row is not None else ABSENT

    async def counts(self, window: UsageWindow) -> dict[WorkspaceName, int]:
        """Return the counts of all hosts."""
        total: Counter[WorkspaceName] = Counter()
        for row in await read_all(self._store, USAGE_TABLE, str(window)):
            total.update(msgspec.json.decode(row.value, type=dict[WorkspaceName, int]))
        return dict(total)

    async def counted(self) -> list[UsageWindow]:
        """Return the windows of which there are counts, the oldest first."""
        parts = await self._store.parts(USAGE_TABLE)
        return sorted(UsageWindow(int(each)) for each in parts)

    async def lines(self, most: int) -> list[UsageLine]:
        """Return the newest windows as operators see them."""
        reports = await self.reports()
        known = [
            UsageLine(each.window, _state(each.row), each.row.counts)
            for each in reports
        ]
        open_windows = (await self.counted())[-most:]
        counting = {window: await self.counts(window) for window in open_windows}
        return usage_lines(known, counting, most)

    async def settle(
        self, window: UsageWindow, counts: dict[WorkspaceName, int]
    ) -> KeptReport:
        """Make `counts` the report of a window, if none was settled before."""
        key = _report_key(window)
        row = ReportRow(counts)
        outcome = await self._settled(key, ABSENT, msgspec.json.encode(row))
        match outcome:
            case Committed(version=version):
                return KeptReport(window, row, version)
            case Conflict():
                before = outcome.row(key)
                if before is None:
                    raise NotSettledError
                return _kept(before)

    async def note_done(self, report: KeptReport, *, is_rejected: bool = False) -> None:
        """Note that the platform took a report or rejected it; its counts go."""
        done = msgspec.structs.replace(
            report.row, is_done=True, is_rejected=is_rejected
        )
        key = _report_key(report.window)
        await self._settled(key, report.version, msgspec.json.encode(done))
        await self._remove_counts(report.window)

    async def reports(self) -> list[KeptReport]:
        """Return all reports that are kept, the oldest first."""
        return [_kept(row) for row in await read_all(self._store, REPORTS_TABLE, "")]

    async def drop_before(self, window: UsageWindow) -> None:
        """Remove reports that nobody asks for any more, and counts that came late."""
        end = _report_key(window).key
        rows = await read_all(self._store, REPORTS_TABLE, "", end)
        await remove_all(self._store, [row.key for row in rows])
        for old in await self.counted():
            if old < window:
                await self._remove_counts(old)

    async def _remove_counts(self, window: UsageWindow) -> None:
        rows = await read_all(self._store, USAGE_TABLE, str(window))
        await remove_all(self._store, [row.key for row in rows])

    async def _settled(
        self, key: RowKey, before: RowVersion, value: bytes
    ) -> Committed | Conflict:
        outcome = await commit_settled(
            self._store,
            Transaction((Expectation(key, before),), (Put(key, value),)),
            lambda conflict: conflict.holds(value),
            self._clock,
            GIVE_UP_S,
        )
        if isinstance(outcome, NotCommitted):
            raise StoreUnavailableError(outcome.error_kind)
        return outcome


class UsageKeeper:
    """Writes the counts of one run of this host as they grow.

    Parameters
    ----------
    hosts : callable
        Number of hosts that are known.
    """

    def __init__(
        self,
        book: UsageBook,
        rows: UsageRows,
        host: HostId,
        lifetime: Lifetime,
        hosts: Callable[[], int],
    ):
        self._book = book
        self._rows = rows
        self._writer = f"{host}.{lifetime}"
        self._hosts = hosts
        self._versions: dict[UsageWindow, RowVersion] = {}

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await asyncio.sleep(self.pause_s())
            await self.keep()

    def pause_s(self) -> float:
        """Return the pause between two writes of a host."""
        return max(KEEP_PAUSE_S, self._hosts() / KEPT_PER_S)

    async def keep(self) -> None:
        """Write all counts that grew since the last time."""
        changed = self._book.changed
        for window in changed:
            counts = self._book.take(window)
            before = self._versions.get(window, ABSENT)
            try:
                version = await self._rows.put_counts(
                    window, self._writer, counts, before
                )
            except (StoreUnavailableError, NotSettledError):
                self._book.put_back(window)
                _log.warning("usage: counts not kept yet", window=window, counts=counts)
                return
            self._versions[window] = version
        if changed:
            self._forget(self._book.oldest_in_time())

    def _forget(self, window: UsageWindow) -> None:
        """Drop what is known of older windows: their reports have been made.

        A request counts in the window in which it began, also when it ends after later
        windows were written, and its window is then written whole again.
        """
        self._book.forget_before(window)
        kept = {each: at for each, at in self._versions.items() if each >= window}
        self._versions = kept


def _report_key(window: UsageWindow) -> RowKey:
    return RowKey(REPORTS_TABLE, "", f"{window:012d}")


def _state(row: ReportRow) -> WindowState:
    if row.is_rejected:
        return WindowState.REJECTED
    return WindowState.REPORTED if row.is_done else WindowState.SETTLED


def _kept(row: Row) -> KeptReport:
    value = msgspec.json.decode(row.value, type=ReportRow)
    return KeptReport(UsageWindow(int(row.key.key)), value, row.version)

"""Follows a table: reads all rows, then the change feed, and all rows after a gap."""

import asyncio
from collections.abc import Callable

import structlog

from bankrudder.decoding import UnreadableDocumentError
from bankrudder.store._errors import HistoryLostError, StoreUnavailableError
from bankrudder.store._port import Store
from bankrudder.store._values import ABSENT, RemovedRow, Row, RowKey, RowVersion
from bankrudder.world import Clock

FEED_WAIT_S = 0.8
"""Time for which the store may hold a read of the feed while nothing changes. A
connection that went silent is detected after this time plus the timeout of the read;
the sum stays below the two seconds in which a configuration must be in force."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed read. During an outage `RecoveringStore` delays the calls, so
this pause matters only for single reads that are refused or lost."""

_log = structlog.get_logger("store")


class TableFollower:
    """Calls back for each change of one table.

    Parameters
    ----------
    on_row, on_removed : callable
        Called in the order of the store's transactions, also for the rows of the
        initial full read. If `on_row` raises `UnreadableDocumentError`, the row is
        passed over, and logged once for each change of the reason.
    pause_s : callable
        Pause between two reads. A longer pause delays changes and saves calls when
        rows change often.
    wait_s : callable
        Time for which the store may hold a read while nothing changes.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        clock: Clock,
        *,
        on_row: Callable[[Row], None],
        on_removed: Callable[[RowKey], None],
        pause_s: Callable[[], float] = lambda: 0.0,
        wait_s: Callable[[], float] = lambda: FEED_WAIT_S,
    ):
        self._store = store
        self._table = table
        self._clock = clock
        self._on_row = on_row
        self._on_removed = on_removed
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._known_versions: dict[RowKey, RowVersion] = {}
        self._unreadable: dict[RowKey, str] = {}
        self._read_version = ABSENT
        self._last_read_at: float | None = None
        self._failing_since: float | None = None
        self._recovered_at: float | None = None
        self._first_read_at = 0.0

    @property
    def is_loaded(self) -> bool:
        """Whether all rows have been read at least once."""
        return self._last_read_at is not None

    @property
    def read_version(self) -> RowVersion:
        """Version of the store up to which all changes are known."""
        return self._read_version

    @property
    def last_read_at(self) -> float | None:
        """Monotonic time of the last successful read, None before the first one."""
        return self._last_read_at

    @property
    def failing_since(self) -> float | None:
        """Monotonic time since when reads fail, None if the last read succeeded."""
        return self._failing_since

    @property
    def recovered_at(self) -> float | None:
        """Monotonic time of the first successful read after the last failed ones."""
        return self._recovered_at

    def failure_free_s(self) -> float:
        """Return the seconds for which no read has failed, 0 before the first read."""
        if self._last_read_at is None or self._failing_since is not None:
            return 0.0
        since = self._recovered_at
        if since is None:
            since = self._first_read_at
        return self._clock.monotonic() - since

    async def run(self) -> None:
        """Follow the table until cancelled."""
        version: RowVersion | None = None
        while True:
            try:
                if version is None:
                    version = await self._read_all()
                else:
                    version = await self._read_changes(version)
                self._read_version = version
                self._note_success()
            except HistoryLostError:
                _log.warning(
                    "store: change history lost, reading all rows", table=self._table
                )
                version = None
                continue
            except StoreUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if pause_s := self._pause_s():
                await asyncio.sleep(pause_s)

    async def refresh(self) -> None:
        """Read all rows now; `run` still reports removals, by way of the feed.

        Raises
        ------
        StoreUnavailableError
            If the rows cannot be read.
        """
        await self._apply_all_rows()

    async def refresh_row(self, key: RowKey) -> None:
        """Read one row now; raises the same error as `refresh`."""
        page = await self._store.read(key.table, key.part, key.key, key.key + "\0")
        for row in page.rows:
            self._apply_row(row)

    async def _read_all(self) -> RowVersion:
        # The version is read first, so that the feed repeats changes made meanwhile.
        version = (await self._store.read(self._table, "", limit=1)).version
        found = await self._apply_all_rows()
        for key in [key for key in self._known_versions if key not in found]:
            self._apply_removal(key)
        return version

    async def _apply_all_rows(self) -> set[RowKey]:
        """Read and apply all rows; return their keys."""
        found: set[RowKey] = set()
        for part in await self._store.parts(self._table):
            start = ""
            while True:
                page = await self._store.read(self._table, part, start)
                for row in page.rows:
                    found.add(row.key)
                    self._apply_row(row)
                if not page.has_more or not page.rows:
                    break
                start = page.rows[-1].key.key + "\0"
        return found

    async def _read_changes(self, version: RowVersion) -> RowVersion:
        changes = await self._store.follow(self._table, version, self._wait_s())
        for change in changes.changes:
            match change:
                case Row():
                    self._apply_row(change)
                case RemovedRow():
                    self._apply_removal(change.key)
        return changes.version

    def _apply_row(self, row: Row) -> None:
        if self._known_versions.get(row.key, 0) >= row.version:
            return
        self._known_versions[row.key] = row.version
        try:
            self._on_row(row)
        except UnreadableDocumentError as error:
            self._note_unreadable(row, error.reason)
        else:
            if self._unreadable.pop(row.key, None) is not None:
                _log.info(
                    "store: row readable again",
                    table=row.key.table,
                    part=row.key.part,
                    row=row.key.key,
                )

    def _note_unreadable(self, row: Row, reason: str) -> None:
        if self._unreadable.get(row.key) == reason:
            return
        self._unreadable[row.key] = reason
        _log.warning(
            "store: row not understood",
            table=row.key.table,
            part=row.key.part,
            row=row.key.key,
            bytes=len(row.value),
            reason=reason,
        )

    def _apply_removal(self, key: RowKey) -> None:
        self._unreadable.pop(key, None)
        if self._known_versions.pop(key, None) is not None:
            self._on_removed(key)

    def _note_success(self) -> None:
        if self._last_read_at is None:
            self._first_read_at = self._clock.monotonic()
        self._last_read_at = self._clock.monotonic()
        if self._failing_since is not None:
            self._recovered_at = self._last_read_at
            away_s = round(self._last_read_at - self._failing_since, 3)
            _log.info("store: reads work again", table=self._table, away_s=away_s)
            self._failing_since = None

    def _note_failure(self, error: StoreUnavailableError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            _log.warning(
                "store: reads fail", table=self._table, reason=error.error_kind.value
            )

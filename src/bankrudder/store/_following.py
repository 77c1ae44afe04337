"""Following a table: all rows first, then the changes, and all rows anew on a gap."""

import asyncio
from collections.abc import Callable

import structlog

from bankrudder.store._errors import HistoryLostError, StoreUnavailableError
from bankrudder.store._port import Store
from bankrudder.store._values import ABSENT, RemovedRow, Row, RowKey, RowVersion
from bankrudder.world import Clock

WAIT_S = 0.8
"""Time for which the store may hold a read of the feed, in seconds. A connection that
fell silent is noticed this long and the read's own time later; together they stay
under the two seconds in which a configuration must be in force."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed read. Calls wait by themselves while the store is away, so this
paces only reads that are refused or lost one by one."""

_log = structlog.get_logger("store")


class TableFollower:
    """Keeps a copy of one table and tells of each change.

    Parameters
    ----------
    on_row, on_removed : callable
        Called in the order of the store's transactions, also for rows of the
        first whole read.
    on_current : callable, optional
        Called after each successful read, with nothing.
    pause_s : callable
        Pause between two reads: what it costs in delay, it saves in calls when
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
        wait_s: Callable[[], float] = lambda: WAIT_S,
    ):
        self._store = store
        self._table = table
        self._clock = clock
        self._on_row = on_row
        self._on_removed = on_removed
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._known: dict[RowKey, RowVersion] = {}
        self._read_version = ABSENT
        self._last_read_at: float | None = None
        self._lost_since: float | None = None
        self._regained_at: float | None = None
        self._first_read_at = 0.0

    @property
    def is_loaded(self) -> bool:
        """Whether all rows were read once."""
        return self._last_read_at is not None

    @property
    def read_version(self) -> RowVersion:
        """Version of the store up to which all rows are known."""
        return self._read_version

    @property
    def last_read_at(self) -> float | None:
        """Monotonic time of the last read that succeeded."""
        return self._last_read_at

    @property
    def lost_since(self) -> float | None:
        """Monotonic time of the first failed read in a row, None if it works."""
        return self._lost_since

    @property
    def regained_at(self) -> float | None:
        """Monotonic time at which reads worked again after the last outage."""
        return self._regained_at

    def current_for_s(self) -> float:
        """Return the seconds for which no read has failed, 0 before the first one."""
        if self._last_read_at is None or self._lost_since is not None:
            return 0.0
        since = self._regained_at
        if since is None:
            since = self._first_read_at
        return self._clock.monotonic() - since

    async def run(self) -> None:
        """Follow until cancelled."""
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
                _log.warning("store: history lost, reading anew", table=self._table)
                version = None
                continue
            except StoreUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if pause_s := self._pause_s():
                await asyncio.sleep(pause_s)

    async def refresh(self) -> None:
        """Take the rows that are in the store now; removals come with the following.

        Raises
        ------
        StoreUnavailableError
            If they cannot be read.
        """
        await self._take_all()

    async def refresh_row(self, key: RowKey) -> None:
        """Take one row as it is in the store now; raises as `refresh`."""
        page = await self._store.read(key.table, key.part, key.key, key.key + "\0")
        for row in page.rows:
            self._take(row)

    async def _read_all(self) -> RowVersion:
        # The version is read first: what changes during the reads comes again.
        version = (await self._store.read(self._table, "", limit=1)).version
        found = await self._take_all()
        for key in [key for key in self._known if key not in found]:
            self._drop(key)
        return version

    async def _take_all(self) -> set[RowKey]:
        """Take all rows; return their keys."""
        found: set[RowKey] = set()
        for part in await self._store.parts(self._table):
            start = ""
            while True:
                page = await self._store.read(self._table, part, start)
                for row in page.rows:
                    found.add(row.key)
                    self._take(row)
                if not page.has_more:
                    break
                start = page.rows[-1].key.key + "\0"
        return found

    async def _read_changes(self, version: RowVersion) -> RowVersion:
        changes = await self._store.follow(self._table, version, self._wait_s())
        for change in changes.changes:
            match change:
                case Row():
                    self._take(change)
                case RemovedRow():
                    self._drop(change.key)
        return changes.version

    def _take(self, row: Row) -> None:
        if self._known.get(row.key, 0) >= row.version:
            return
        self._known[row.key] = row.version
        self._on_row(row)

    def _drop(self, key: RowKey) -> None:
        if self._known.pop(key, None) is not None:
            self._on_removed(key)

    def _note_success(self) -> None:
        if self._last_read_at is None:
            self._first_read_at = self._clock.monotonic()
        self._last_read_at = self._clock.monotonic()
        if self._lost_since is not None:
            self._regained_at = self._last_read_at
            away_s = round(self._last_read_at - self._lost_since, 3)
            _log.info("store: reads work again", table=self._table, away_s=away_s)
            self._lost_since = None

    def _note_failure(self, error: StoreUnavailableError) -> None:
        if self._lost_since is None:
            self._lost_since = self._clock.monotonic()
            _log.warning(
                "store: reads fail", table=self._table, reason=error.trouble.value
            )

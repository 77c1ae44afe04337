"""Changes that a subscribing host received from its reader.

The reader is the host that reads the store for its data centre. The cache answers a
read of a table's feed only if it has every change since the requested version and the
reader has read the table recently. Otherwise the host reads the store itself.
"""

import asyncio
from collections import deque
from contextlib import suppress

import structlog

from bankrudder.feeds._messages import FeedChanges, FeedHeartbeat, FeedMessage
from bankrudder.store import Changes, RemovedRow, Row, RowKey, RowVersion
from bankrudder.world import Clock

SILENCE_LIMIT_S = 0.7
"""Time without a message after which the reader's data is not used: nearly three
heartbeats. With `MAX_READ_AGE_S` it keeps the delay of a change below the two seconds
within which a configuration must be in force and draining endpoints unused."""

MAX_READ_AGE_S = 1.1
"""Largest age of the reader's last read of a table at which its data is used: the
duration of a held read plus the time to detect a connection that went silent."""

MAX_TABLE_CHANGES = 4096
"""Changes of a table that are kept: several seconds of changes in the largest fleet."""

_log = structlog.get_logger("feeds")


class _TableChanges:
    """All changes of one table after ``base_version`` up to ``version``."""

    def __init__(self, base_version: RowVersion):
        self.base_version = base_version
        self.version = base_version
        self.changes: deque[Row | RemovedRow] = deque()
        self.read_age_s = 0.0
        self.age_noted_at = 0.0

    def since(self, after: RowVersion) -> tuple[Row | RemovedRow, ...]:
        return tuple(change for change in self.changes if change.version > after)


class FeedCache:
    """Holds the changes that one reader sent."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._tables: dict[str, _TableChanges] = {}
        self._rows: dict[RowKey, Row] = {}
        self._last_number: int | None = None
        self._last_message_at: float | None = None
        self._change_events: dict[str, asyncio.Event] = {}

    def clear(self) -> None:
        """Drop the changes of the reader; the known values of rows are kept."""
        self._tables.clear()
        self._last_number = None
        self._last_message_at = None
        self._wake_all_waiters()

    def remember(self, row: Row) -> None:
        """Keep the value of a row that this host read, unless a newer one is known.

        A message about touched rows does not repeat their values.
        """
        known = self._rows.get(row.key)
        if known is None or row.version > known.version:
            self._rows[row.key] = row

    def forget(self, key: RowKey) -> None:
        """Forget the value of a removed row."""
        self._rows.pop(key, None)

    def apply(self, message: FeedMessage) -> None:
        """Apply a message of the reader."""
        if self._last_number is not None and message.number != self._last_number + 1:
            _log.info("feeds: messages lost", reader_number=message.number)
            self._tables.clear()
            self._wake_all_waiters()
        self._last_number = message.number
        self._last_message_at = self._clock.monotonic()
        match message:
            case FeedChanges():
                self._apply_changes(message)
                self._wake_waiters(message.table)
            case FeedHeartbeat(ages=ages):
                for name, read_age_s in ages.items():
                    self._note_age(name, read_age_s)

    async def changes_since(
        self, table: str, after: RowVersion, wait_s: float
    ) -> Changes | None:
        """Return the changes after a version; wait for one for at most `wait_s`.

        Returns None if the cache cannot answer.
        """
        deadline = self._clock.monotonic() + wait_s
        while True:
            table_changes = self._usable_changes(table, after)
            if table_changes is None:
                return None
            left_s = deadline - self._clock.monotonic()
            if table_changes.version > after or left_s <= 0:
                # A read by this host itself may briefly be ahead of the reader.
                return Changes(
                    table_changes.since(after), max(table_changes.version, after)
                )
            change_event = self._change_events.setdefault(table, asyncio.Event())
            with suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, SILENCE_LIMIT_S / 2)):
                    await change_event.wait()

    def _usable_changes(self, table: str, after: RowVersion) -> _TableChanges | None:
        table_changes = self._tables.get(table)
        now = self._clock.monotonic()
        if (
            table_changes is None
            or self._last_message_at is None
            or now - self._last_message_at > SILENCE_LIMIT_S
        ):
            return None
        if table_changes.read_age_s + now - table_changes.age_noted_at > MAX_READ_AGE_S:
            return None
        return table_changes if table_changes.base_version <= after else None

    def _apply_changes(self, message: FeedChanges) -> None:
        table_changes = self._tables.get(message.table)
        if table_changes is None or not message.after <= table_changes.version:
            table_changes = self._tables[message.table] = _TableChanges(message.after)
        self._note_age(message.table, 0.0)
        changes: list[Row | RemovedRow] = []
        for relayed_row in message.rows:
            row = Row(relayed_row.key, relayed_row.version, relayed_row.value)
            self.remember(row)
            changes.append(row)
        for touched_row in message.touched:
            known = self._rows.get(touched_row.key)
            if known is None:
                # The row's value is unknown, so this host must read the store itself.
                self._tables[message.table] = _TableChanges(message.version)
                self._note_age(message.table, 0.0)
                return
            changes.append(Row(touched_row.key, touched_row.version, known.value))
        for removed_row in message.removed:
            self._rows.pop(removed_row.key, None)
            changes.append(RemovedRow(removed_row.key, removed_row.version))
        table_changes.changes.extend(sorted(changes, key=lambda change: change.version))
        table_changes.version = max(table_changes.version, message.version)
        while len(table_changes.changes) > MAX_TABLE_CHANGES:
            table_changes.base_version = table_changes.changes.popleft().version

    def _note_age(self, table: str, read_age_s: float) -> None:
        table_changes = self._tables.get(table)
        if table_changes is not None:
            table_changes.read_age_s = read_age_s
            table_changes.age_noted_at = self._clock.monotonic()

    def _wake_all_waiters(self) -> None:
        for table in list(self._change_events):
            self._wake_waiters(table)

    def _wake_waiters(self, table: str) -> None:
        """Wake the calls that wait for changes of a table."""
        change_event = self._change_events.pop(table, None)
        if change_event is not None:
            change_event.set()

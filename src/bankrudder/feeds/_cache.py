"""What a reader passed on, as a host that subscribes to it holds it.

The cache answers reads of a table's feed only while it surely has every change since
the version that is asked for, and the reader read the table lately. In any other case
the host reads the store itself.
"""

import asyncio
from collections import deque
from contextlib import suppress

import structlog

from bankrudder.feeds._messages import FeedBeat, FeedChanges, FeedMessage
from bankrudder.store import Changes, RemovedRow, Row, RowKey, RowVersion
from bankrudder.world import Clock

SILENCE_S = 0.7
"""A reader that sent nothing for so long is not relied on: nearly three beats. With the
age of its last read it bounds how late a change is seen, below the two seconds in which
a configuration must be in force and a draining endpoint be left."""

MAX_AGE_S = 1.1
"""Oldest read of a table that is relied on: a held read, and the time in which a
connection that fell silent is noticed."""

MAX_CHANGES = 4096
"""Changes of a table that are kept: several seconds of the largest fleet's."""

_log = structlog.get_logger("feeds")


class _Table:
    """One table: complete from ``base`` to ``version``."""

    def __init__(self, base: RowVersion):
        self.base = base
        self.version = base
        self.changes: deque[Row | RemovedRow] = deque()
        self.age_s = 0.0
        self.told_at = 0.0

    def since(self, after: RowVersion) -> tuple[Row | RemovedRow, ...]:
        return tuple(each for each in self.changes if each.version > after)


class FeedCache:
    """Holds what came from one reader."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._tables: dict[str, _Table] = {}
        self._values: dict[RowKey, bytes] = {}
        self._number: int | None = None
        self._heard_at: float | None = None
        self._news: dict[str, asyncio.Event] = {}

    def clear(self) -> None:
        """Forget what came from the reader before; rows read here stay known."""
        self._tables.clear()
        self._number = None
        self._heard_at = None
        self._wake_all()

    def note(self, row: Row) -> None:
        """Remember a row that this host read itself, for touches of it."""
        self._values[row.key] = row.value

    def forget(self, key: RowKey) -> None:
        """Forget a row that is gone."""
        self._values.pop(key, None)

    def take(self, message: FeedMessage) -> None:
        """Take a message of the reader."""
        if self._number is not None and message.number != self._number + 1:
            _log.info("feeds: messages lost", reader_number=message.number)
            self._tables.clear()
            self._wake_all()
        self._number = message.number
        self._heard_at = self._clock.monotonic()
        match message:
            case FeedChanges():
                self._take_changes(message)
                self._wake(message.table)
            case FeedBeat(ages=ages):
                for name, age_s in ages.items():
                    self._note_age(name, age_s)

    async def next(
        self, table: str, after: RowVersion, wait_s: float
    ) -> Changes | None:
        """Return what changed after a version, at the latest after `wait_s`.

        None if the cache cannot tell.
        """
        until = self._clock.monotonic() + wait_s
        while True:
            held = self._current(table, after)
            if held is None:
                return None
            left_s = until - self._clock.monotonic()
            if held.version > after or left_s <= 0:
                # A read of this host's own may be ahead of the reader for a moment.
                return Changes(held.since(after), max(held.version, after))
            news = self._news.setdefault(table, asyncio.Event())
            with suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, SILENCE_S / 2)):
                    await news.wait()

    def _current(self, table: str, after: RowVersion) -> _Table | None:
        held = self._tables.get(table)
        now = self._clock.monotonic()
        if held is None or self._heard_at is None or now - self._heard_at > SILENCE_S:
            return None
        if held.age_s + now - held.told_at > MAX_AGE_S:
            return None
        return held if held.base <= after else None

    def _take_changes(self, message: FeedChanges) -> None:
        held = self._tables.get(message.table)
        if held is None or not message.after <= held.version:
            held = self._tables[message.table] = _Table(message.after)
        self._note_age(message.table, 0.0)
        changes: list[Row | RemovedRow] = []
        for row in message.rows:
            self._values[row.key] = row.value
            changes.append(Row(row.key, row.version, row.value))
        for touch in message.touched:
            value = self._values.get(touch.key)
            if value is None:
                # Its meaning is not known here: this host has to read it itself.
                self._tables[message.table] = _Table(message.version)
                self._note_age(message.table, 0.0)
                return
            changes.append(Row(touch.key, touch.version, value))
        for gone in message.removed:
            self._values.pop(gone.key, None)
            changes.append(RemovedRow(gone.key, gone.version))
        held.changes.extend(sorted(changes, key=lambda each: each.version))
        held.version = max(held.version, message.version)
        while len(held.changes) > MAX_CHANGES:
            held.base = held.changes.popleft().version

    def _note_age(self, table: str, age_s: float) -> None:
        held = self._tables.get(table)
        if held is not None:
            held.age_s = age_s
            held.told_at = self._clock.monotonic()

    def _wake_all(self) -> None:
        for table in list(self._news):
            self._wake(table)

    def _wake(self, table: str) -> None:
        """Wake who waits for news of a table."""
        news = self._news.pop(table, None)
        if news is not None:
            news.set()

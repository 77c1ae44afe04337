"""What a reader passes on: changes that mean something, and that it lives."""

from collections.abc import Callable

from bankrudder.feeds._messages import (
    FeedBeat,
    FeedChanges,
    FeedMessage,
    RelayedRow,
    TouchedRow,
)
from bankrudder.store import Changes, Row, RowKey, RowVersion
from bankrudder.world import Clock


class FeedPublisher:
    """Makes the messages of one reader.

    Parameters
    ----------
    meaning_of : callable
        What a row means, without what changes with each heartbeat.
    heartbeats_matter : callable
        Takes a table; whether rows that mean the same are passed on as touched.
    """

    def __init__(
        self,
        send: Callable[[FeedMessage], None],
        meaning_of: Callable[[Row], bytes],
        heartbeats_matter: Callable[[str], bool],
        clock: Clock,
    ):
        self._send = send
        self._meaning_of = meaning_of
        self._heartbeats_matter = heartbeats_matter
        self._clock = clock
        self._number = 0
        self._meanings: dict[RowKey, bytes] = {}
        self._read_at: dict[str, float] = {}

    def publish(self, table: str, after: RowVersion, changes: Changes) -> None:
        """Pass on what a read of the feed brought."""
        self._read_at[table] = self._clock.monotonic()
        rows: list[RelayedRow] = []
        touched: list[TouchedRow] = []
        removed: list[TouchedRow] = []
        for change in changes.changes:
            if not isinstance(change, Row):
                self._meanings.pop(change.key, None)
                removed.append(TouchedRow(change.key, change.version))
                continue
            meaning = self._meaning_of(change)
            if self._meanings.get(change.key) != meaning:
                self._meanings[change.key] = meaning
                rows.append(RelayedRow(change.key, change.version, change.value))
            elif self._heartbeats_matter(table):
                touched.append(TouchedRow(change.key, change.version))
        self._send(
            FeedChanges(
                self._next_number(),
                table,
                after,
                changes.version,
                tuple(rows),
                tuple(touched),
                tuple(removed),
            )
        )

    def beat(self) -> None:
        """Tell that this reader lives, and how old its reads are."""
        now = self._clock.monotonic()
        ages = {table: round(now - at, 3) for table, at in self._read_at.items()}
        self._send(FeedBeat(self._next_number(), ages))

    def _next_number(self) -> int:
        self._number += 1
        return self._number

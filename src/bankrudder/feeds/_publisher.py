"""Messages that a reader sends: significant changes of rows, and heartbeats."""

from collections.abc import Callable

from bankrudder.feeds._messages import (
    FeedChanges,
    FeedHeartbeat,
    FeedMessage,
    RelayedRow,
    RowReference,
)
from bankrudder.store import Changes, Row, RowKey, RowVersion
from bankrudder.world import Clock


class FeedPublisher:
    """Creates and sends the messages of one reader.

    Parameters
    ----------
    significant_content : callable
        Returns the content of a row without the fields that every heartbeat changes.
    reports_touched_rows : callable
        Whether, for a table, rows with unchanged content are sent as touched.
    """

    def __init__(
        self,
        send: Callable[[FeedMessage], None],
        significant_content: Callable[[Row], bytes],
        reports_touched_rows: Callable[[str], bool],
        clock: Clock,
    ):
        self._send = send
        self._significant_content = significant_content
        self._reports_touched_rows = reports_touched_rows
        self._clock = clock
        self._last_number = 0
        self._contents: dict[RowKey, bytes] = {}
        self._last_read_at: dict[str, float] = {}

    def publish(self, table: str, after: RowVersion, changes: Changes) -> None:
        """Send the result of a read of the feed."""
        self._last_read_at[table] = self._clock.monotonic()
        rows: list[RelayedRow] = []
        touched: list[RowReference] = []
        removed: list[RowReference] = []
        for change in changes.changes:
            if not isinstance(change, Row):
                self._contents.pop(change.key, None)
                removed.append(RowReference(change.key, change.version))
                continue
            content = self._significant_content(change)
            if self._contents.get(change.key) != content:
                self._contents[change.key] = content
                rows.append(RelayedRow(change.key, change.version, change.value))
            elif self._reports_touched_rows(table):
                touched.append(RowReference(change.key, change.version))
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

    def send_heartbeat(self) -> None:
        """Send a sign of life, with the ages of the last reads."""
        now = self._clock.monotonic()
        ages = {table: round(now - at, 3) for table, at in self._last_read_at.items()}
        self._send(FeedHeartbeat(self._next_number(), ages))

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

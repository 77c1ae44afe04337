"""A store wrapper that measures the duration and outcome of each call."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from bankrudder.store._errors import HistoryLostError, StoreUnavailableError
from bankrudder.store._port import Store
from bankrudder.store._values import (
    Changes,
    CommitOutcome,
    Committed,
    CommitUnknown,
    Conflict,
    NotCommitted,
    Page,
    RowVersion,
    Transaction,
)
from bankrudder.world import Clock

Result = TypeVar("Result")

RecordCall = Callable[[str, str, float], None]
"""Takes the name of a call, its outcome, and its duration in seconds."""


class MeasuredStore:
    """Forwards all calls to `store` and reports each to `record`."""

    def __init__(self, store: Store, clock: Clock, record: RecordCall):
        self._store = store
        self._clock = clock
        self._record = record

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction."""
        return await self._timed("commit", self._store.commit(transaction))

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows of one part."""
        return await self._timed(
            "read", self._store.read(table, part, start, end, limit)
        )

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self._timed("parts", self._store.parts(table))

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return what changed after a version."""
        return await self._timed("follow", self._store.follow(table, after, wait_s))

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write an object."""
        return await self._timed("put_object", self._store.put_object(name, body))

    async def get_object(self, name: str) -> bytes | None:
        """Return an object."""
        return await self._timed("get_object", self._store.get_object(name))

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object."""
        return await self._timed("drop_object", self._store.drop_object(name))

    async def _timed(self, call: str, result: Awaitable[Result]) -> Result:
        began = self._clock.monotonic()
        outcome = "cancelled"
        try:
            value = await result
            outcome = _outcome(value)
            return value
        except StoreUnavailableError as error:
            outcome = error.error_kind.value
            raise
        except HistoryLostError:
            outcome = "history_lost"
            raise
        finally:
            self._record(call, outcome, self._clock.monotonic() - began)


def _outcome(value: object) -> str:
    match value:
        case Conflict():
            return "conflict"
        case NotCommitted():
            return "not_done"
        case CommitUnknown():
            return "unknown"
        case Committed():
            return "done"
        case _:
            return "read"

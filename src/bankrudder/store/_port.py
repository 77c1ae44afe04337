"""The store as the rest of the project uses it."""

from typing import Protocol

from bankrudder.store._values import (
    Changes,
    CommitOutcome,
    Page,
    RowVersion,
    Transaction,
)


class Store(Protocol):
    """Linearizable rows, a feed of changes, and objects.

    Each read raises `StoreUnavailableError` if there is no result. Nothing is
    retried here: whoever calls decides that.
    """

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if all of its expectations hold."""
        ...

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows with ``start <= key < end``; an empty bound is none."""
        ...

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table that hold rows."""
        ...

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return what changed after a version, at the latest after `wait_s`.

        Raises
        ------
        HistoryLostError
            If the changes since then are no longer kept.
        """
        ...

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write an object that does not exist yet; `Conflict` if it does."""
        ...

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        ...

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object, also one that does not exist."""
        ...

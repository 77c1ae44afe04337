"""The store interface that the other packages depend on."""

from typing import Protocol

from bankrudder.store._values import (
    Changes,
    CommitOutcome,
    Page,
    RowVersion,
    Transaction,
)


class Store(Protocol):
    """Linearizable rows, a change feed, and objects.

    Each read raises `StoreUnavailableError` if there is no result. No call is retried;
    retries are up to the caller.
    """

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if all of its expectations hold."""
        ...

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows with ``start <= key < end``; an empty bound means no bound."""
        ...

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table that hold rows."""
        ...

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return the changes after a version; wait for one for at most `wait_s`.

        Raises
        ------
        HistoryLostError
            If the store no longer keeps all changes after that version.
        """
        ...

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write a new object; return `Conflict` if it exists."""
        ...

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        ...

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object; succeeds if it does not exist."""
        ...

"""The store of a host in a large fleet, which gets changes by way of a reader."""

from enum import Enum

import structlog

from bankrudder.feeds._cache import FeedCache
from bankrudder.feeds._publisher import FeedPublisher
from bankrudder.store import (
    Changes,
    CommitOutcome,
    Page,
    Row,
    RowVersion,
    Store,
    Transaction,
)

READER_WAIT_S = 0.4
"""Time for which the store may hold a reader's read. Together with the time to detect a
silent connection this is one second; then the subscribers read the store themselves."""

_log = structlog.get_logger("feeds")


class FeedRole(Enum):
    """How this host receives changes."""

    DIRECT = "direct"
    READER = "reader"
    """The host reads the store and sends changes to its subscribers."""

    SUBSCRIBER = "subscriber"


class RelayedStore:
    """A store whose feeds may come from the reader of this data centre.

    All other calls, and reads of feeds that the cache cannot answer, go to the store
    itself.
    """

    def __init__(self, store: Store, cache: FeedCache):
        self._store = store
        self._cache = cache
        self._role = FeedRole.DIRECT
        self._publisher: FeedPublisher | None = None

    @property
    def role(self) -> FeedRole:
        """How this host receives changes."""
        return self._role

    def set_role(self, role: FeedRole, publisher: FeedPublisher | None = None) -> None:
        """Set the role; a reader also gets its publisher."""
        if role is not self._role:
            _log.info("feeds: role taken", role=role.value, before=self._role.value)
        self._role = role
        self._publisher = publisher

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return the changes after a version; wait for one for at most `wait_s`."""
        if self._role is FeedRole.SUBSCRIBER:
            relayed = await self._cache.changes_since(table, after, wait_s)
            if relayed is not None:
                return relayed
        if self._role is FeedRole.READER:
            wait_s = min(wait_s, READER_WAIT_S)
        changes = await self._store.follow(table, after, wait_s)
        self._remember_changes(changes)
        if self._publisher is not None:
            self._publisher.publish(table, after, changes)
        return changes

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows with ``start <= key < end``; an empty bound means no bound."""
        page = await self._store.read(table, part, start, end, limit)
        if self._role is not FeedRole.DIRECT:
            for row in page.rows:
                self._cache.remember(row)
        return page

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if all of its expectations hold."""
        return await self._store.commit(transaction)

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table that hold rows."""
        return await self._store.parts(table)

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write a new object; return `Conflict` if it exists."""
        return await self._store.put_object(name, body)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        return await self._store.get_object(name)

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object; succeeds if it does not exist."""
        return await self._store.drop_object(name)

    def _remember_changes(self, changes: Changes) -> None:
        if self._role is FeedRole.DIRECT:
            return
        for change in changes.changes:
            if isinstance(change, Row):
                self._cache.remember(change)
            else:
                self._cache.forget(change.key)

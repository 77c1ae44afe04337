"""The store as a host of a large fleet uses it: feeds by way of a reader."""

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
"""Time for which the store may hold a reader's read: with the time in which a silent
connection is noticed, a second after which its subscribers read by themselves."""

_log = structlog.get_logger("feeds")


class FeedRole(Enum):
    """How this host learns of changes."""

    DIRECT = "direct"
    READER = "reader"
    """It reads the store and passes changes on."""

    SUBSCRIBER = "subscriber"


class RelayedStore:
    """A store whose feeds may come from a reader of this data centre.

    All other calls, and reads of feeds that the reader cannot answer now, go to the
    store itself.
    """

    def __init__(self, store: Store, cache: FeedCache):
        self._store = store
        self._cache = cache
        self._role = FeedRole.DIRECT
        self._publisher: FeedPublisher | None = None

    @property
    def role(self) -> FeedRole:
        """How this host learns of changes."""
        return self._role

    def become(self, role: FeedRole, publisher: FeedPublisher | None = None) -> None:
        """Take another role."""
        if role is not self._role:
            _log.info("feeds: role taken", role=role.value, before=self._role.value)
        self._role = role
        self._publisher = publisher

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return what changed after a version, at the latest after `wait_s`."""
        if self._role is FeedRole.SUBSCRIBER:
            relayed = await self._cache.next(table, after, wait_s)
            if relayed is not None:
                return relayed
        if self._role is FeedRole.READER:
            wait_s = min(wait_s, READER_WAIT_S)
        changes = await self._store.follow(table, after, wait_s)
        self._note(changes)
        if self._publisher is not None:
            self._publisher.publish(table, after, changes)
        return changes

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows with ``start <= key < end``; an empty bound is none."""
        page = await self._store.read(table, part, start, end, limit)
        if self._role is not FeedRole.DIRECT:
            for row in page.rows:
                self._cache.note(row)
        return page

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if all of its expectations hold."""
        return await self._store.commit(transaction)

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table that hold rows."""
        return await self._store.parts(table)

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write an object that does not exist yet; `Conflict` if it does."""
        return await self._store.put_object(name, body)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        return await self._store.get_object(name)

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object, also one that does not exist."""
        return await self._store.drop_object(name)

    def _note(self, changes: Changes) -> None:
        if self._role is FeedRole.DIRECT:
            return
        for change in changes.changes:
            if isinstance(change, Row):
                self._cache.note(change)
            else:
                self._cache.forget(change.key)

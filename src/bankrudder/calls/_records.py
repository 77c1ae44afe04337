"""Records of keys in the store, which let a request run at most once.

A record lies in table ``calls``, in a part of its own. It is begun under the condition
that there is none, before the request is sent; whoever finds one does not send. Only
the attempt that began it changes it, under the condition that it did not change.
"""

from collections.abc import Callable

import msgspec
import structlog

from bankrudder.calls._values import CallRecord
from bankrudder.store import (
    ABSENT,
    Committed,
    Conflict,
    Expectation,
    NotCommitted,
    Put,
    RowKey,
    RowVersion,
    Store,
    StoreUnavailableError,
    Transaction,
    commit_settled,
)
from bankrudder.world import Clock

CALLS_TABLE = "calls"

MAX_INLINE_BYTES = 32_000
"""Longer answers go to an object: a row holds 64 KB at most."""

FINISH_GIVE_UP_S = 1.0
"""Time for which the end of a record is tried again: an answer that is there is not
held back for longer."""

_RECORD_KEY = "record"

_log = structlog.get_logger("calls")


class Kept(msgspec.Struct, frozen=True):
    """A record that is there; ``is_ours`` tells whether this attempt began it."""

    record: CallRecord
    version: RowVersion
    is_ours: bool


class CallRecords:
    """Reads and writes records; decides nothing."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    async def begin(self, name: str, record: CallRecord, give_up_s: float) -> Kept:
        """Begin a record, or return the one that is there.

        Parameters
        ----------
        give_up_s : float
            Seconds after which it is not tried again.

        Raises
        ------
        StoreUnavailableError
            If none was begun and none will be.
        NotSettledError
            If that is not known.
        """
        value = msgspec.msgpack.encode(record)
        transaction = Transaction(
            (Expectation(_key(name), ABSENT),), (Put(_key(name), value),)
        )
        outcome = await commit_settled(
            self._store,
            transaction,
            _wrote(value),
            self._clock,
            give_up_s,
        )
        match outcome:
            case Committed(version=version):
                return Kept(record, version, True)
            case Conflict(rows=(row, *_)):
                kept = msgspec.msgpack.decode(row.value, type=CallRecord)
                return Kept(kept, row.version, False)
            case Conflict():
                # It was withdrawn while this was on its way.
                return await self.begin(name, record, give_up_s)
            case NotCommitted(trouble=trouble):
                raise StoreUnavailableError(trouble)

    async def read(self, name: str) -> Kept | None:
        """Return a record, None if there is none.

        Raises
        ------
        StoreUnavailableError
            If that cannot be told now.
        """
        page = await self._store.read(CALLS_TABLE, name)
        if not page.rows:
            return None
        row = page.rows[0]
        record = msgspec.msgpack.decode(row.value, type=CallRecord)
        return Kept(record, row.version, False)

    async def finish(self, name: str, version: RowVersion, record: CallRecord) -> None:
        """Keep what became of a key.

        Raises
        ------
        StoreUnavailableError, NotSettledError
            If it is not kept, or perhaps.
        """
        record = await self._with_long_body_outside(name, record)
        value = msgspec.msgpack.encode(record)
        transaction = Transaction(
            (Expectation(_key(name), version),), (Put(_key(name), value),)
        )
        outcome = await commit_settled(
            self._store, transaction, _wrote(value), self._clock, FINISH_GIVE_UP_S
        )
        match outcome:
            case NotCommitted(trouble=trouble):
                raise StoreUnavailableError(trouble)
            case Conflict():
                _log.error("calls: record changed by another", record=name)

    async def withdraw(self, name: str, version: RowVersion) -> None:
        """Remove a record whose request surely did not run.

        Raises
        ------
        StoreUnavailableError, NotSettledError
            If it is still there, or perhaps.
        """
        transaction = Transaction(
            (Expectation(_key(name), version),), (), (_key(name),)
        )
        outcome = await commit_settled(
            self._store, transaction, lambda _: False, self._clock, FINISH_GIVE_UP_S
        )
        if isinstance(outcome, NotCommitted):
            raise StoreUnavailableError(outcome.trouble)

    async def body_of(self, record: CallRecord) -> bytes | None:
        """Return the recorded answer, None if it is no longer kept."""
        if not record.object_name:
            return record.body
        return await self._store.get_object(record.object_name)

    async def names(self) -> tuple[str, ...]:
        """Return the names of all records."""
        return await self._store.parts(CALLS_TABLE)

    async def forget(self, name: str) -> None:
        """Remove a record and its answer, whatever they are."""
        kept = await self.read(name)
        if kept is None:
            return
        if kept.record.object_name:
            await self._store.drop_object(kept.record.object_name)
        await self._store.commit(Transaction(removals=(_key(name),)))

    async def _with_long_body_outside(
        self, name: str, record: CallRecord
    ) -> CallRecord:
        if len(record.body) <= MAX_INLINE_BYTES:
            return record
        object_name = f"call-{name}-{record.attempt}"
        outcome = await self._store.put_object(object_name, record.body)
        if not isinstance(outcome, Committed | Conflict):
            raise StoreUnavailableError(outcome.trouble)
        return msgspec.structs.replace(record, body=b"", object_name=object_name)


def _key(name: str) -> RowKey:
    return RowKey(CALLS_TABLE, name, _RECORD_KEY)


def _wrote(value: bytes) -> Callable[[Conflict], bool]:
    """Return what tells whether a conflict shows this very write: it is unique."""
    return lambda conflict: conflict.holds(value)

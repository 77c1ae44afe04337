"""Records of idempotency keys in the store, which let a request run at most once.

Each record is a row in its own part of table ``calls``. It is created before the
request is sent, on the condition that there is none; an attempt that finds a record
does not send. Only the attempt that created a record changes it, on the condition that
the row version is unchanged.
"""

from collections.abc import Callable

import msgspec
import structlog

from bankrudder.calls._values import CallRecord
from bankrudder.decoding import decode_msgpack
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
    UnreadableRowError,
    commit_settled,
    decoding_row,
)
from bankrudder.world import Clock

CALLS_TABLE = "calls"

MAX_INLINE_BYTES = 32_000
"""Longest answer that is stored in the row, which holds 64 KB at most; longer answers
are stored as objects."""

FINISH_TIMEOUT_S = 1.0
"""Time limit for retries of a record's last write: an available answer is not delayed
for longer."""

_RECORD_KEY = "record"

_log = structlog.get_logger("calls")


class StoredRecord(msgspec.Struct, frozen=True):
    """A record in the store; ``is_ours`` tells whether this attempt created it."""

    record: CallRecord
    version: RowVersion
    is_ours: bool


class CallRecords:
    """Reads and writes call records."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    async def begin(
        self, name: str, record: CallRecord, retry_limit_s: float
    ) -> StoredRecord:
        """Create a record, or return the existing one.

        Parameters
        ----------
        retry_limit_s : float
            Time after which a failed write is not retried.

        Raises
        ------
        StoreUnavailableError
            If the record was not created and will not be.
        NotSettledError
            If it is unknown whether the record was created.
        """
        value = msgspec.msgpack.encode(record)
        transaction = Transaction(
            (Expectation(_key(name), ABSENT),), (Put(_key(name), value),)
        )
        outcome = await commit_settled(
            self._store,
            transaction,
            _is_own_write(value),
            self._clock,
            retry_limit_s,
        )
        match outcome:
            case Committed(version=version):
                return StoredRecord(record, version, True)
            case Conflict(rows=(row, *_)):
                with decoding_row(row.key):
                    stored = decode_msgpack(row.value, CallRecord)
                return StoredRecord(stored, row.version, False)
            case Conflict():
                # The existing record was withdrawn during this commit.
                return await self.begin(name, record, retry_limit_s)
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)

    async def read(self, name: str) -> StoredRecord | None:
        """Return a record, None if there is none.

        Raises
        ------
        StoreUnavailableError
            If the store cannot be read now.
        """
        page = await self._store.read(
            CALLS_TABLE, name, _RECORD_KEY, _RECORD_KEY + "\0"
        )
        if not page.rows:
            return None
        row = page.rows[0]
        with decoding_row(row.key):
            record = decode_msgpack(row.value, CallRecord)
        return StoredRecord(record, row.version, False)

    async def finish(self, name: str, version: RowVersion, record: CallRecord) -> None:
        """Record the outcome of a request.

        Raises
        ------
        StoreUnavailableError, NotSettledError
            If the outcome was not recorded, or if that is unknown.
        """
        record = await self._move_long_body_to_object(name, record)
        value = msgspec.msgpack.encode(record)
        transaction = Transaction(
            (Expectation(_key(name), version),), (Put(_key(name), value),)
        )
        outcome = await commit_settled(
            self._store,
            transaction,
            _is_own_write(value),
            self._clock,
            FINISH_TIMEOUT_S,
        )
        match outcome:
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)
            case Conflict():
                _log.error("calls: record changed by another writer", record=name)

    async def withdraw(self, name: str, version: RowVersion) -> None:
        """Remove a record whose request certainly did not run.

        Raises
        ------
        StoreUnavailableError, NotSettledError
            If the record was not removed, or if that is unknown.
        """
        transaction = Transaction(
            (Expectation(_key(name), version),), (), (_key(name),)
        )
        outcome = await commit_settled(
            self._store, transaction, lambda _: False, self._clock, FINISH_TIMEOUT_S
        )
        if isinstance(outcome, NotCommitted):
            raise StoreUnavailableError(outcome.error_kind)

    async def body_of(self, record: CallRecord) -> bytes | None:
        """Return the recorded answer, None if it is no longer stored."""
        if not record.object_name:
            return record.body
        return await self._store.get_object(record.object_name)

    async def names(self) -> tuple[str, ...]:
        """Return the names of all records."""
        return await self._store.parts(CALLS_TABLE)

    async def delete(self, name: str) -> None:
        """Remove a record and its answer unconditionally."""
        try:
            stored = await self.read(name)
        except UnreadableRowError:
            stored = None  # it names no answer that could be removed
        else:
            if stored is None:
                return
        if stored is not None and stored.record.object_name:
            await self._store.drop_object(stored.record.object_name)
        await self._store.commit(Transaction(removals=(_key(name),)))

    async def _move_long_body_to_object(
        self, name: str, record: CallRecord
    ) -> CallRecord:
        if len(record.body) <= MAX_INLINE_BYTES:
            return record
        object_name = f"call-{name}-{record.attempt}"
        outcome = await self._store.put_object(object_name, record.body)
        if not isinstance(outcome, Committed | Conflict):
            raise StoreUnavailableError(outcome.error_kind)
        return msgspec.structs.replace(record, body=b"", object_name=object_name)


def _key(name: str) -> RowKey:
    return RowKey(CALLS_TABLE, name, _RECORD_KEY)


def _is_own_write(value: bytes) -> Callable[[Conflict], bool]:
    """Return a check whether a conflict comes from this write: its value is unique."""
    return lambda conflict: conflict.holds(value)

"""Storage of batches.

In each table the rows of a batch are in the part named by its identifier:

- ``owners``: the row ``owner`` names the host that works on the batch, and is removed
  when the batch is ended. Its version is the fencing token: each write by the owner
  requires it.
- ``batches``: the row ``head``, and the samples in rows ``samples/N`` or in an object.
- ``results``: the listed results, with keys that begin with the position of a result. A
  result that is too large for one row is split into several.
"""

import hashlib
from collections.abc import Iterable, Sequence

import msgspec
import structlog

from bankrudder.batches._values import (
    Batch,
    BatchHead,
    BatchId,
    Owner,
    SampleResult,
)
from bankrudder.decoding import decode_json, decode_msgpack
from bankrudder.store import (
    ABSENT,
    Committed,
    Conflict,
    Expectation,
    NotCommitted,
    NotSettledError,
    Put,
    Row,
    RowKey,
    RowVersion,
    Store,
    StoreErrorKind,
    StoreUnavailableError,
    Transaction,
    UnreadableRowError,
    commit_settled,
    decoding_row,
    read_all,
    remove_all,
)
from bankrudder.world import Clock

OWNERS_TABLE = "owners"
BATCHES_TABLE = "batches"
RESULTS_TABLE = "results"

MAX_INLINE_BYTES = 500_000
"""Size above which the samples are stored as an object: a transaction holds at most
1 MB, and base64 adds a third."""

MAX_TRANSACTION_BYTES = 600_000
"""Largest total size of the values in a transaction: base64 adds a third, and the store
accepts 1 MB."""

ROW_MARGIN_BYTES = 1024
"""Margin by which values stay below the store's largest row."""

WRITE_TIMEOUT_S = 2.5
"""Time for which a write is tried again; less than a caller waits for the acceptance
or the end of a batch."""

REFUSED_WRITE_TIMEOUT_S = 0.4
"""Time for which an acceptance is tried again if it was certainly not carried out, as
this host cannot reach the store. The trainer's step waits for the acceptance, and
another host may reach the store. Each try itself waits for an outage of the store to
end."""

_HEAD_KEY = "head"
_OWNER_KEY = "owner"

_log = structlog.get_logger("batches")


class AcceptOutcome(msgspec.Struct, frozen=True):
    """A batch of the given identifier is stored.

    Attributes
    ----------
    fence : RowVersion
        Fencing token of the owner; 0 if the batch had been accepted before.
    is_same : bool
        Whether the stored batch has the same content.
    """

    fence: RowVersion
    is_same: bool = True


class UnknownBatchError(Exception):
    """The store holds no batch of that identifier, or not its samples."""


class BatchRepository:
    """Reads and writes batches."""

    def __init__(self, store: Store, clock: Clock, row_bytes: int):
        self._store = store
        self._clock = clock
        self._max_value_bytes = row_bytes - ROW_MARGIN_BYTES

    async def accept(self, batch: Batch, owner: Owner) -> AcceptOutcome:
        """Store a batch unless one of its identifier is stored already.

        Raises
        ------
        StoreUnavailableError
            If the batch is not stored and will not be.
        NotSettledError
            If it is not known whether the batch is stored.
        """
        body = msgspec.msgpack.encode(batch)
        digest = _digest(batch, body)
        chunks = self._split_rows(body) if len(body) <= MAX_INLINE_BYTES else []
        if not chunks:
            await self._put_object(batch.id, digest, body)
        head = BatchHead(digest, len(batch.samples), len(chunks), batch.workspace)
        transaction = Transaction(
            expectations=(Expectation(_head_key(batch.id), ABSENT),),
            puts=(
                Put(_head_key(batch.id), msgspec.json.encode(head)),
                Put(owner_key(batch.id), msgspec.json.encode(owner)),
                *(
                    Put(RowKey(BATCHES_TABLE, batch.id, f"samples/{number:04d}"), chunk)
                    for number, chunk in enumerate(chunks)
                ),
            ),
        )
        outcome = await commit_settled(
            self._store,
            transaction,
            # A conflict needs no check of who wrote: the batch is stored.
            lambda _: False,
            self._clock,
            WRITE_TIMEOUT_S,
            REFUSED_WRITE_TIMEOUT_S,
        )
        match outcome:
            case Committed(version=version):
                return AcceptOutcome(version)
            case Conflict(rows=(row, *_)):
                try:
                    with decoding_row(row.key):
                        stored_head = decode_json(row.value, BatchHead)
                except UnreadableRowError:
                    raise NotSettledError from None
                return AcceptOutcome(ABSENT, stored_head.digest == digest)
            case Conflict():
                raise NotSettledError
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)

    async def head(self, batch_id: BatchId) -> BatchHead | None:
        """Return the head of a batch, None if there is no such batch."""
        page = await self._store.read(
            BATCHES_TABLE, batch_id, _HEAD_KEY, _HEAD_KEY + "\0"
        )
        if not page.rows:
            return None
        row = page.rows[0]
        with decoding_row(row.key):
            return decode_json(row.value, BatchHead)

    async def load(self, batch_id: BatchId) -> Batch:
        """Return a batch with its samples.

        Raises
        ------
        UnknownBatchError
            If it or its samples are not stored.
        UnreadableRowError
            If one of its rows is not what was stored.
        """
        rows = await read_all(self._store, BATCHES_TABLE, batch_id)
        by_key = {row.key.key: row.value for row in rows}
        if _HEAD_KEY not in by_key:
            raise UnknownBatchError(batch_id)
        with decoding_row(_head_key(batch_id)):
            head = decode_json(by_key[_HEAD_KEY], BatchHead)
        if head.chunks:
            keys = [f"samples/{number:04d}" for number in range(head.chunks)]
            if not by_key.keys() >= set(keys):
                raise UnknownBatchError(batch_id)
            body = b"".join(by_key[key] for key in keys)
        else:
            found = await self._store.get_object(_object_name(batch_id, head.digest))
            if found is None:
                raise UnknownBatchError(batch_id)
            body = found
        with decoding_row(RowKey(BATCHES_TABLE, batch_id, "samples")):
            return decode_msgpack(body, Batch)

    async def owner(self, batch_id: BatchId) -> Row | None:
        """Return the owner row of a batch, None if the batch is not open."""
        page = await self._store.read(
            OWNERS_TABLE, batch_id, _OWNER_KEY, _OWNER_KEY + "\0"
        )
        return page.rows[0] if page.rows else None

    async def set_owner(
        self, batch_id: BatchId, expected_version: RowVersion, owner: Owner
    ) -> RowVersion | None:
        """Change the owner of a batch.

        Returns
        -------
        RowVersion or None
            The new fencing token; None if the owner row has another version than
            `expected_version`.
        """
        value = msgspec.json.encode(owner)
        key = owner_key(batch_id)
        transaction = Transaction(
            (Expectation(key, expected_version),), (Put(key, value),)
        )
        outcome = await commit_settled(
            self._store,
            transaction,
            lambda conflict: conflict.holds(value),
            self._clock,
            WRITE_TIMEOUT_S,
        )
        match outcome:
            case Committed(version=version):
                return version
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)
            case _:
                return None

    async def add_results(
        self,
        batch_id: BatchId,
        fence: RowVersion,
        first: int,
        results: Sequence[SampleResult],
    ) -> bool:
        """Store results from a position on, where readers find them.

        Returns
        -------
        bool
            False if another owner took over or the batch was ended.

        Raises
        ------
        StoreUnavailableError
            If the results are not stored.
        NotSettledError
            If it is not known whether they are. The same call may be repeated.
        """
        puts = tuple(
            put
            for number, result in enumerate(results)
            for put in self._result_puts(batch_id, first + number, result)
        )
        transaction = Transaction((Expectation(owner_key(batch_id), fence),), puts)
        # The transaction is idempotent and requires the owner row only, so a conflict
        # always means that another owner took over or that the batch was ended.
        outcome = await commit_settled(
            self._store, transaction, lambda _: False, self._clock, WRITE_TIMEOUT_S
        )
        match outcome:
            case Committed():
                return True
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)
            case _:
                return False

    async def results(
        self, batch_id: BatchId, after: int, limit: int = 500
    ) -> tuple[SampleResult, ...]:
        """Return results from a position on, as many as one read returns.

        Results after a missing one are left out: they are not at the next position.
        """
        page = await self._store.read(
            RESULTS_TABLE, batch_id, f"{after:08d}", "", limit
        )
        return _decode_results(page.rows, after)

    async def all_results(self, batch_id: BatchId) -> tuple[SampleResult, ...]:
        """Return all results of a batch."""
        rows = await read_all(self._store, RESULTS_TABLE, batch_id)
        return _decode_results(rows, 0)

    async def end(self, batch_id: BatchId) -> bool:
        """End a batch; return whether there is such a batch.

        Raises
        ------
        StoreUnavailableError, NotSettledError
            If the batch is not ended, or it is not known whether it is.
        """
        while True:
            row = await self.owner(batch_id)
            if row is None:
                return await self.head(batch_id) is not None
            transaction = Transaction(
                (Expectation(row.key, row.version),), (), (row.key,)
            )
            outcome = await commit_settled(
                self._store, transaction, lambda _: False, self._clock, WRITE_TIMEOUT_S
            )
            match outcome:
                case Committed():
                    return True
                case NotCommitted(error_kind=error_kind):
                    raise StoreUnavailableError(error_kind)
                case Conflict():
                    continue  # the owner changed, or the reply to a try was lost

    async def delete(self, batch_id: BatchId) -> None:
        """Remove the results, the samples and the head of an ended batch."""
        try:
            head = await self.head(batch_id)
        except UnreadableRowError:
            head = None  # it names no object that could be removed
        if head is not None and not head.chunks:
            await self._store.drop_object(_object_name(batch_id, head.digest))
        for table in (RESULTS_TABLE, BATCHES_TABLE):
            rows = await read_all(self._store, table, batch_id)
            await remove_all(self._store, [row.key for row in rows])

    async def _put_object(self, batch_id: BatchId, digest: str, body: bytes) -> None:
        outcome = await self._store.put_object(_object_name(batch_id, digest), body)
        match outcome:
            case Committed() | Conflict():
                return  # the name contains the digest: a present object is the same
            case _:
                raise StoreUnavailableError(outcome.error_kind)

    def _result_puts(
        self, batch_id: BatchId, position: int, result: SampleResult
    ) -> Iterable[Put]:
        chunks = self._split_rows(msgspec.msgpack.encode(result))
        last = len(chunks) - 1
        for number, chunk in enumerate(chunks):
            # The suffix tells a reader whether another row of this result follows.
            suffix = "+" if number < last else "."
            key = _result_key(position, number) + suffix
            yield Put(RowKey(RESULTS_TABLE, batch_id, key), chunk)

    def _split_rows(self, body: bytes) -> list[bytes]:
        size = self._max_value_bytes
        return [body[start : start + size] for start in range(0, len(body), size)]


def owner_key(batch_id: BatchId) -> RowKey:
    """Return the key of the row that names a batch's owner."""
    return RowKey(OWNERS_TABLE, batch_id, _OWNER_KEY)


def _digest(batch: Batch, encoded: bytes) -> str:
    """Return the digest of a batch without its trace, which a resend changes."""
    if batch.trace:
        encoded = msgspec.msgpack.encode(msgspec.structs.replace(batch, trace=""))
    return hashlib.sha256(encoded).hexdigest()


def _head_key(batch_id: BatchId) -> RowKey:
    return RowKey(BATCHES_TABLE, batch_id, _HEAD_KEY)


def _object_name(batch_id: BatchId, digest: str) -> str:
    return f"{batch_id}-{digest[:16]}"


def _result_key(position: int, number: int) -> str:
    """Return the key of a result's row, without the suffix."""
    return f"{position:08d}/{number:04d}"


def _decode_results(rows: Iterable[Row], first: int) -> tuple[SampleResult, ...]:
    """Return the results from position `first` on, up to the first missing row."""
    results: list[SampleResult] = []
    chunks: list[bytes] = []
    for row in rows:
        if row.key.key[:-1] != _result_key(first + len(results), len(chunks)):
            break
        chunks.append(row.value)
        if row.key.key.endswith("."):
            body = b"".join(chunks)
            with decoding_row(row.key):
                results.append(decode_msgpack(body, SampleResult))
            chunks = []
    return tuple(results)


def store_failure_reason(error: StoreUnavailableError | NotSettledError) -> str:
    """Return why a call to the store failed, for a log line."""
    match error:
        case StoreUnavailableError(error_kind=error_kind):
            return error_kind.value
        case _:
            return StoreErrorKind.NO_REPLY.value

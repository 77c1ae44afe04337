"""Batches in the store.

Rows of a batch share one part, named by its identifier:

- ``owners``: ``owner`` names who works on it. It goes when the batch is ended. Its
  version is the fencing token: each write of an owner requires it.
- ``batches``: ``head``, and the samples in rows ``samples/N`` or in an object.
- ``results``: one row for each result, named by its position.

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
    commit_settled,
    read_all,
    remove_all,
)
from bankrudder.world import Clock

OWNERS_TABLE = "owners"
BATCHES_TABLE = "batches"
RESULTS_TABLE = "results"

MAX_INLINE_BYTES = 500_000
"""Samples that are larger go to an object: a transaction holds at most 1 MB, and
base64 adds a third."""

MAX_TRANSACTION_BYTES = 600_000
"""Bytes of one transaction at most, below the store's bound."""

ROW_MARGIN_BYTES = 1024
"""How far rows stay below the largest that the store takes."""

WRITE_GIVE_UP_S = 2.5
"""Time for which an acceptance or an end is tried again: within the time that a
caller waits for it."""

REFUSED_GIVE_UP_S = 0.4
"""The same for an acceptance that surely was not carried out, as the store is away for
this host: another one may be served, and the step of a trainer waits for it. A try
waits for the store's return by itself."""

_HEAD_KEY = "head"
_OWNER_KEY = "owner"

_log = structlog.get_logger("batches")


class AcceptOutcome(msgspec.Struct, frozen=True):
    """A batch is kept.

    ``fence`` is 0 if it had been accepted before, and ``is_same`` tells whether
    that was a batch with the same samples.
    """

    fence: RowVersion
    is_same: bool = True


class UnknownBatchError(Exception):
    """No batch of that name is kept."""


class BatchRepository:
    """Reads and writes batches; decides nothing."""

    def __init__(self, store: Store, clock: Clock, row_bytes: int):
        self._store = store
        self._clock = clock
        self._row_bytes = row_bytes - ROW_MARGIN_BYTES

    async def accept(self, batch: Batch, owner: Owner) -> AcceptOutcome:
        """Keep a batch, once.

        Raises
        ------
        StoreUnavailableError
            If nothing was kept and nothing will be.
        NotSettledError
            If that is not known.
        """
        body = msgspec.msgpack.encode(batch)
        digest = _digest(batch)
        chunks = self._split(body) if len(body) <= MAX_INLINE_BYTES else []
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
            lambda _: False,  # whose write it was does not matter: the batch is kept
            self._clock,
            WRITE_GIVE_UP_S,
            REFUSED_GIVE_UP_S,
        )
        match outcome:
            case Committed(version=version):
                return AcceptOutcome(version)
            case Conflict(rows=(row, *_)):
                kept = msgspec.json.decode(row.value, type=BatchHead)
                return AcceptOutcome(ABSENT, kept.digest == digest)
            case Conflict():
                raise NotSettledError
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)

    async def head(self, batch_id: BatchId) -> BatchHead | None:
        """Return what is kept about a batch, None if there is none."""
        page = await self._store.read(
            BATCHES_TABLE, batch_id, _HEAD_KEY, _HEAD_KEY + "\0"
        )
        if not page.rows:
            return None
        return msgspec.json.decode(page.rows[0].value, type=BatchHead)

    async def load(self, batch_id: BatchId) -> Batch:
        """Return a whole batch; raises `UnknownBatchError`."""
        rows = await read_all(self._store, BATCHES_TABLE, batch_id)
        by_key = {row.key.key: row.value for row in rows}
        if _HEAD_KEY not in by_key:
            raise UnknownBatchError(batch_id)
        head = msgspec.json.decode(by_key[_HEAD_KEY], type=BatchHead)
        if head.chunks:
            chunks = sorted(key for key in by_key if key.startswith("samples/"))
            body = b"".join(by_key[key] for key in chunks)
        else:
            found = await self._store.get_object(_object_name(batch_id, head.digest))
            if found is None:
                raise UnknownBatchError(batch_id)
            body = found
        return msgspec.msgpack.decode(body, type=Batch)

    async def owner(self, batch_id: BatchId) -> Row | None:
        """Return the row of a batch's owner, None if it was ended."""
        page = await self._store.read(OWNERS_TABLE, batch_id)
        return page.rows[0] if page.rows else None

    async def set_owner(
        self, batch_id: BatchId, before: RowVersion, owner: Owner
    ) -> RowVersion | None:
        """Change the owner; return the fencing token, None if it had changed."""
        value = msgspec.json.encode(owner)
        key = owner_key(batch_id)
        transaction = Transaction((Expectation(key, before),), (Put(key, value),))
        outcome = await commit_settled(
            self._store,
            transaction,
            lambda conflict: conflict.holds(value),
            self._clock,
            WRITE_GIVE_UP_S,
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
        """List results from a position on; False if another owner took over.

        Raises
        ------
        StoreUnavailableError, NotSettledError
            If they are not listed, or perhaps; the same call may be made again.
        """
        puts = tuple(
            put
            for number, result in enumerate(results)
            for put in self._result_puts(batch_id, first + number, result)
        )
        transaction = Transaction((Expectation(owner_key(batch_id), fence),), puts)
        # Sending it again is harmless while the owner is the same, so that a
        # conflict always means that another took over or that the batch ended.
        outcome = await commit_settled(
            self._store, transaction, lambda _: False, self._clock, WRITE_GIVE_UP_S
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
        """Return results from a position on, as many as the store gives at once."""
        page = await self._store.read(
            RESULTS_TABLE, batch_id, f"{after:08d}", "", limit
        )
        return _joined_results(page.rows)

    async def all_results(self, batch_id: BatchId) -> tuple[SampleResult, ...]:
        """Return all results that are listed."""
        return _joined_results(await read_all(self._store, RESULTS_TABLE, batch_id))

    async def end(self, batch_id: BatchId) -> bool:
        """End a batch; return whether there is one.

        Raises
        ------
        StoreUnavailableError, NotSettledError
            If it is not known to have ended.
        """
        while True:
            row = await self.owner(batch_id)
            if row is None:
                return await self.head(batch_id) is not None
            transaction = Transaction(
                (Expectation(row.key, row.version),), (), (row.key,)
            )
            outcome = await commit_settled(
                self._store, transaction, lambda _: False, self._clock, WRITE_GIVE_UP_S
            )
            match outcome:
                case Committed():
                    return True
                case NotCommitted(error_kind=error_kind):
                    raise StoreUnavailableError(error_kind)
                case Conflict():
                    continue  # a new owner, or an end whose reply was lost

    async def forget(self, batch_id: BatchId) -> None:
        """Remove all that is kept of a batch that was ended long ago."""
        head = await self.head(batch_id)
        if head is not None and not head.chunks:
            await self._store.drop_object(_object_name(batch_id, head.digest))
        for table in (RESULTS_TABLE, BATCHES_TABLE):
            rows = await read_all(self._store, table, batch_id)
            await remove_all(self._store, [row.key for row in rows])

    async def _put_object(self, batch_id: BatchId, digest: str, body: bytes) -> None:
        outcome = await self._store.put_object(_object_name(batch_id, digest), body)
        match outcome:
            case Committed() | Conflict():
                return  # the name holds the digest: what is there is the same
            case _:
                raise StoreUnavailableError(outcome.error_kind)

    def _result_puts(
        self, batch_id: BatchId, position: int, result: SampleResult
    ) -> Iterable[Put]:
        chunks = self._split(msgspec.msgpack.encode(result))
        last = len(chunks) - 1
        for number, chunk in enumerate(chunks):
            # The mark tells a reader whether another row of this result follows.
            mark = "+" if number < last else "."
            key = f"{position:08d}/{number:04d}{mark}"
            yield Put(RowKey(RESULTS_TABLE, batch_id, key), chunk)

    def _split(self, body: bytes) -> list[bytes]:
        size = self._row_bytes
        return [body[start : start + size] for start in range(0, len(body), size)]


def owner_key(batch_id: BatchId) -> RowKey:
    """Return the key of the row that names a batch's owner."""
    return RowKey(OWNERS_TABLE, batch_id, _OWNER_KEY)


def _digest(batch: Batch) -> str:
    """Return what a batch is recognised by when it comes again, in another trace."""
    untraced = msgspec.structs.replace(batch, trace="")
    return hashlib.sha256(msgspec.msgpack.encode(untraced)).hexdigest()


def _head_key(batch_id: BatchId) -> RowKey:
    return RowKey(BATCHES_TABLE, batch_id, _HEAD_KEY)


def _object_name(batch_id: BatchId, digest: str) -> str:
    return f"{batch_id}-{digest[:16]}"


def _joined_results(rows: Iterable[Row]) -> tuple[SampleResult, ...]:
    results: list[SampleResult] = []
    chunks: list[bytes] = []
    for row in rows:
        chunks.append(row.value)
        if row.key.key.endswith("."):
            body = b"".join(chunks)
            results.append(msgspec.msgpack.decode(body, type=SampleResult))
            chunks = []
    return tuple(results)


def row_trouble(error: StoreUnavailableError | NotSettledError) -> str:
    """Return why a call to the store failed, for a log line."""
    match error:
        case StoreUnavailableError(error_kind=error_kind):
            return error_kind.value
        case _:
            return StoreErrorKind.NO_REPLY.value

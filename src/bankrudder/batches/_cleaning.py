"""Removal of batches and progress whose retention is over.

One host at a time cleans, under a lease. Ages are measured with the store's clock,
which a commit returns. The time at which a batch was first seen ended is kept in a row,
so that the age survives a restart of the host.
"""

from contextlib import suppress
from enum import Enum

import msgspec
import structlog

from bankrudder.batches._progress import PROGRESS_TABLE
from bankrudder.batches._repository import (
    BATCHES_TABLE,
    OWNERS_TABLE,
    BatchRepository,
)
from bankrudder.batches._values import BatchId
from bankrudder.decoding import decode_json
from bankrudder.leases import Lease
from bankrudder.store import (
    Committed,
    NotSettledError,
    Put,
    Row,
    RowKey,
    Store,
    Transaction,
    UnreadableRowError,
    decoding_row,
    remove_all,
)

CLEANING_PAUSE_S = 20.0
"""Pause between two passes over the store: a sixth of the usual retention."""

MAX_OPEN_S = 3600.0
"""Time after which a batch is ended if its trainer has not ended it: nine times the
longest time that the largest steps may take."""

RETENTION_MARGIN_S = 30.0
"""Time for which a batch is kept beyond its retention, for late readers."""

FIRST_SEEN_TABLE = "cleaning"
"""Table of the times from which ages are measured. The part is the identifier of a
batch or a model, the key an `_Aging`, and the value a `FirstSeen`. Trainers choose the
identifiers, so that a part alone does not tell what its rows are about. The row
``clock`` in the part ``clock`` is written only to learn the store's time."""

_log = structlog.get_logger("batches")


class _Aging(Enum):
    """What is removed or ended at a certain age; the keys of the rows."""

    ENDED_BATCH = "ended"
    OPEN_BATCH = "open"
    PROGRESS = "progress"


class FirstSeen(msgspec.Struct, frozen=True):
    """Store time at which a batch was first seen open or ended.

    For the progress of a model, the time at which it was first seen after its latest
    change.
    """

    store_time_s: float


class Cleaner:
    """Removes ended batches and unused progress after their retention.

    Batches that their trainers do not end are ended after `MAX_OPEN_S`.
    """

    def __init__(
        self,
        store: Store,
        repository: BatchRepository,
        lease: Lease,
        retention_s: float,
    ):
        self._store = store
        self._repository = repository
        self._lease = lease
        self._min_age_s = retention_s + RETENTION_MARGIN_S

    async def clean(self) -> None:
        """Make one pass over the batches and the progress in the store."""
        now_s = await self._store_time()
        if now_s is None:
            return
        open_batches = set(await self._store.parts(OWNERS_TABLE))
        stored = await self._store.parts(BATCHES_TABLE)
        ended = [name for name in stored if name not in open_batches]
        for name in ended:
            if self._lease.is_valid and await self._is_due(
                _Aging.ENDED_BATCH, name, now_s, self._min_age_s
            ):
                await self._repository.delete(BatchId(name))
                await self._clear_first_seen(_Aging.ENDED_BATCH, name)
                await self._clear_first_seen(_Aging.OPEN_BATCH, name)
                _log.info("batches: removed after retention", batch=name)
        for name in sorted(open_batches):
            await self._end_abandoned(name, now_s)
        for model in await self._store.parts(PROGRESS_TABLE):
            await self._clean_progress(model, now_s)

    async def _end_abandoned(self, name: str, now_s: float) -> None:
        """End a batch that has been open for `MAX_OPEN_S`: its trainer must be lost."""
        if not self._lease.is_valid or not await self._is_due(
            _Aging.OPEN_BATCH, name, now_s, MAX_OPEN_S
        ):
            return
        try:
            await self._repository.end(BatchId(name))
        except NotSettledError:
            return  # the next pass tries again
        await self._clear_first_seen(_Aging.OPEN_BATCH, name)
        _log.warning(
            "batches: ended, as its trainer did not end it in time", batch=name
        )

    async def _store_time(self) -> float | None:
        key = RowKey(FIRST_SEEN_TABLE, "clock", "clock")
        outcome = await self._store.commit(Transaction(puts=(Put(key, b"{}"),)))
        match outcome:
            case Committed(store_time_s=now_s):
                return now_s
            case _:
                return None

    async def _is_due(
        self, aging: _Aging, name: str, now_s: float, min_age_s: float
    ) -> bool:
        """Whether something was first seen at least `min_age_s` ago.

        What was not seen before, or whose row cannot be decoded, is recorded.
        """
        row = await self._first_seen(aging, name)
        if row is not None:
            with suppress(UnreadableRowError), decoding_row(row.key):
                seen = decode_json(row.value, FirstSeen)
                return now_s - seen.store_time_s >= min_age_s
        value = msgspec.json.encode(FirstSeen(now_s))
        put = Put(_first_seen_key(aging, name), value)
        await self._store.commit(Transaction(puts=(put,)))
        return False

    async def _first_seen(self, aging: _Aging, name: str) -> Row | None:
        key = _first_seen_key(aging, name)
        page = await self._store.read(FIRST_SEEN_TABLE, name)
        return next((row for row in page.rows if row.key == key), None)

    async def _clear_first_seen(self, aging: _Aging, name: str) -> None:
        key = _first_seen_key(aging, name)
        await self._store.commit(Transaction(removals=(key,)))

    async def _clean_progress(self, model: str, now_s: float) -> None:
        """Remove a model's progress if no row of it changed during the retention."""
        page = await self._store.read(PROGRESS_TABLE, model, limit=500)
        newest = max((row.version for row in page.rows), default=0)
        seen = await self._first_seen(_Aging.PROGRESS, model)
        if page.rows and seen is not None and newest < seen.version:
            if not await self._is_due(_Aging.PROGRESS, model, now_s, self._min_age_s):
                return
            keys = [row.key for row in page.rows]
            await remove_all(self._store, keys)
            _log.info("batches: old progress removed", model=model, samples=len(keys))
        if page.rows:
            await self._clear_first_seen(_Aging.PROGRESS, model)
            await self._is_due(_Aging.PROGRESS, model, now_s, self._min_age_s)


def _first_seen_key(aging: _Aging, name: str) -> RowKey:
    return RowKey(FIRST_SEEN_TABLE, name, aging.value)

"""Removal of batches that nobody may ask for any more.

One host removes, under a lease. It goes by the store's own steady clock, which a
row of its own tells, so that a restart forgets no batch.
"""

import msgspec
import structlog

from bankrudder.batches._progress import PROGRESS_TABLE
from bankrudder.batches._repository import (
    BATCHES_TABLE,
    OWNERS_TABLE,
    BatchRepository,
)
from bankrudder.batches._values import BatchId
from bankrudder.leases import Lease
from bankrudder.store import (
    Committed,
    NotSettledError,
    Put,
    RowKey,
    Store,
    Transaction,
    remove_all,
)

CLEANING_PAUSE_S = 20.0
"""How often the store is looked through: a sixth of the usual retention."""

MAX_OPEN_S = 3600.0
"""Time after which a batch that its trainer never ended is ended for it: nine times as
long as the largest steps may take."""

RETENTION_MARGIN_S = 30.0
"""Time beyond the retention for which a batch is kept, for late readers."""

FIRST_SEEN_TABLE = "cleaning"
"""Part: batch, ``open/BATCH`` or ``progress/MODEL``; one row that tells when it was
first found to be ended, or open, in seconds of the store's clock."""

_FIRST_SEEN_KEY = "ended"

_log = structlog.get_logger("batches")


class FirstSeen(msgspec.Struct, frozen=True):
    """When something was first found to be ended, in the store's time."""

    store_time_s: float


class Cleaner:
    """Removes ended batches after their retention, and progress nobody took up.

    Batches that nobody ends are ended after an hour.
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
        """Look through the store once."""
        now_s = await self._store_time()
        if now_s is None:
            return
        open_batches = set(await self._store.parts(OWNERS_TABLE))
        stored = await self._store.parts(BATCHES_TABLE)
        ended = [name for name in stored if name not in open_batches]
        for name in ended:
            if self._lease.is_valid and await self._is_due(name, now_s):
                await self._repository.delete(BatchId(name))
                await self._clear_first_seen(name)
                await self._clear_first_seen(f"open/{name}")
                _log.info("batches: removed after retention", batch=name)
        for name in sorted(open_batches):
            await self._end_abandoned(name, now_s)
        for model in await self._store.parts(PROGRESS_TABLE):
            await self._clean_progress(model, now_s)

    async def _end_abandoned(self, name: str, now_s: float) -> None:
        """End a batch that has been open for too long; its trainer must be gone."""
        open_part = f"open/{name}"
        if not self._lease.is_valid or not await self._is_due(
            open_part, now_s, MAX_OPEN_S
        ):
            return
        try:
            await self._repository.end(BatchId(name))
        except NotSettledError:
            return  # looked at again next time
        await self._clear_first_seen(open_part)
        _log.warning("batches: ended for a trainer that did not", batch=name)

    async def _store_time(self) -> float | None:
        key = RowKey(FIRST_SEEN_TABLE, "clock", "clock")
        outcome = await self._store.commit(Transaction(puts=(Put(key, b"{}"),)))
        match outcome:
            case Committed(store_time_s=now_s):
                return now_s
            case _:
                return None

    async def _is_due(
        self, name: str, now_s: float, min_age_s: float | None = None
    ) -> bool:
        """Whether something has been so for long enough; notes it at first."""
        min_age_s = self._min_age_s if min_age_s is None else min_age_s
        page = await self._store.read(FIRST_SEEN_TABLE, name)
        if page.rows:
            seen = msgspec.json.decode(page.rows[0].value, type=FirstSeen)
            return now_s - seen.store_time_s >= min_age_s
        value = msgspec.json.encode(FirstSeen(now_s))
        put = Put(RowKey(FIRST_SEEN_TABLE, name, _FIRST_SEEN_KEY), value)
        await self._store.commit(Transaction(puts=(put,)))
        return False

    async def _clear_first_seen(self, name: str) -> None:
        key = RowKey(FIRST_SEEN_TABLE, name, _FIRST_SEEN_KEY)
        await self._store.commit(Transaction(removals=(key,)))

    async def _clean_progress(self, model: str, now_s: float) -> None:
        """Remove progress that has not changed between two looks, long apart."""
        page = await self._store.read(PROGRESS_TABLE, model, limit=500)
        name = f"progress/{model}"
        newest = max((row.version for row in page.rows), default=0)
        seen = await self._store.read(FIRST_SEEN_TABLE, name)
        if page.rows and seen.rows and newest < seen.rows[0].version:
            if not await self._is_due(name, now_s):
                return
            keys = [row.key for row in page.rows]
            await remove_all(self._store, keys)
            _log.info("batches: old progress removed", model=model, samples=len(keys))
        if page.rows:
            await self._clear_first_seen(name)
            await self._is_due(name, now_s)

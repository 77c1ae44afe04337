"""Reads of batches for trainers: results by position, samples, and workspaces.

A read needs nothing but the store, so any host can answer it.
"""

import asyncio
from typing import TypeVar

from bankrudder.batches._repository import BatchRepository, UnknownBatchError
from bankrudder.batches._room import batch_bytes
from bankrudder.batches._values import (
    Batch,
    BatchHead,
    BatchId,
    ResultPage,
    Sample,
)
from bankrudder.store import StoreUnavailableError
from bankrudder.world import Clock, SampleId, WorkspaceName

Cached = TypeVar("Cached")

POLL_INTERVAL_S = 0.08
"""Interval between reads of the store while a reader waits. A result is delayed by half
of it on average; a shorter one costs more reads."""

CACHED_HEAD_COUNT = 512
CACHED_BATCH_COUNT = 4
"""Largest numbers of cached heads and batches; neither ever changes."""

CACHED_BATCH_BYTES = 1 << 20
"""Largest size of a batch that is cached, by `batch_bytes`."""


class BatchReader:
    """Answers reads of batches from the store."""

    def __init__(self, repository: BatchRepository, clock: Clock):
        self._repository = repository
        self._clock = clock
        self._heads: dict[BatchId, BatchHead] = {}
        self._batches: dict[BatchId, Batch] = {}
        self._loading = asyncio.Lock()

    async def results(
        self, batch_id: BatchId, after: int, wait_s: float
    ) -> ResultPage | None:
        """Return results from a position on, None if there is no such batch.

        Waits up to `wait_s` for the first result.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """
        until = self._clock.monotonic() + wait_s
        while True:
            try:
                page = await self._read_page(batch_id, after)
            except StoreUnavailableError:
                # Retry, so that a waiting reader is answered once the store is back.
                if self._clock.monotonic() + POLL_INTERVAL_S >= until:
                    raise
            else:
                left_s = until - self._clock.monotonic()
                if page is None or page.ends_wait or left_s <= POLL_INTERVAL_S:
                    return page
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_page(self, batch_id: BatchId, after: int) -> ResultPage | None:
        head = await self._head(batch_id)
        if head is None:
            return None
        results = await self._repository.results(batch_id, after)
        return ResultPage(head.sample_count, results, after + len(results))

    async def workspace_of(self, batch_id: BatchId) -> WorkspaceName | None:
        """Return the workspace of a batch, None if there is no such batch.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """
        head = await self._head(batch_id)
        return head.workspace if head is not None else None

    async def sample(self, batch_id: BatchId, sample_id: SampleId) -> Sample | None:
        """Return a sample, None if there is no such batch or sample."""
        batch = self._batches.get(batch_id)
        if batch is None:
            # Each read of a sample needs its whole batch.
            async with self._loading:
                batch = await self._load(batch_id)
        samples = batch.samples if batch is not None else ()
        return next((each for each in samples if each.id == sample_id), None)

    async def _load(self, batch_id: BatchId) -> Batch | None:
        if batch_id in self._batches:
            return self._batches[batch_id]
        try:
            batch = await self._repository.load(batch_id)
        except UnknownBatchError:
            return None
        if batch_bytes(batch) <= CACHED_BATCH_BYTES:
            _cache(self._batches, batch_id, batch, CACHED_BATCH_COUNT)
        return batch

    async def _head(self, batch_id: BatchId) -> BatchHead | None:
        head = self._heads.get(batch_id)
        if head is None:
            head = await self._repository.head(batch_id)
            if head is not None:
                _cache(self._heads, batch_id, head, CACHED_HEAD_COUNT)
        return head


def _cache(
    cache: dict[BatchId, Cached], key: BatchId, value: Cached, max_count: int
) -> None:
    if len(cache) >= max_count:
        del cache[next(iter(cache))]
    cache[key] = value

"""What trainers read: results by position, bodies of samples, ends."""

import asyncio
from typing import TypeVar

from bankrudder.batches._repository import BatchRepository, UnknownBatchError
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
"""How often the store is asked while a reader waits: a delay of half of it for each
result, at the price of a read."""

CACHED_HEAD_COUNT = 512
CACHED_BATCH_COUNT = 4
"""Heads and whole batches that are kept in memory; they never change."""


class BatchReader:
    """Answers reads from the store, so that any host can."""

    def __init__(self, repository: BatchRepository, clock: Clock):
        self._repository = repository
        self._clock = clock
        self._heads: dict[BatchId, BatchHead] = {}
        self._batches: dict[BatchId, Batch] = {}

    async def results(
        self, batch_id: BatchId, after: int, wait_s: float
    ) -> ResultPage | None:
        """Return results from a position on, None if there is no such batch.

        Raises
        ------
        StoreUnavailableError
            If that cannot be told now.
        """
        until = self._clock.monotonic() + wait_s
        while True:
            try:
                page = await self._page(batch_id, after)
            except StoreUnavailableError:
                # A reader that waits is answered when the store returns.
                if self._clock.monotonic() + POLL_INTERVAL_S >= until:
                    raise
            else:
                left_s = until - self._clock.monotonic()
                if page is None or page.ends_wait or left_s <= POLL_INTERVAL_S:
                    return page
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _page(self, batch_id: BatchId, after: int) -> ResultPage | None:
        head = await self._head(batch_id)
        if head is None:
            return None
        results = await self._repository.results(batch_id, after)
        return ResultPage(head.sample_count, results, after + len(results))

    async def workspace_of(self, batch_id: BatchId) -> WorkspaceName | None:
        """Return whose batch it is, None if there is no such batch.

        Raises
        ------
        StoreUnavailableError
            If that cannot be told now.
        """
        head = await self._head(batch_id)
        return head.workspace if head is not None else None

    async def sample(self, batch_id: BatchId, sample_id: SampleId) -> Sample | None:
        """Return a sample, None if there is no such batch or sample."""
        batch = self._batches.get(batch_id)
        if batch is None:
            try:
                batch = await self._repository.load(batch_id)
            except UnknownBatchError:
                return None
            _cache(self._batches, batch_id, batch, CACHED_BATCH_COUNT)
        for sample in batch.samples:
            if sample.id == sample_id:
                return sample
        return None

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

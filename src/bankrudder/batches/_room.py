"""The memory of the batches that a host works on."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import structlog

from bankrudder.batches._values import Batch, BatchId
from bankrudder.memory import Holding, MemoryBudget

BATCH_BYTES = 8 << 10
"""Memory of a batch besides its samples: its work, and what is known of its step."""

SAMPLE_BYTES = 4 << 10
"""Memory of a sample besides its content: its state, and its text."""

MAX_WAITING_SAMPLES = 256
"""Largest number of samples of a batch that wait for slots at the same time."""

WAITING_BYTES = 12 << 10
"""Memory of a sample that waits: its task, its request and its span."""

LOADING_BYTES = 2 << 20
"""Memory for reading a batch whose size is not known yet."""

MAX_WAITING_BATCHES = 64
"""Number of batches that wait for memory from which no others are accepted."""

WAIT_INTERVAL_S = 0.1
"""Interval between two checks for room."""

_log = structlog.get_logger("batches")


def batch_bytes(batch: Batch) -> int:
    """Return about how much memory it takes to work on a batch."""
    content_bytes = sum(
        len(each.body)
        + len(each.target)
        + sum(len(name) + len(value) for name, value in each.headers)
        + (len(each.reward.body) if each.reward is not None else 0)
        for each in batch.samples
    )
    waiting_count = min(len(batch.samples), MAX_WAITING_SAMPLES)
    return (
        BATCH_BYTES
        + content_bytes
        + SAMPLE_BYTES * len(batch.samples)
        + WAITING_BYTES * waiting_count
    )


class BatchPlace:
    """The room of one batch."""

    def __init__(self, batch_id: BatchId, holding: Holding, budget: MemoryBudget):
        self._batch_id = batch_id
        self._holding = holding
        self._budget = budget
        self._is_waiting = False

    @property
    def is_waiting(self) -> bool:
        """Whether the batch waits for memory."""
        return self._is_waiting

    def try_hold(self, size_bytes: int) -> bool:
        """Hold at least `size_bytes` in all, if there is room."""
        missing_bytes = size_bytes - self._holding.size_bytes
        return missing_bytes <= 0 or self._holding.grow(missing_bytes)

    async def hold(self, size_bytes: int) -> None:
        """Wait until there is room for `size_bytes` in all, and hold them."""
        if self.try_hold(size_bytes):
            return
        _log.warning(
            "batches: waiting for memory",
            batch=self._batch_id,
            needed_bytes=size_bytes,
            held_bytes=self._budget.held_bytes,
            budget_bytes=self._budget.limit_bytes,
        )
        self._is_waiting = True
        try:
            # There is no event for it.
            while not self.try_hold(size_bytes):  # noqa: ASYNC110
                await asyncio.sleep(WAIT_INTERVAL_S)
        finally:
            self._is_waiting = False


class BatchRoom:
    """Gives batches room within the budget of the host."""

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self._places: set[BatchPlace] = set()

    @property
    def is_full(self) -> bool:
        """Whether so many batches wait for memory that no others may be accepted."""
        waiting_count = sum(each.is_waiting for each in self._places)
        return waiting_count >= MAX_WAITING_BATCHES

    @contextmanager
    def enter(self, batch_id: BatchId) -> Iterator[BatchPlace]:
        """Begin to hold memory for a batch, which is released at the end."""
        holding = self._budget.hold_work()
        place = BatchPlace(batch_id, holding, self._budget)
        self._places.add(place)
        try:
            yield place
        finally:
            self._places.remove(place)
            holding.release()

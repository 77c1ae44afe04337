"""Which samples of a batch were in an earlier one.

A group that was not whole when its batch ended may come again in a later one, whose
trainer then waits for it. The store does not tell: text that was listed whole and not
read in time is kept nowhere else. So the host that works on a model's batches remembers
the names.
"""

from collections import deque

from bankrudder.batches._values import Batch, BatchId
from bankrudder.routing import ModelName
from bankrudder.world import SampleId

REMEMBERED_BATCHES = 6
"""Batches of a model whose samples are remembered; groups come again two or three
batches later."""


class CarriedSamples:
    """Remembers the samples of the latest batches of each model."""

    def __init__(self) -> None:
        self._latest: dict[ModelName, deque[tuple[BatchId, frozenset[SampleId]]]] = {}

    def note(self, batch: Batch) -> frozenset[SampleId]:
        """Remember a batch; return those of its samples that earlier ones had."""
        sample_ids = frozenset(sample.id for sample in batch.samples)
        latest = self._latest.setdefault(batch.model, deque(maxlen=REMEMBERED_BATCHES))
        earlier_ids = [known for batch_id, known in latest if batch_id != batch.id]
        if all(batch_id != batch.id for batch_id, _ in latest):
            latest.append((batch.id, sample_ids))
        return sample_ids & frozenset().union(*earlier_ids)

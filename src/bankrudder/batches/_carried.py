"""Samples that are carried over from an earlier batch of the same model.

If a trainer has not received a whole group when its batch ends, it may submit the group
again in a later batch and wait for it there. The store does not identify all such
groups: one whose results were listed but not read in time leaves no saved progress. So
the host that works on a model's batches keeps their sample identifiers in memory.
"""

from collections import deque

from bankrudder.batches._values import Batch, BatchId
from bankrudder.routing import ModelName
from bankrudder.world import SampleId

REMEMBERED_BATCH_COUNT = 6
"""Latest batches of a model whose sample identifiers are kept; groups are submitted
again two or three batches later."""


class CarriedSamples:
    """The sample identifiers of the latest batches of each model."""

    def __init__(self) -> None:
        self._latest: dict[ModelName, deque[tuple[BatchId, frozenset[SampleId]]]] = {}

    def note(self, batch: Batch) -> frozenset[SampleId]:
        """Record a batch; return those of its samples that earlier batches had."""
        sample_ids = frozenset(sample.id for sample in batch.samples)
        latest = self._latest.setdefault(
            batch.model, deque(maxlen=REMEMBERED_BATCH_COUNT)
        )
        earlier_ids = [known for batch_id, known in latest if batch_id != batch.id]
        if all(batch_id != batch.id for batch_id, _ in latest):
            latest.append((batch.id, sample_ids))
        return sample_ids & frozenset().union(*earlier_ids)

"""The order in which the samples of a batch get slots.

A step ends when enough groups are whole, and a long sample that starts late ends last.
So the longest groups start first, but for those that the trainer does not wait for:
they come last, and what is generated of them is kept for the batch in which they
appear again.
"""

from collections.abc import Collection, Mapping

from bankrudder.batches._values import Batch, GroupId, Progress, SampleId

Rank = tuple[float, ...]
"""Lower ranks go first."""

CARRIED, AWAITED, SURPLUS = 0.0, 1.0, 2.0
"""Groups that were begun in an earlier batch, that make the step whole, and beyond."""


def sample_ranks(
    batch: Batch, progress: Mapping[SampleId, Progress], order: float
) -> dict[SampleId, Rank]:
    """Return the ranks of a batch's samples.

    Parameters
    ----------
    progress : mapping
        What was generated of samples in earlier batches, or by earlier owners.
    order : float
        Grows from batch to batch: the batch that came first is due first.
    """
    lengths = _group_lengths(batch)
    carried = {sample.group for sample in batch.samples if sample.id in progress}
    surplus = _surplus(batch, lengths, carried)
    places = {group: float(place) for place, group in enumerate(lengths)}
    return {
        sample.id: (
            order,
            _kind(sample.group, carried, surplus),
            -lengths[sample.group],
            places[sample.group],
            -float(sample.length_hint),
        )
        for sample in batch.samples
    }


def _group_lengths(batch: Batch) -> dict[GroupId, float]:
    """Return the estimated length of each group's longest sample, in tokens."""
    lengths: dict[GroupId, float] = {}
    for sample in batch.samples:
        hint = float(sample.length_hint)
        lengths[sample.group] = max(lengths.get(sample.group, 0.0), hint)
    return lengths


def _surplus(
    batch: Batch, lengths: Mapping[GroupId, float], carried: Collection[GroupId]
) -> set[GroupId]:
    """Return the longest groups beyond those that the trainer waits for."""
    count = len(lengths) - batch.target_groups
    if batch.target_groups <= 0 or count <= 0:
        return set()
    new = [group for group in lengths if group not in carried]
    return set(sorted(new, key=lambda group: lengths[group])[-count:])


def _kind(
    group: GroupId, carried: Collection[GroupId], surplus: Collection[GroupId]
) -> float:
    if group in carried:
        return CARRIED
    return SURPLUS if group in surplus else AWAITED

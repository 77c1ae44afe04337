"""The order in which the samples of a batch get slots.

A step ends when enough groups are whole, and a long sample that starts late ends last.
So the longest groups start first, but for those that the trainer does not wait for:
they come last. In a batch with groups that were carried over, which the trainer waits
for however long they take, all groups have that time, and none is put off.
"""

from collections.abc import Collection, Mapping

from bankrudder.batches._values import Batch, GroupId, SampleId

Rank = tuple[float, ...]
"""Lower ranks go first."""

CARRIED, AWAITED, SURPLUS = 0.0, 1.0, 2.0
"""Groups that were begun in an earlier batch, that make the step whole, and beyond."""


def sample_ranks(
    batch: Batch, carried_samples: Collection[SampleId], order: float
) -> dict[SampleId, Rank]:
    """Return the ranks of a batch's samples.

    Parameters
    ----------
    carried_samples : collection of SampleId
        Samples that were in an earlier batch, or begun by an earlier owner.
    order : float
        Grows from batch to batch: the batch that came first is due first.
    """
    lengths = _group_lengths(batch)
    carried = {sample.group for sample in batch.samples if sample.id in carried_samples}
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
    if carried or batch.target_groups <= 0 or count <= 0:
        return set()
    return set(sorted(lengths, key=lambda group: lengths[group])[-count:])


def _kind(
    group: GroupId, carried: Collection[GroupId], surplus: Collection[GroupId]
) -> float:
    if group in carried:
        return CARRIED
    return SURPLUS if group in surplus else AWAITED

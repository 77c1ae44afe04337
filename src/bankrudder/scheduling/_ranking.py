"""The order in which the samples of all batches on a host get slots.

A step ends when enough groups are whole, and a long sample that starts late ends last.
So the longest groups start first, but for those that the trainer does not wait for:
they come last. In a batch with groups that were carried over, which the trainer waits
for however long they take, all groups have that time, and none is put off.

Pattern: a trainer that fell behind asks for two steps within a second, while half of
its slots are lost to a load. If the older batch goes first as a whole, its short
samples, which have seconds to spare, take the slots from the longest samples of the
newer one, and that step ends later by as much. So what counts is when a group has to
begin: its batch's begin less the time that its longest sample should take, reckoned
from what hinted tokens took lately.
"""

from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from typing import Protocol

from bankrudder.world import GroupId, SampleId

Rank = tuple[float, ...]
"""Lower ranks go first."""

CARRIED, AWAITED, SURPLUS = 0.0, 1.0, 2.0
"""Groups that were begun in an earlier batch, that make the step whole, and beyond."""

PACE_WEIGHT = 0.02
"""Weight of the newest sample in the mean time of a hinted token: a few dozen samples,
one step's, as hints are far off one by one."""


class RankedSample(Protocol):
    """What the order needs to know of a sample."""

    @property
    def id(self) -> SampleId:
        """Name of the sample."""
        ...

    @property
    def group(self) -> GroupId:
        """Group that is whole when each of its samples is."""
        ...

    @property
    def length_hint(self) -> int:
        """Estimate of the tokens that will be generated, often far off; 0 if none."""
        ...


class TokenPace:
    """How long a token takes that a sample's length hint promises."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._tokens = 0.0

    @property
    def seconds(self) -> float:
        """Mean seconds of a hinted token, 0 before the first sample."""
        return self._seconds / self._tokens if self._tokens else 0.0

    def note(self, hinted_tokens: int, took: timedelta) -> None:
        """Note how long a whole sample took on engines, without its waits."""
        if not hinted_tokens:
            return
        weight = PACE_WEIGHT if self._tokens else 1.0
        self._seconds += weight * (took.total_seconds() - self._seconds)
        self._tokens += weight * (hinted_tokens - self._tokens)


def sample_ranks(
    samples: Sequence[RankedSample],
    target_groups: int,
    carried_samples: Collection[SampleId],
    begun_at: float,
    token_s: float = 0.0,
) -> dict[SampleId, Rank]:
    """Return the ranks of a batch's samples.

    Parameters
    ----------
    target_groups : int
        Groups that the trainer waits for; 0 if all.
    carried_samples : collection of SampleId
        Samples that were in an earlier batch, or begun by an earlier owner.
    begun_at : float
        Steady time in seconds at which this host began with the batch.
    token_s : float
        Seconds that a hinted token takes; 0 if it is not known, and then the older
        batch goes first.
    """
    lengths = _group_lengths(samples)
    carried = {sample.group for sample in samples if sample.id in carried_samples}
    surplus = _surplus(lengths, target_groups, carried)
    places = {group: float(place) for place, group in enumerate(lengths)}
    return {
        sample.id: (
            _kind(sample.group, carried, surplus),
            begun_at - token_s * lengths[sample.group],
            -lengths[sample.group],
            places[sample.group],
            -float(sample.length_hint),
        )
        for sample in samples
    }


def _group_lengths(samples: Sequence[RankedSample]) -> dict[GroupId, float]:
    """Return the estimated length of each group's longest sample, in tokens."""
    lengths: dict[GroupId, float] = {}
    for sample in samples:
        hint = float(sample.length_hint)
        lengths[sample.group] = max(lengths.get(sample.group, 0.0), hint)
    return lengths


def _surplus(
    lengths: Mapping[GroupId, float],
    target_groups: int,
    carried: Collection[GroupId],
) -> set[GroupId]:
    """Return the longest groups beyond those that the trainer waits for."""
    count = len(lengths) - target_groups
    if carried or target_groups <= 0 or count <= 0:
        return set()
    return set(sorted(lengths, key=lambda group: lengths[group])[-count:])


def _kind(
    group: GroupId,
    carried: Collection[GroupId],
    surplus: Collection[GroupId],
) -> float:
    if group in carried:
        return CARRIED
    return SURPLUS if group in surplus else AWAITED

"""Order in which the samples of all batches on a host get slots.

A step ends when enough groups are complete, and a long sample that starts late ends
last. So the longest groups start first, except the groups beyond the number that the
trainer waits for, which come last. In a batch with groups that were carried over from
an earlier batch, the trainer waits for these however long they take. The other groups
have as much time, so none of them is put last.

Load pattern: a trainer that fell behind asks for two steps within a second, while half
of its slots are lost to a load. If the whole older batch went first, its short samples,
which have seconds to spare, would take the slots from the longest samples of the newer
batch and delay that step by as much. So samples are ordered by the time by which their
group has to start: the start of the batch less the estimated duration of the group's
longest sample. The estimate is the sample's length hint times the recent mean time of
a hinted token.
"""

from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from typing import Protocol

from bankrudder.world import GroupId, SampleId

Rank = tuple[float, ...]
"""Lower ranks go first."""

CARRIED, AWAITED, SURPLUS = 0.0, 1.0, 2.0
"""Classes of groups: started in an earlier batch, needed to complete the step, and
beyond the number that the trainer waits for."""

PACE_WEIGHT = 0.02
"""Weight of the newest sample in the mean time of a hinted token. The mean covers the
few dozen samples of one step, as single hints are often far off."""


class RankedSample(Protocol):
    """The attributes of a sample that decide its rank."""

    @property
    def id(self) -> SampleId:
        """Identifier of the sample."""
        ...

    @property
    def group(self) -> GroupId:
        """Group of the sample, complete once each of its samples is."""
        ...

    @property
    def length_hint(self) -> int:
        """Estimated number of generated tokens, often far off; 0 without estimate."""
        ...


class TokenPace:
    """Recent mean time that engines took for each token of a sample's length hint."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._tokens = 0.0
        self._events = 0.0

    @property
    def seconds(self) -> float:
        """Mean seconds for each hinted token, 0 before the first sample."""
        return self._seconds / self._tokens if self._tokens else 0.0

    def expected_s(self, hinted_tokens: int) -> float:
        """Return the expected duration of a sample, the mean one without a hint."""
        return self.seconds * hinted_tokens if hinted_tokens else self._seconds

    def generated_s(self, event_count: int) -> float:
        """Return the mean time in which engines generate a number of events."""
        return event_count * self._seconds / self._events if self._events else 0.0

    def note(
        self, hinted_tokens: int, duration: timedelta, event_count: int = 0
    ) -> None:
        """Add the time that a complete sample took on engines, without its waits."""
        if not hinted_tokens:
            return
        weight = PACE_WEIGHT if self._tokens else 1.0
        self._seconds += weight * (duration.total_seconds() - self._seconds)
        self._tokens += weight * (hinted_tokens - self._tokens)
        self._events += weight * (event_count - self._events)


def sample_ranks(
    samples: Sequence[RankedSample],
    target_groups: int,
    carried_samples: Collection[SampleId],
    started_at: float,
    token_s: float = 0.0,
) -> dict[SampleId, Rank]:
    """Return the ranks of a batch's samples.

    Parameters
    ----------
    target_groups : int
        Number of groups that the trainer waits for; 0 for all.
    carried_samples : collection of SampleId
        Samples that were in an earlier batch, or were started by an earlier owner.
    started_at : float
        Monotonic time in seconds at which this host started the batch.
    token_s : float
        Seconds for each hinted token; 0 if unknown, in which case the older batch goes
        first.
    """
    lengths = _group_lengths(samples)
    carried = {sample.group for sample in samples if sample.id in carried_samples}
    surplus = _surplus(lengths, target_groups, carried)
    positions = {group: float(position) for position, group in enumerate(lengths)}
    return {
        sample.id: (
            _group_class(sample.group, carried, surplus),
            started_at - token_s * lengths[sample.group],
            -lengths[sample.group],
            positions[sample.group],
            -float(sample.length_hint),
        )
        for sample in samples
    }


def _group_lengths(samples: Sequence[RankedSample]) -> dict[GroupId, float]:
    """Return the estimated token count of each group's longest sample."""
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
    """Return the longest groups, beyond the number that the trainer waits for."""
    count = len(lengths) - target_groups
    if carried or target_groups <= 0 or count <= 0:
        return set()
    return set(sorted(lengths, key=lambda group: lengths[group])[-count:])


def _group_class(
    group: GroupId,
    carried: Collection[GroupId],
    surplus: Collection[GroupId],
) -> float:
    if group in carried:
        return CARRIED
    return SURPLUS if group in surplus else AWAITED

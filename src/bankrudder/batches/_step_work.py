"""What a step still needs, for the planner of steps."""

from collections.abc import Collection, Iterable

from bankrudder.batches._sampling import SampleGenerator
from bankrudder.batches._step_planning import StepTimes
from bankrudder.batches._values import Batch
from bankrudder.scheduling import (
    GroupWork,
    SampleWork,
    StepWork,
    TokenPace,
    expected_left_s,
)
from bankrudder.world import GroupId, SampleId


def remaining_work(
    batch: Batch,
    times: StepTimes,
    unlisted: Iterable[SampleGenerator],
    carried_samples: Collection[SampleId],
    pace: TokenPace,
) -> StepWork:
    """Describe the groups of a step that are not complete.

    Parameters
    ----------
    unlisted : iterable of SampleGenerator
        Samples without a listed result.
    carried_samples : collection of SampleId
        Samples whose groups the trainer waits for in any case.
    pace : TokenPace
        Durations of recent samples.
    """
    samples: dict[GroupId, list[SampleWork]] = {}
    carried: set[GroupId] = set()
    for generator in unlisted:
        sample = generator.sample
        of_group = samples.setdefault(sample.group, [])
        if sample.id in carried_samples:
            carried.add(sample.group)
        if not generator.text.is_whole:
            of_group.append(_sample_work(generator, pace))
    group_count = len({sample.group for sample in batch.samples})
    complete_count = group_count - len(samples)
    return StepWork(
        batch.id,
        times.accepted_at,
        times.due_at,
        times.given_up_at,
        max((batch.target_groups or group_count) - complete_count, 0),
        tuple(
            GroupWork(group, tuple(each), group in carried)
            for group, each in samples.items()
        ),
    )


def _sample_work(generator: SampleGenerator, pace: TokenPace) -> SampleWork:
    sample = generator.sample
    left_s = expected_left_s(
        pace.expected_s(sample.length_hint), pace.generated_s(len(generator.text))
    )
    return SampleWork(sample.id, generator.rank, left_s, generator.is_running)

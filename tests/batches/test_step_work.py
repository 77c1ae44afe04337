"""What the planner is told of a step: incomplete groups, and what is left of each."""

from dataclasses import dataclass, field
from datetime import timedelta

import pytest

from bankrudder.batches import Batch, Sample
from bankrudder.batches._step_planning import StepTimes
from bankrudder.batches._step_work import remaining_work
from bankrudder.batches._text import SampleText
from bankrudder.fleet import StreamEvent
from bankrudder.scheduling import TokenPace

TIMES = StepTimes(0.0, 7.5, 12.0)


@dataclass
class GeneratorStub:
    sample: Sample
    events: int = 0
    is_running: bool = False
    rank: tuple[float, ...] = (1.0,)
    text: SampleText = field(default_factory=SampleText)

    def __post_init__(self):
        for number in range(self.events):
            self.text.add(StreamEvent(number, "x", None, b""), 1)


@pytest.fixture
def pace():
    """Two seconds for 100 hinted tokens and 20 events."""
    pace = TokenPace()
    pace.note(100, timedelta(seconds=2.0), 20)
    return pace


def samples(*groups):
    return tuple(
        Sample(f"{group}{number}", "/", (), b"", group, 100)
        for group in groups
        for number in range(2)
    )


def batch_of(samples, target):
    return Batch("b", "r", "h", "m", 1, target, samples)


def test_what_is_generated_is_subtracted_from_the_expected_duration(pace):
    a0, a1 = samples("a")
    unlisted = [GeneratorStub(a0, events=5, is_running=True), GeneratorStub(a1)]
    step = remaining_work(batch_of((a0, a1), 1), TIMES, unlisted, (), pace)
    [group] = step.groups
    assert [each.left_s for each in group.samples] == [pytest.approx(1.5), 2.0]
    assert [each.is_running for each in group.samples] == [True, False]


def test_complete_groups_are_subtracted_from_the_awaited_ones(pace):
    every = samples("a", "b", "c")
    unlisted = [GeneratorStub(each) for each in every[2:]]
    step = remaining_work(batch_of(every, 2), TIMES, unlisted, (), pace)
    assert step.missing_groups == 1
    assert [group.id for group in step.groups] == ["b", "c"]
    everything = remaining_work(batch_of(every, 0), TIMES, unlisted, (), pace)
    assert everything.missing_groups == 2


def test_a_group_is_incomplete_until_its_generated_samples_are_listed(pace):
    a0, a1 = samples("a")
    unlisted = [GeneratorStub(a0, events=4), GeneratorStub(a1, events=4)]
    for each in unlisted:
        each.text.is_whole = True
    step = remaining_work(batch_of((a0, a1), 1), TIMES, unlisted, {"a0"}, pace)
    [group] = step.groups
    assert group.samples == ()
    assert group.is_carried
    assert step.missing_groups == 1

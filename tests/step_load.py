"""Steps of one trainer, at more than its slots can serve, played without a network."""

import math
import random
from dataclasses import dataclass, field

from bankrudder.scheduling import (
    GroupWork,
    SampleWork,
    StepWork,
    expected_left_s,
    plan_steps,
    sample_ranks,
)

STEP_PAUSE_S, TARGET_S, GIVE_UP_S, TRAINING_S = 4.0, 7.5, 12.0, 0.5
TICK_S, PLAN_INTERVAL_S, DURATION_S = 0.05, 0.2, 60.0
GROUP_SIZE, SLOT_COUNT = 8, 24
MEAN_S, LENGTH_SIGMA, HINT_SIGMA = 1.0, 0.7, 0.6
"""Mean duration of a sample; spread of durations, and of hints around them."""

HINT_S = 0.001 * math.exp(-(HINT_SIGMA**2) / 2)
"""Mean seconds for each hinted token, as the owner learns it from earlier samples."""


@dataclass
class PlayedSample:
    id: str
    group: str
    left_s: float
    length_hint: int
    done_s: float = 0.0
    is_running: bool = False

    def work(self, ranks):
        left_s = expected_left_s(HINT_S * self.length_hint, self.done_s)
        return SampleWork(self.id, ranks[self.id], left_s, self.is_running)


@dataclass
class PlayedStep:
    asked_at: float
    target: int
    groups: dict[str, list[PlayedSample]]
    carried: set[str]
    listed: dict[str, float] = field(default_factory=dict)

    @property
    def samples(self):
        return [sample for group in self.groups.values() for sample in group]

    @property
    def counted(self):
        """Times at which the groups that the trainer waits for were complete."""
        carried = [at for group, at in self.listed.items() if group in self.carried]
        others = [at for group, at in self.listed.items() if group not in self.carried]
        return carried + sorted(others)[: self.target - len(self.carried)]

    def remaining(self, ranks):
        groups = tuple(
            GroupWork(
                group,
                tuple(each.work(ranks) for each in samples if each.left_s > 0),
                group in self.carried,
            )
            for group, samples in self.groups.items()
            if group not in self.listed
        )
        due_at, given_up_at = self.asked_at + TARGET_S, self.asked_at + GIVE_UP_S
        missing = self.target - len(self.listed)
        return StepWork("step", self.asked_at, due_at, given_up_at, missing, groups)

    def most_groups(self, slot_seconds):
        """Return how many groups fit into slot-seconds if all lengths were known."""
        count = 0
        for work in sorted(
            sum(each.left_s for each in g) for g in self.groups.values()
        ):
            slot_seconds -= work
            count += slot_seconds >= 0
        return min(count, self.target)

    def advance(self, now):
        for sample in self.samples:
            if sample.is_running:
                sample.left_s -= TICK_S
                sample.done_s += TICK_S
                sample.is_running = sample.left_s > 0
        for group, samples in self.groups.items():
            if group not in self.listed and all(each.left_s <= 0 for each in samples):
                self.listed[group] = now + TICK_S


class Trainer:
    """Asks for a step each 4 s, but not before the previous one has ended."""

    def __init__(self, load, seed, *, plans):
        self._random = random.Random(seed)
        self._group_count = round(load * SLOT_COUNT * STEP_PAUSE_S / GROUP_SIZE)
        self._plans = plans
        self._number = 0
        self._unfinished = []
        self.ages = []
        """Times from asking for a step until each group that counts was complete."""

        self.bound = 0
        """Groups that fit into the slots until they are due, at most."""

    def play(self):
        now = 0.0
        while now < DURATION_S:
            step = self._ask(now)
            self._number += 1
            self.bound += step.most_groups(SLOT_COUNT * TARGET_S)
            ended_at = self._generate(step, now)
            self.ages += [at - step.asked_at for at in step.counted]
            self._unfinished = [
                group for key, group in step.groups.items() if key not in step.listed
            ]
            now = max(self._number * STEP_PAUSE_S, ended_at + TRAINING_S)
        return self

    def in_time(self):
        return sum(age <= TARGET_S for age in self.ages)

    def _ask(self, now):
        target = math.ceil(0.9 * self._group_count)
        groups = {group[0].group: group for group in self._unfinished[: target // 2]}
        carried = set(groups)
        for number in range(self._group_count - len(groups)):
            name = f"{self._number}-{number}"
            groups[name] = [self._sample(name, each) for each in range(GROUP_SIZE)]
        return PlayedStep(now, target, groups, carried)

    def _sample(self, group, number):
        seconds = MEAN_S * self._random.lognormvariate(
            -(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA
        )
        hint = round(1000 * seconds * self._random.lognormvariate(0, HINT_SIGMA))
        return PlayedSample(f"{group}-{number}", group, seconds, hint)

    def _generate(self, step, now):
        carried = {each.id for each in step.samples if each.group in step.carried}
        ranks = sample_ranks(step.samples, step.target, carried, now, HINT_S)
        planned, planned_at = {}, -math.inf
        while now < step.asked_at + GIVE_UP_S and len(step.counted) < step.target:
            if self._plans and now - planned_at >= PLAN_INTERVAL_S:
                planned_at = now
                planned = plan_steps([step.remaining(ranks)], SLOT_COUNT, now).ranks
            waiting = [
                each for each in step.samples if each.left_s > 0 and not each.is_running
            ]
            waiting.sort(key=lambda each: planned.get(each.id, ranks[each.id]))
            free = SLOT_COUNT - sum(each.is_running for each in step.samples)
            for sample in waiting[: max(free, 0)]:
                sample.is_running = True
            step.advance(now)
            now += TICK_S
        for sample in step.samples:
            sample.is_running = False
        return now

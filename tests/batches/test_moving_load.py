"""Moves under steps of samples on engines of three speeds, with spells of slowness.

A spell is over before a move away from it pays. Rules that follow running means of the
time between events moved a third of the samples.
"""

import asyncio
import heapq
import itertools
import random
from statistics import mean

import pytest

from bankrudder.batches import Sample
from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._sample_moves import SampleMoves
from bankrudder.batches._slot_queue import SlotDemand
from bankrudder.fleet import Endpoint, EndpointDirectory, ModelState, ReportedLoad
from bankrudder.fleet._tracked import TrackedEndpoint
from bankrudder.scheduling._lasting_moves import MIN_SAVING_S
from manual_clock import ManualClock

SPEEDS = {f"e{number}": (0.6, 1.0, 1.6)[number % 3] for number in range(24)}
USUAL_GAP_S = 0.045
SLOTS = 6
SPELL_S, SPELL_SLOWDOWN, SPELL_SHARE = 0.6, 2.5, 0.15
STEP_COUNT, STEP_INTERVAL_S, STEP_SAMPLES, DUE_S = 16, 1.0, 72, 7.5


class Load:
    """The load, on engines that report their slowdown or do not."""

    def __init__(self, seed, reports_slowdown):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.reports_slowdown = reports_slowdown
        self.spells = {name: self.spell_starts() for name in SPEEDS}
        directory = EndpointDirectory("north", self.clock)
        for name in SPEEDS:
            models = (ModelState("m", 1),)
            entry = Endpoint(name, "s", "127.0.0.1:1", "north", SLOTS, models=models)
            directory.put(entry)
        self.dispatcher = Dispatcher(directory, self.clock)
        self.sequence = itertools.count()
        self.actions = []
        self.move_count = 0
        self.complete = []

    def spell_starts(self):
        usual_s = SPELL_S * (1 / SPELL_SHARE - 1)
        pauses = (self.rng.expovariate(1 / usual_s) for _ in range(50))
        return list(itertools.accumulate(SPELL_S + pause for pause in pauses))

    def slowdown(self, name):
        now = self.clock.monotonic()
        is_slow = any(0 <= now - start < SPELL_S for start in self.spells[name])
        return SPELL_SLOWDOWN if is_slow else 1.0

    def after(self, seconds, action):
        entry = (self.clock.monotonic() + seconds, next(self.sequence), action)
        heapq.heappush(self.actions, entry)

    async def run(self):
        for number in range(STEP_COUNT):
            self.after(number * STEP_INTERVAL_S, lambda step=number: self.begin(step))
        while self.actions:
            time, _, action = heapq.heappop(self.actions)
            self.clock.advance(time - self.clock.monotonic())
            action()
            await asyncio.sleep(0)
        return self

    def begin(self, step):
        """Start a step: lengths of mean 14 up to 100, with hints that are far off."""
        samples = []
        for number in range(STEP_SAMPLES):
            length = max(1, min(100, round(9.5 * self.rng.lognormvariate(0, 0.9))))
            hint = max(1, round(length * self.rng.lognormvariate(0, 0.6)))
            group = f"{step}-{number // 8}"
            sample = Sample(f"{step}-{number}", "/", (), b"", group, hint)
            samples.append((hint, LoadSample(self, step, sample, length)))
        for _, each in sorted(samples, key=lambda sample: -sample[0]):
            each.request()


class LoadSample:
    """One sample of the load."""

    def __init__(self, load, step, sample, length):
        self.load, self.step, self.length = load, step, length
        self.started_at = load.clock.monotonic()
        rank = (float(step), -float(sample.length_hint))
        self.demand = SlotDemand(sample.id, rank, "s", "m", 1, sample.group)
        due_at = self.started_at + DUE_S
        self.moves = SampleMoves("b", sample, load.dispatcher, load.clock, due_at)
        self.event_count = 0

    def request(self):
        task = asyncio.ensure_future(self.load.dispatcher.acquire(self.demand))
        task.add_done_callback(lambda done: self.begin(done.result()))

    def begin(self, engine):
        self.engine = engine
        if self.load.reports_slowdown:
            slowdown = self.load.slowdown(engine.endpoint.id)
            load = ReportedLoad(engine.in_flight, 0, SLOTS, slowdown)
            engine.note_load(load, self.load.clock.monotonic())
        self.moves.begin_run(engine, self.event_count)
        # A new connection, and the prompt and the text are read.
        self.load.after(0.02 + self.gap_s() * (1 + 0.02 * self.event_count), self.emit)

    def gap_s(self):
        name = self.engine.endpoint.id
        return USUAL_GAP_S * SPEEDS[name] * self.load.slowdown(name)

    def emit(self):
        now = self.load.clock.monotonic()
        self.event_count += 1
        move = self.moves.note_event(self.engine, self.demand, now, self.event_count)
        is_whole = self.event_count == self.length
        if move is None and not is_whole:
            self.load.after(self.gap_s(), self.emit)
            return
        self.moves.end_run(self.engine, self.event_count)
        self.engine.note_connection(9.0, now)
        self.load.dispatcher.release(self.engine, self.demand.group)
        if is_whole:
            self.load.complete.append((self.length, self.step, now - self.started_at))
        else:
            self.load.move_count += 1
            self.request()


@pytest.fixture
def known_speeds(monkeypatch):
    """Lasting speeds are known to a tenth, once an engine has sent some events."""

    def lasting_gap_s(engine):
        name = engine.endpoint.id
        error = random.Random(name).uniform(0.9, 1.1)
        return engine.event_gap_s and USUAL_GAP_S * SPEEDS[name] * error

    monkeypatch.setattr(TrackedEndpoint, "lasting_gap_s", property(lasting_gap_s))


def longest_mean_s(load):
    longest = sorted(load.complete)[-len(load.complete) // 10 :]
    return mean(seconds for _, _, seconds in longest)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_a_seventh_of_the_moves_and_steps_end_no_later(seed, known_speeds):
    by_means = await Load(seed, reports_slowdown=False).run()
    by_savings = await Load(seed, reports_slowdown=True).run()
    assert 7 * by_savings.move_count < by_means.move_count
    for load in (by_means, by_savings):
        assert len(load.complete) == STEP_COUNT * STEP_SAMPLES
        assert max(seconds for _, _, seconds in load.complete) < DUE_S
    # Less than the least saving that counts for a step is no difference.
    assert longest_mean_s(by_savings) <= longest_mean_s(by_means) + MIN_SAVING_S

"""A sample's stream tells the speed of its engine, if the engine reports a slowdown."""

from contextlib import asynccontextmanager

import pytest

from bankrudder.batches._sample_moves import EVENTS_PER_MOVE_CHECK
from bankrudder.batches._sampling import SampleGenerator
from bankrudder.batches._values import Batch, Sample
from bankrudder.crashes import FREE
from bankrudder.fleet import (
    Endpoint,
    OpenedStream,
    ReportedLoad,
    StreamEvent,
    TrackedEndpoint,
)
from bankrudder.observe import Tracer
from bankrudder.routing import Route, RouteKind, WeightedService

GAP_S = 0.04
ROUTE = Route(
    "r", "h", "/", RouteKind.ROLLOUT, (WeightedService("engines", 1.0),), 5.0, 0.4
)
SAMPLE = Sample("s1", "/generate", (), b"", "g1")
BATCH = Batch("b1", "r", "h", "m", 1, 0, (SAMPLE,))


class OneEngine:
    """A dispatcher with one engine, and the client that reaches it."""

    def __init__(self, clock, load):
        self.engine = TrackedEndpoint(Endpoint("e", "engines", "a:1", "north", 6))
        self._clock, self._load = clock, load
        self.moves = NoMoves()

    async def acquire(self, demand):
        self.engine.in_flight += 1
        return self.engine

    def release(self, target, group, is_suspect):
        target.in_flight -= 1

    def find_move(self, demand, target, sample):
        return None

    def forget(self, sample):
        pass

    @asynccontextmanager
    async def open_stream(self, endpoint, request):
        yield OpenedStream(200, (), 1, self._events(), load=self._load)

    async def _events(self):
        for number in range(3 * EVENTS_PER_MOVE_CHECK + 1):
            self._clock.advance(GAP_S)
            yield StreamEvent(number, "x", None, b"")


class NoMoves:
    """The record of moves of a dispatcher that moves no sample."""

    def note_start(self, sample, run):
        pass

    def note_end(self, sample, run):
        pass


class CalmGuard:
    """A crash guard that refuses nothing."""

    def decision(self, content, policy):
        return FREE

    def note_answer(self, content):
        pass

    def share_strikes(self, content):
        pass


@pytest.fixture
def generate(manual_clock):
    async def generate(load):
        engine = OneEngine(manual_clock, load)
        await SampleGenerator(
            BATCH,
            SAMPLE,
            lambda host, target: ROUTE,
            (0.0,),
            engine,
            engine,
            CalmGuard(),
            manual_clock,
            deadline=60.0,
            tracer=Tracer.from_config("h1"),
        ).run()
        return engine.engine

    return generate


async def test_a_report_with_a_slowdown_is_noted_with_the_gaps(generate, manual_clock):
    engine = await generate(ReportedLoad(3, 1, 6, 1.0))
    assert engine.reports_slowdown
    assert engine.lasting_gap_s == pytest.approx(GAP_S)
    assert engine.speed.gap_bin_count == 2
    # Of the four requests that it reported, one was this host's own sample.
    assert engine.in_flight == 0
    assert engine.load(manual_clock.monotonic()) == 3


async def test_a_report_without_a_slowdown_changes_nothing(generate, manual_clock):
    """Engines of earlier deployments report three figures, which were not used."""
    engine = await generate(ReportedLoad(3, 1, 6))
    assert not engine.reports_slowdown
    assert engine.other_hosts_load(manual_clock.monotonic()) == 0
    assert engine.lasting_gap_s == engine.event_gap_s == pytest.approx(GAP_S)

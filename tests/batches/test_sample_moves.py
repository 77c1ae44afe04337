"""A sample that moves goes on with its next event on the other engine."""

from contextlib import asynccontextmanager
from datetime import timedelta
from types import SimpleNamespace

import pytest

from bankrudder.batches import Batch, Sample
from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._sampling import SampleGenerator
from bankrudder.crashes import Admission, AdmissionDecision
from bankrudder.fleet import (
    Endpoint,
    EndpointDirectory,
    ModelState,
    OpenedStream,
    ReportedLoad,
    StreamEvent,
)
from bankrudder.observe import Tracer
from bankrudder.routing import Route, RouteKind, WeightedService
from bankrudder.scheduling import TokenPace

GAPS_S = {"slow": 0.09, "fast": 0.03}
LENGTH = 60
TOKENS_PER_EVENT = 70


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    for name in GAPS_S:
        models = (ModelState("m", 1),)
        directory.put(Endpoint(name, "s", "127.0.0.1:1", "north", 1, models=models))
        directory.get(name).note_event_gap(GAPS_S[name])
    return directory


def engines(directory, clock, report):
    """Return a client whose engines emit events; a slot becomes free with the first."""

    async def events(name, after):
        directory.get("fast").in_flight = name == "fast"
        for number in range(after + 1, LENGTH):
            clock.advance(GAPS_S[name])
            yield StreamEvent(number, f"text {number}", None, b"")

    @asynccontextmanager
    async def open_stream(endpoint, request):
        stream = events(endpoint.id, request.resume_after)
        yield OpenedStream(200, (), 1, stream, 0.0, report)

    return SimpleNamespace(open_stream=open_stream)


@pytest.fixture
def generate(directory, manual_clock):
    """Return a function that generates a sample which starts on the slow engine."""

    async def generate(due_s, slowdown, length_hint=LENGTH, **options):
        dispatcher = Dispatcher(directory, manual_clock)
        directory.get("fast").in_flight = 1
        sample = Sample("x", "/", (), b"", "g", length_hint)
        services = (WeightedService("s", 1.0),)
        route = Route("r", "h", "/", RouteKind.ROLLOUT, services, 9.0, 0.1)
        crashes = SimpleNamespace(
            decision=lambda *_: AdmissionDecision(Admission.FREE),
            note_answer=lambda _: None,
            share_strikes=lambda _: None,
        )
        generator = SampleGenerator(
            Batch("b", "r", "h", "m", 1, 0, (sample,)),
            sample,
            lambda host, target: route,
            (0.0,),
            dispatcher,
            engines(directory, manual_clock, ReportedLoad(1, 0, 1, slowdown)),
            crashes,
            manual_clock,
            900.0,
            Tracer.from_config("host"),
            due_at=due_s,
            **options,
        )
        await generator.run()
        return generator

    return generate


@pytest.mark.parametrize(
    ("due_s", "slowdown", "runs"),
    [(None, 1.0, 2), (5.0, 1.0, 2), (90.0, 1.0, 1), (90.0, None, 2)],
)
async def test_a_sample_leaves_a_slow_engine_if_its_step_may_be_late(
    generate, due_s, slowdown, runs
):
    generator = await generate(due_s, slowdown)
    assert generator.run_count == runs
    assert generator.text.text.split("\n") == [f"text {n}" for n in range(LENGTH)]


@pytest.mark.parametrize(("due_s", "runs"), [(5.0, 2), (90.0, 1)])
async def test_hints_count_tokens_of_which_an_event_carries_several(
    generate, due_s, runs
):
    pace = TokenPace()
    pace.note(LENGTH * TOKENS_PER_EVENT, timedelta(seconds=4), LENGTH)
    generator = await generate(
        due_s,
        1.0,
        length_hint=LENGTH * TOKENS_PER_EVENT,
        expected_events=pace.expected_events,
    )
    assert generator.run_count == runs

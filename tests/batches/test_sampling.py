"""The runs of one sample: where each begins, and how their events become one text."""

import asyncio
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import msgspec
import pytest
from structlog.testing import capture_logs

from bankrudder.batches._sampling import SampleGenerator
from bankrudder.batches._text import request_digest
from bankrudder.batches._values import Batch, Progress, Sample
from bankrudder.crashes import Admission, AdmissionDecision
from bankrudder.fleet import (
    Endpoint,
    OpenedStream,
    StreamBrokenError,
    StreamEvent,
    TrackedEndpoint,
)
from bankrudder.observe import Tracer
from bankrudder.platform._endpoint_client import HttpEndpointClient
from bankrudder.routing import Route, RouteKind, WeightedService

EVENT_COUNT = 4
ROUTE = Route(
    "r", "h", "/", RouteKind.ROLLOUT, (WeightedService("engines", 1.0),), 5.0, 0.4
)
SAMPLE = Sample("s1", "/generate", (), b"prompt", "g1")
BATCH = Batch("b1", "r", "h", "m", 1, 0, ())
WHOLE = tuple(f"x{number}" for number in range(EVENT_COUNT))


class ScriptedEngine:
    """A dispatcher with one engine, and the client that reaches it.

    ``runs`` holds the event numbers of the next runs; a run without the last event
    breaks off. Later runs begin where they are asked to. ``wrong_numbers`` holds the
    numbers that are sent for events, each of them once.
    """

    def __init__(self, runs, wrong_numbers=None):
        self.engine = TrackedEndpoint(Endpoint("e", "engines", "a:1", "north", 6))
        self.moves = SimpleNamespace(
            note_start=lambda sample, run: None, note_end=lambda sample, run: None
        )
        self.resumed_after = []
        self._runs = list(runs)
        self._wrong_numbers = dict(wrong_numbers or {})

    async def acquire(self, demand):
        return self.engine

    def release(self, target, group, is_suspect):
        pass

    def find_move(self, demand, target, sample):
        return None

    def forget(self, sample):
        pass

    @asynccontextmanager
    async def open_stream(self, endpoint, request):
        self.resumed_after.append(request.resume_after)
        numbers = range(request.resume_after + 1, EVENT_COUNT)
        if self._runs:
            numbers = self._runs.pop(0)
        yield OpenedStream(200, (), 1, self._events(numbers))

    async def _events(self, numbers):
        for number in numbers:
            sent_number = self._wrong_numbers.pop(number, number)
            yield StreamEvent(sent_number, f"x{number}", None, b"")
        if EVENT_COUNT - 1 not in numbers:
            raise StreamBrokenError("broken off")


class SecondAnswers:
    """An engine that sends each complete answer again on its kept connection."""

    def __init__(self):
        self.address = ""
        self.resumed_after = []
        self.second_answer_sent = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self._answer_next(reader, writer)

    async def _answer_next(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(": ", 1)
            for line in head.decode().split("\r\n")
            if ": " in line
        )
        await reader.readexactly(int(fields.get("content-length", 0)))
        resume_after = int(fields.get("last-event-id", -1))
        self.resumed_after.append(resume_after)
        writer.write(self._answer(fields["x-request-id"], resume_after + 1))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(self._answer(fields["x-request-id"], resume_after + 1))
        await writer.drain()
        self.second_answer_sent.set()

    def _answer(self, request_id, first):
        body = "".join(f"id: {n}\ndata: x{n}\n\n" for n in range(first, EVENT_COUNT))
        return (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request_id}\r\nX-Response-Stamp: s\r\n"
            f"X-Weight-Versions: 1\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        ).encode()


def saved(texts, next_number=None, sample=SAMPLE, **fields):
    """Return the saved progress of a sample."""
    next_number = len(texts) if next_number is None else next_number
    content = request_digest(BATCH, sample)
    return Progress(texts, (1,), next_number, False, (len(texts),), content, **fields)


async def note_lost(send, reason):
    """Record no crash."""


CALM_GUARD = SimpleNamespace(
    decision=lambda *_: AdmissionDecision(Admission.FREE),
    note_answer=lambda _: None,
    share_strikes=lambda _: None,
    note_lost=note_lost,
)


@pytest.fixture
def generator(manual_clock):
    """Return a function that makes the generator of a sample on an engine."""

    def make(engine, progress=None, sample=SAMPLE, client=None):
        return SampleGenerator(
            msgspec.structs.replace(BATCH, samples=(sample,)),
            sample,
            lambda host, target: ROUTE,
            (0.0,),
            engine,
            client or engine,
            CALM_GUARD,
            manual_clock,
            deadline=60.0,
            tracer=Tracer.from_config("h1"),
            progress=progress,
        )

    return make


async def test_the_end_of_a_run_tells_where_it_began(generator):
    """Logs did not tell whether a text went wrong at the first event of a run."""
    engine = ScriptedEngine([(0, 1), (2,)])
    sample = generator(engine)
    with capture_logs() as lines:
        await sample.run()
    ended = [line for line in lines if line["event"] == "batches: run broken off"]
    assert [(line["resume_after"], line["first_number"]) for line in ended] == [
        (-1, 0),
        (1, 2),
    ]
    assert (sample.run_start.resume_after, sample.run_start.first_number) == (2, 3)
    assert sample.resumed_event_count == 0


@pytest.mark.parametrize("numbers", [(2, 3), (3,)])
async def test_a_run_from_the_start_does_not_begin_in_the_middle(generator, numbers):
    """A late second answer to a resumed run became the whole text of a later run."""
    engine = ScriptedEngine([numbers])
    sample = generator(engine)
    await sample.run()
    assert sample.text.text.split("\n") == list(WHOLE)
    assert engine.resumed_after == [-1, -1]


@pytest.mark.parametrize(
    ("runs", "wrong_numbers", "resumed_after"),
    [
        ([], {0: 2}, [-1, -1]),
        ([], {0: 1}, [-1, -1]),
        ([], {2: 7}, [-1, 0]),
        ([(0, 1)], {2: 7}, [-1, 1, 1]),
    ],
)
async def test_an_event_with_a_wrong_number_is_generated_again(
    generator, runs, wrong_numbers, resumed_after
):
    """A first event with a wrong number was kept, and the text went on after it."""
    engine = ScriptedEngine(runs, wrong_numbers)
    sample = generator(engine)
    await sample.run()
    assert sample.text.text.split("\n") == list(WHOLE)
    assert engine.resumed_after == resumed_after


@pytest.fixture
async def second_answers():
    engine = SecondAnswers()
    await engine.start()
    yield engine
    await engine.stop()


@pytest.fixture
async def client():
    client = HttpEndpointClient()
    yield client
    await client.close()


async def test_a_late_second_answer_on_a_kept_connection_is_no_text(
    generator, second_answers, client
):
    """The rest of a text, answered twice, became the whole text of a later batch."""
    dispatcher = ScriptedEngine([])
    endpoint = Endpoint("e", "engines", second_answers.address, "north", 6)
    dispatcher.engine = TrackedEndpoint(endpoint)
    first_batch = generator(dispatcher, saved(WHOLE[:2]), client=client)
    await first_batch.run()
    assert first_batch.text.text.split("\n") == list(WHOLE)
    await second_answers.second_answer_sent.wait()
    await asyncio.sleep(0.05)
    later_batch = generator(dispatcher, client=client)
    await later_batch.run()
    assert later_batch.text.text.split("\n") == list(WHOLE)
    assert (later_batch.run_count, second_answers.resumed_after) == (1, [1, -1])


async def test_a_sample_resumes_from_its_saved_progress(generator):
    engine = ScriptedEngine([])
    sample = generator(engine, saved(WHOLE[:3]))
    assert sample.progress == saved(WHOLE[:3])
    await sample.run()
    assert sample.text.text.split("\n") == list(WHOLE)
    assert engine.resumed_after == [2]


@pytest.mark.parametrize(
    "progress",
    [
        saved(("y0", "y1"), sample=msgspec.structs.replace(SAMPLE, body=b"other")),
        saved(WHOLE[:1], next_number=3),
        Progress(WHOLE[:2], (1,), 2, False, (2,)),
    ],
    ids=["another-request", "other-numbers", "no-digest"],
)
async def test_a_sample_does_not_resume_from_text_of_another_request(
    generator, progress
):
    """Text saved under the same identifier became the beginning of other texts."""
    engine = ScriptedEngine([])
    sample = generator(engine, progress)
    await sample.run()
    assert sample.text.text.split("\n") == list(WHOLE)
    assert engine.resumed_after == [-1]

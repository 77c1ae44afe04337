"""Tests of the client for trainers: accepted samples, retries and acks."""

import asyncio

import grpc
import pytest

from bankrudder.client._trainer import Trainer, TrainerSettings
from bankrudder.client._trainer_connection import GrpcTrainerConnection
from bankrudder.exceptions import (
    InvalidError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.wire import MAX_REQUEST_BYTES
from bankrudder.world import SampleSlot

UNREACHABLE_ADDRESS = "127.0.0.1:1"
PROMPTS = (b"a", b"b")
LOST_ANSWER = OutcomeUnknownError(FailureReason.ANSWER_BROKEN, "lost")
END = pb.StepEvent(end=pb.StepEnd(delivered=0))


def event(group, index, *, version=5, sample_id="id"):
    sample = pb.Sample(
        slot=pb.SampleSlot(group=group, index=index),
        versions=[pb.VersionSpan(version=version, events=1)],
        sample_id=sample_id,
    )
    return pb.StepEvent(sample=sample)


ALL_SAMPLES = [event(group, index) for group in range(2) for index in range(2)]


class ScriptedConnections:
    """Makes connections whose streams follow one list of scripts."""

    def __init__(self, *scripts):
        self.scripts, self.open_requests, self.acked = list(scripts), [], []
        self.addresses, self.publish_errors, self.ack_errors = [], [], []
        self.ack_addresses, self.acked_versions = [], []

    def connect(self, address):
        return ScriptedConnection(self, address)


class ScriptedConnection:
    def __init__(self, connections, address):
        self.connections, self.address = connections, address

    async def open_step(self, request):
        self.connections.addresses.append(self.address)
        self.connections.open_requests.append(request)
        for reply in self.connections.scripts.pop(0):
            if isinstance(reply, Exception):
                raise reply
            yield reply

    async def ack(self, request):
        self.connections.ack_addresses.append(self.address)
        if self.connections.ack_errors:
            raise self.connections.ack_errors.pop(0)
        self.connections.acked.append([(s.group, s.index) for s in request.slots])
        self.connections.acked_versions.append(list(request.opened_versions))

    async def publish(self, request):
        if self.connections.publish_errors:
            raise self.connections.publish_errors.pop(0)

    async def close(self):
        pass


class SleepClock:
    """A clock that only `sleep` advances."""

    def __init__(self):
        self.now, self.waits = 0.0, []

    def monotonic(self):
        return self.now

    async def sleep(self, seconds):
        self.waits.append(seconds)
        self.now += seconds
        await asyncio.sleep(0)


@pytest.fixture
def clock():
    return SleepClock()


def make_trainer(connections, clock, **settings):
    return Trainer(
        ["one", "two"], connections.connect, clock,
        settings=TrainerSettings(**settings), sleep=clock.sleep,
    )  # fmt: skip


async def run_step(trainer, **options):
    step = trainer.step("job", 7, PROMPTS, 2, **options)
    return [(s.slot.group, s.slot.index, s.sample_id) async for s in step]


def held_slots(open_request):
    return [(slot.group, slot.index) for slot in open_request.held]


async def test_a_duplicate_sample_is_dropped_and_counted(clock):
    connections = ScriptedConnections(
        [*ALL_SAMPLES, event(0, 0, sample_id="duplicate"), END]
    )
    trainer = make_trainer(connections, clock)
    assert len(await run_step(trainer)) == 4
    assert trainer.duplicates_dropped == 1


async def test_a_broken_stream_is_reopened_at_another_node_with_the_held_slots(clock):
    connections = ScriptedConnections(
        [*ALL_SAMPLES[:2], LOST_ANSWER], [LOST_ANSWER], [*ALL_SAMPLES[2:], END]
    )
    assert len(await run_step(make_trainer(connections, clock))) == 4
    assert connections.addresses == ["one", "two", "one"]
    assert [held_slots(o) for o in connections.open_requests] == [
        [],
        *[[(0, 0), (0, 1)]] * 2,
    ]


async def test_a_stream_without_an_end_event_is_opened_again(clock):
    connections = ScriptedConnections(ALL_SAMPLES[:3], [ALL_SAMPLES[3], END])
    assert len(await run_step(make_trainer(connections, clock))) == 4
    assert len(connections.open_requests) == 2


async def test_a_refused_step_is_retried_after_the_requested_delay(clock):
    refusal = NotRunError(FailureReason.OVERLOADED, "", retry_after_s=7.0)
    connections = ScriptedConnections([refusal], [*ALL_SAMPLES, END])
    await run_step(make_trainer(connections, clock))
    assert clock.waits == [7.0]


async def test_a_step_in_the_wrong_place_is_retried_at_an_allowed_address(clock):
    addresses = ("three", "four")
    wrong = NotRunError(FailureReason.WRONG_PLACE, allowed_addresses=addresses)
    connections = ScriptedConnections([wrong], [*ALL_SAMPLES, END])
    await run_step(make_trainer(connections, clock))
    assert connections.addresses == ["one", "three"]


async def test_a_stale_sample_is_dropped_and_requested_again(clock):
    fresh = event(0, 0, version=8, sample_id="fresh")
    connections = ScriptedConnections([event(0, 0, version=6), END], [fresh, END])
    trainer = make_trainer(connections, clock)
    await trainer.publish("job", 8)
    assert await run_step(trainer, max_staleness=1) == [(0, 0, "fresh")]
    assert connections.open_requests[0].current_version == 8
    assert trainer.stale_dropped == 1


async def test_a_version_published_during_a_step_makes_later_old_samples_stale(clock):
    old, new = event(0, 1, version=5), event(0, 1, version=8)
    connections = ScriptedConnections([event(0, 0, version=5), old, END], [new, END])
    trainer = make_trainer(connections, clock)
    slots = []
    async for sample in trainer.step("job", 7, PROMPTS, 2):
        slots.append((sample.slot, sample.oldest_version))
        if len(slots) == 1:
            await trainer.publish("job", 8)
    assert slots == [(SampleSlot(0, 0), 5), (SampleSlot(0, 1), 8)]


async def test_consumed_samples_are_acked_at_the_end_with_the_opened_versions(clock):
    connections = ScriptedConnections(
        [event(0, 0, version=6), END], [*ALL_SAMPLES[:1], *ALL_SAMPLES[1:], END]
    )
    trainer = make_trainer(connections, clock)
    async for sample in trainer.step("job", 7, PROMPTS, 2, max_staleness=3):
        if sample.slot == SampleSlot(0, 0):
            await trainer.publish("job", 8)
    assert connections.acked == [[(0, 0)]]
    assert connections.acked_versions == [[0]]


async def test_an_abandoned_step_is_not_acked(clock):
    connections = ScriptedConnections([*ALL_SAMPLES, END])
    step = make_trainer(connections, clock).step("job", 7, PROMPTS, 2)
    await anext(step)
    await step.aclose()
    assert connections.acked == []


async def test_a_lost_ack_is_sent_again_through_another_entry_node(clock):
    connections = ScriptedConnections([*ALL_SAMPLES, END])
    connections.ack_errors = [LOST_ANSWER]
    await run_step(make_trainer(connections, clock))
    assert len(connections.acked[0]) == 4
    assert connections.ack_addresses == ["one", "two"]


@pytest.mark.parametrize("method", ["ack", "publish"])
async def test_a_request_over_the_size_limit_is_not_sent(method):
    connection = GrpcTrainerConnection.from_config(UNREACHABLE_ADDRESS, "secret")
    large = "x" * (MAX_REQUEST_BYTES + 1)
    kind = pb.AckRequest if method == "ack" else pb.PublishRequest
    with pytest.raises(InvalidError) as caught:
        await getattr(connection, method)(kind(job=large))
    assert caught.value.failure.reason is FailureReason.TOO_LARGE
    await connection.close()


async def test_an_invalid_step_raises_at_once(clock):
    connections = ScriptedConnections([InvalidError(FailureReason.UNKNOWN_JOB, "")])
    with pytest.raises(InvalidError):
        await run_step(make_trainer(connections, clock))


async def test_a_sample_over_the_size_limit_raises_at_once(clock):
    too_large = OutcomeUnknownError(FailureReason.TOO_LARGE, "16 MiB")
    connections = ScriptedConnections([too_large], [*ALL_SAMPLES, END])
    with pytest.raises(OutcomeUnknownError):
        await run_step(make_trainer(connections, clock))
    assert len(connections.open_requests) == 1


async def test_the_last_failure_is_raised_after_patience_s_without_progress(clock):
    connections = ScriptedConnections(*[[LOST_ANSWER]] * 100)
    with pytest.raises(OutcomeUnknownError):
        await run_step(make_trainer(connections, clock, patience_s=20.0))
    assert clock.now > 20.0


async def test_publish_is_retried_until_the_outcome_is_known(clock):
    connections = ScriptedConnections()
    connections.publish_errors = [LOST_ANSWER, NotRunError(FailureReason.STOPPING)]
    await make_trainer(connections, clock).publish("job", 8)
    assert connections.publish_errors == []


class Servicer(pb_grpc.TrainersServicer):
    def __init__(self):
        self.metadata, self.failure = None, None

    async def OpenStep(self, request, context):  # noqa: N802
        self.metadata = dict(context.invocation_metadata())
        yield ALL_SAMPLES[0]
        failure = pb.Failure(
            kind=pb.FAILURE_KIND_NOT_RUN, reason="stopping", retry_after_ms=1500
        )
        trailer = (("bankrudder-failure-bin", failure.SerializeToString()),)
        await context.abort(grpc.StatusCode.UNAVAILABLE, "", trailer)


async def test_the_grpc_connection_sends_metadata_and_decodes_failures():
    server, servicer = grpc.aio.server(), Servicer()
    pb_grpc.add_TrainersServicer_to_server(servicer, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    connection = GrpcTrainerConnection.from_config(
        f"127.0.0.1:{port}", "secret", "baskets"
    )
    stream = connection.open_step(pb.OpenStepRequest())
    assert await anext(stream) == ALL_SAMPLES[0]
    with pytest.raises(NotRunError) as caught:
        await anext(stream)
    assert caught.value.failure.reason is FailureReason.STOPPING
    assert caught.value.failure.retry_after_s == 1.5
    assert servicer.metadata["authorization"] == "Bearer secret"
    assert servicer.metadata["bankrudder-data-class"] == "baskets"
    with pytest.raises(OutcomeUnknownError):
        await connection.publish(pb.PublishRequest())
    await connection.close()
    await server.stop(None)

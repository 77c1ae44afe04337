"""Tests of the client for callers: retries, keys, complete answers and errors."""

import asyncio
import random
import time

import grpc.aio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.calls._keys import key_timestamp
from bankrudder.client import Caller, CallerSettings, new_key
from bankrudder.client._channel import MAX_MESSAGE_BYTES
from bankrudder.client._retries import GiveUp, RetryPolicy
from bankrudder.exceptions import (
    ExpiredError,
    FailedError,
    InvalidError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import Failure, FailureKind, FailureReason
from bankrudder.rpc._failures import abort_with
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc

BURST_KEY_COUNT = 5_000
UNREACHABLE_ADDRESS = "127.0.0.1:1"
COMPLETE_ANSWER = [
    pb.CallEvent(chunk=pb.AnswerChunk(offset=0, data=b"ab")),
    pb.CallEvent(chunk=pb.AnswerChunk(offset=2, data=b"c")),
    pb.CallEvent(end=pb.AnswerEnd(length=3, versions=[7], endpoint="e")),
]


def failure(kind, reason=FailureReason.OVERLOADED, retry_after_s=0.01, addresses=()):
    return Failure(
        kind, reason, retry_after_s=retry_after_s, allowed_addresses=addresses
    )


class ScriptedCalls(pb_grpc.CallsServicer):
    """Answers each call with the next entry of a script and records its key."""

    def __init__(self):
        self.script = []
        self.keys = []
        self.called = asyncio.Event()
        self.on_call = lambda: None

    async def Call(self, request, context):  # noqa: N802 - gRPC requires the name
        self.keys.append(request.key)
        self.called.set()
        self.on_call()
        reply = self.script.pop(0)
        if isinstance(reply, Failure):
            await abort_with(context, reply)
        for event in reply:
            if event is None:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "broke")
            yield event


@pytest.fixture
async def node():
    """Run a node whose answers to calls are scripted."""
    server = grpc.aio.server()
    calls = ScriptedCalls()
    pb_grpc.add_CallsServicer_to_server(calls, server)
    port = server.add_insecure_port("127.0.0.1:0")
    calls.address = f"127.0.0.1:{port}"
    await server.start()
    yield calls
    await server.stop(None)


@pytest.fixture
async def caller(node):
    async with Caller.from_config((node.address,), "token") as client:
        yield client


def test_keys_generated_in_a_burst_are_unique_and_not_in_the_future():
    keys = [new_key() for _ in range(BURST_KEY_COUNT)]
    assert len(set(keys)) == BURST_KEY_COUNT
    assert key_timestamp(keys[-1]) <= time.time()


async def test_chunks_are_joined_into_the_answer(node, caller):
    node.script = [COMPLETE_ANSWER]
    answer = await caller.call("desk", b"x")
    assert (answer.data, answer.versions, answer.key) == (b"abc", (7,), node.keys[0])


@pytest.mark.parametrize(
    "events",
    [
        COMPLETE_ANSWER[:2],
        COMPLETE_ANSWER[1:],
        [COMPLETE_ANSWER[0], COMPLETE_ANSWER[2]],
    ],
)
async def test_an_incomplete_answer_is_requested_again(node, caller, events):
    """Without its end event or one of its chunks, an answer is not returned."""
    node.script = [events, COMPLETE_ANSWER]
    assert (await caller.call("desk", b"x")).data == b"abc"
    assert node.keys[0] == node.keys[1]


async def test_an_answer_that_is_always_incomplete_raises(node, manual_clock):
    """Only the attempts advance the clock, so the time to connect has no influence."""
    node.script = [COMPLETE_ANSWER[:2]] * 3
    node.on_call = lambda: manual_clock.advance(12.0)
    caller = Caller.from_config((node.address,), "token", clock=manual_clock)
    async with caller:
        with pytest.raises(OutcomeUnknownError):
            await caller.call("desk", b"x", timeout_s=30.0)
    assert len(node.keys) == 3
    assert len(set(node.keys)) == 1


async def test_a_refusal_and_a_broken_connection_are_retried_with_one_key(node, caller):
    node.script = [
        failure(FailureKind.NOT_RUN),
        [COMPLETE_ANSWER[0], None],
        COMPLETE_ANSWER,
    ]
    await caller.call("desk", b"x")
    assert len(node.keys) == 3
    assert len(set(node.keys)) == 1


async def test_not_run_after_a_broken_connection_is_reported_as_outcome_unknown(
    node, caller
):
    """The first attempt may have run, so NOT_RUN would be wrong for the call."""
    refusal = failure(FailureKind.NOT_RUN, retry_after_s=None)
    node.script = [[COMPLETE_ANSWER[0], None], refusal]
    with pytest.raises(OutcomeUnknownError):
        await caller.call("desk", b"x")


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        (FailureKind.FAILED, FailedError),
        (FailureKind.INVALID, InvalidError),
        (FailureKind.EXPIRED, ExpiredError),
    ],
)
async def test_a_failure_that_is_not_retryable_is_raised_at_once(
    node, caller, kind, error
):
    node.script = [failure(kind)]
    with pytest.raises(error) as raised:
        await caller.call("desk", b"x")
    assert raised.value.failure == failure(kind)


async def test_the_next_entry_node_is_tried_when_one_is_unreachable(node):
    settings = CallerSettings(connect_timeout_s=0.2)
    node.script = [COMPLETE_ANSWER] * 2
    addresses = (UNREACHABLE_ADDRESS, node.address)
    async with Caller.from_config(addresses, "token", settings=settings) as client:
        answers = [await client.call("desk", b"x") for _ in range(2)]
    assert [a.data for a in answers] == [b"abc"] * 2


async def test_without_a_connection_the_failure_is_not_run(node):
    settings = CallerSettings(connect_timeout_s=0.05)
    async with Caller.from_config(
        (UNREACHABLE_ADDRESS,), "token", settings=settings
    ) as client:
        with pytest.raises(NotRunError):
            await client.call("desk", b"x", timeout_s=0.2)


async def test_a_call_in_the_wrong_place_is_retried_at_an_allowed_address(node, caller):
    allowed = (node.address,)
    misplaced = failure(FailureKind.NOT_RUN, FailureReason.WRONG_PLACE, None, allowed)
    node.script = [misplaced, COMPLETE_ANSWER]
    assert (await caller.call("desk", b"x")).data == b"abc"


@given(
    st.lists(st.tuples(st.sampled_from(FailureKind), st.sampled_from(FailureReason)))
)
def test_not_run_is_reported_only_if_every_attempt_ended_so(failures):
    retry_policy = RetryPolicy(1e9, random.Random(1))
    may_have_run = False
    for kind, reason in failures:
        may_have_run |= kind is not FailureKind.NOT_RUN
        decision = retry_policy.decide(failure(kind, reason), 0.0)
        if isinstance(decision, GiveUp):
            assert decision.failure.kind is not FailureKind.NOT_RUN or not may_have_run
            return


async def test_a_key_given_by_the_user_is_used(node, caller):
    node.script = [failure(FailureKind.NOT_RUN), COMPLETE_ANSWER]
    user_key = new_key()
    assert (await caller.call("desk", b"x", key=user_key)).key == user_key
    assert node.keys == [user_key, user_key]


async def test_a_cancelled_call_is_not_retried(node, caller):
    node.script = [failure(FailureKind.NOT_RUN, retry_after_s=0.05)]
    call = asyncio.create_task(caller.call("desk", b"x"))
    await node.called.wait()
    call.cancel()
    await asyncio.wait([call])
    assert len(node.keys) == 1


async def test_a_request_over_the_size_limit_is_not_sent(node, caller):
    with pytest.raises(InvalidError) as caught:
        await caller.call("desk", bytes(9 << 20))
    assert caught.value.failure.reason is FailureReason.TOO_LARGE
    assert node.keys == []


@pytest.mark.parametrize("timeout_s", [0.0, -1.0])
async def test_a_call_with_an_expired_deadline_is_not_sent(node, caller, timeout_s):
    with pytest.raises(ExpiredError) as caught:
        await caller.call("desk", b"x", timeout_s=timeout_s)
    assert caught.value.failure.reason is FailureReason.DEADLINE_PASSED
    assert node.keys == []


async def test_an_answer_over_the_size_limit_is_not_requested_again(node, caller):
    data = bytes(MAX_MESSAGE_BYTES)
    node.script = [[pb.CallEvent(chunk=pb.AnswerChunk(offset=0, data=data))]]
    with pytest.raises(OutcomeUnknownError) as caught:
        await caller.call("desk", b"x")
    assert caught.value.failure.reason is FailureReason.TOO_LARGE
    assert str(MAX_MESSAGE_BYTES) in caught.value.failure.detail
    assert len(node.keys) == 1

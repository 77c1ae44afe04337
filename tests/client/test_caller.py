"""The client of callers: repeats, keys, end marks and typed errors."""

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
from bankrudder.client._repeats import GiveUp, Repeats
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

BURST_KEYS = 5_000
NOBODY = "127.0.0.1:1"
WHOLE = [
    pb.CallEvent(chunk=pb.AnswerChunk(offset=0, data=b"ab")),
    pb.CallEvent(chunk=pb.AnswerChunk(offset=2, data=b"c")),
    pb.CallEvent(end=pb.AnswerEnd(length=3, versions=[7], endpoint="e")),
]


def failure(kind, reason=FailureReason.OVERLOADED, retry_after_s=0.01, addresses=()):
    return Failure(
        kind, reason, retry_after_s=retry_after_s, allowed_addresses=addresses
    )


class ScriptedCalls(pb_grpc.CallsServicer):
    """Answers call after call by a script, and keeps their keys."""

    def __init__(self):
        self.script = []
        self.keys = []
        self.called = asyncio.Event()
        self.on_call = lambda: None

    async def Call(self, request, context):  # noqa: N802 - gRPC's name
        self.keys.append(request.key)
        self.called.set()
        self.on_call()
        step = self.script.pop(0)
        if isinstance(step, Failure):
            await abort_with(context, step)
        for event in step:
            if event is None:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "broke")
            yield event


@pytest.fixture
async def node():
    """A node whose calls are scripted."""
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


def test_keys_minted_in_a_burst_differ_and_are_not_from_the_future():
    keys = [new_key() for _ in range(BURST_KEYS)]
    assert len(set(keys)) == BURST_KEYS
    assert key_timestamp(keys[-1]) <= time.time()


async def test_an_answer_is_put_together_and_checked(node, caller):
    node.script = [WHOLE]
    answer = await caller.call("desk", b"x")
    assert (answer.data, answer.versions, answer.key) == (b"abc", (7,), node.keys[0])


@pytest.mark.parametrize("events", [WHOLE[:2], WHOLE[1:], [WHOLE[0], WHOLE[2]]])
async def test_an_answer_that_is_not_whole_is_asked_for_again(node, caller, events):
    """A missing end mark or part is never passed off as an answer."""
    node.script = [events, WHOLE]
    assert (await caller.call("desk", b"x")).data == b"abc"
    assert node.keys[0] == node.keys[1]


async def test_an_answer_that_stays_broken_raises(node, manual_clock):
    """However long a connection takes: only the attempts use up the time."""
    node.script = [WHOLE[:2]] * 3
    node.on_call = lambda: manual_clock.advance(12.0)
    caller = Caller.from_config((node.address,), "token", clock=manual_clock)
    async with caller:
        with pytest.raises(OutcomeUnknownError):
            await caller.call("desk", b"x", timeout_s=30.0)
    assert len(node.keys) == 3
    assert len(set(node.keys)) == 1


async def test_a_refusal_and_a_broken_connection_are_repeated_with_one_key(
    node, caller
):
    node.script = [failure(FailureKind.NOT_RUN), [WHOLE[0], None], WHOLE]
    await caller.call("desk", b"x")
    assert len(node.keys) == 3
    assert len(set(node.keys)) == 1


async def test_a_refusal_after_a_broken_connection_is_not_believed(node, caller):
    """The first attempt may have run, so the user is not told NOT_RUN."""
    refusal = failure(FailureKind.NOT_RUN, retry_after_s=None)
    node.script = [[WHOLE[0], None], refusal]
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
async def test_a_final_failure_is_raised_at_once(node, caller, kind, error):
    node.script = [failure(kind)]
    with pytest.raises(error) as raised:
        await caller.call("desk", b"x")
    assert raised.value.failure == failure(kind)


async def test_the_next_entry_is_tried_when_one_cannot_be_reached(node):
    settings = CallerSettings(connect_timeout_s=0.2)
    node.script = [WHOLE] * 2
    addresses = (NOBODY, node.address)
    async with Caller.from_config(addresses, "token", settings=settings) as client:
        answers = [await client.call("desk", b"x") for _ in range(2)]
    assert [a.data for a in answers] == [b"abc"] * 2


async def test_without_a_connection_nothing_ran(node):
    settings = CallerSettings(connect_timeout_s=0.05)
    async with Caller.from_config((NOBODY,), "token", settings=settings) as client:
        with pytest.raises(NotRunError):
            await client.call("desk", b"x", timeout_s=0.2)


async def test_a_misplaced_call_goes_where_it_may(node, caller):
    allowed = (node.address,)
    misplaced = failure(FailureKind.NOT_RUN, FailureReason.WRONG_PLACE, None, allowed)
    node.script = [misplaced, WHOLE]
    assert (await caller.call("desk", b"x")).data == b"abc"


@given(
    st.lists(st.tuples(st.sampled_from(FailureKind), st.sampled_from(FailureReason)))
)
def test_not_run_reaches_the_user_only_if_every_attempt_ended_so(failures):
    repeats = Repeats(1e9, random.Random(1))
    may_have_run = False
    for kind, reason in failures:
        may_have_run |= kind is not FailureKind.NOT_RUN
        step = repeats.after(failure(kind, reason), 0.0)
        if isinstance(step, GiveUp):
            assert step.failure.kind is not FailureKind.NOT_RUN or not may_have_run
            return


async def test_a_key_of_the_users_own_is_kept(node, caller):
    node.script = [failure(FailureKind.NOT_RUN), WHOLE]
    own = new_key()
    assert (await caller.call("desk", b"x", key=own)).key == own
    assert node.keys == [own, own]


async def test_calls_that_were_cancelled_are_not_repeated(node, caller):
    node.script = [failure(FailureKind.NOT_RUN, retry_after_s=0.05)]
    call = asyncio.create_task(caller.call("desk", b"x"))
    await node.called.wait()
    call.cancel()
    await asyncio.wait([call])
    assert len(node.keys) == 1


async def test_a_request_that_no_node_would_read_is_not_sent(node, caller):
    with pytest.raises(InvalidError) as caught:
        await caller.call("desk", bytes(9 << 20))
    assert caught.value.failure.reason is FailureReason.TOO_LARGE
    assert node.keys == []


@pytest.mark.parametrize("timeout_s", [0.0, -1.0])
async def test_a_deadline_that_is_past_sends_nothing(node, caller, timeout_s):
    with pytest.raises(ExpiredError) as caught:
        await caller.call("desk", b"x", timeout_s=timeout_s)
    assert caught.value.failure.reason is FailureReason.DEADLINE_PASSED
    assert node.keys == []


async def test_an_answer_that_is_too_large_to_read_is_not_asked_for_again(node, caller):
    data = bytes(MAX_MESSAGE_BYTES)
    node.script = [[pb.CallEvent(chunk=pb.AnswerChunk(offset=0, data=data))]]
    with pytest.raises(OutcomeUnknownError) as caught:
        await caller.call("desk", b"x")
    assert caught.value.failure.reason is FailureReason.TOO_LARGE
    assert str(MAX_MESSAGE_BYTES) in caught.value.failure.detail
    assert len(node.keys) == 1

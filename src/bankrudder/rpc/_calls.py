"""gRPC service ``Calls``: runs the calls of callers and streams the answers."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Self

from bankrudder.calls import AnswerChunk, AnswerEnd, CallService, CallSpec
from bankrudder.exceptions import ExpiredError, InvalidError
from bankrudder.failures import FailureReason
from bankrudder.observe import Metrics, Tracer
from bankrudder.rpc._context import RpcContext
from bankrudder.rpc._identity import data_class_of, metadata_value
from bankrudder.rpc._timing import UNKNOWN_POOL, CallTimer
from bankrudder.rpc._types import ServicerContext
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.wire import TRACE_KEY
from bankrudder.world import Caller, CallKey, Clock, PoolName

DEFAULT_DEADLINE_S = 30.0
"""Time limit of a call whose client sets no deadline."""


class CallsServicer(pb_grpc.CallsServicer):
    """Validates call requests and runs them through the `CallService`."""

    def __init__(
        self,
        rpc: RpcContext,
        calls: CallService,
        tracer: Tracer,
        clock: Clock,
        timer: CallTimer,
    ):
        self._rpc = rpc
        self._calls = calls
        self._tracer = tracer
        self._clock = clock
        self._timer = timer

    @classmethod
    def from_config(
        cls,
        rpc: RpcContext,
        calls: CallService,
        tracer: Tracer,
        metrics: Metrics,
        clock: Clock,
    ) -> Self:
        """Make a servicer that records the duration of calls in `metrics`."""
        return cls(rpc, calls, tracer, clock, CallTimer.from_config(metrics, clock))

    async def Call(
        self, request: pb.CallRequest, context: ServicerContext
    ) -> AsyncIterator[pb.CallEvent]:
        """Run a call; stream the chunks of its answer, then an ``AnswerEnd``."""
        size_bytes = request.ByteSize()
        parent = metadata_value(context, TRACE_KEY)
        with (
            self._timer.timing(self._pool_label(request.pool)),
            self._tracer.span("rpc.call", parent=parent, pool=request.pool) as span,
            self._rpc.admitted(context, size_bytes) as caller,
        ):
            deadline = self._clock.monotonic() + _remaining_s(context)
            spec = _call_spec(request, context, caller, deadline, span.traceparent)
            async with aclosing(self._calls.call(spec)) as events:
                async for event in events:
                    yield _event_to_proto(event)

    def _pool_label(self, name: str) -> str:
        return name if self._rpc.has_pool(PoolName(name)) else UNKNOWN_POOL


def _call_spec(
    request: pb.CallRequest,
    context: ServicerContext,
    caller: Caller,
    deadline: float,
    trace: str,
) -> CallSpec:
    data_class = data_class_of(context, caller)
    if not request.pool:
        raise InvalidError(
            FailureReason.UNKNOWN_POOL, "the pool name is missing", field="pool"
        )
    if request.max_tokens < 0:
        raise InvalidError(
            FailureReason.BAD_REQUEST, "must be 0 or more", field="max_tokens"
        )
    return CallSpec(
        caller=caller,
        data_class=data_class,
        pool=PoolName(request.pool),
        method=request.method,
        payload=request.payload,
        key=CallKey(request.key),
        max_tokens=request.max_tokens,
        deadline=deadline,
        trace=trace,
    )


def _remaining_s(context: ServicerContext) -> float:
    remaining: float | None = context.time_remaining()
    if remaining is None:
        return DEFAULT_DEADLINE_S
    if remaining <= 0:
        raise ExpiredError(
            FailureReason.DEADLINE_PASSED, "the deadline passed before the call ran"
        )
    return remaining


def _event_to_proto(event: AnswerChunk | AnswerEnd) -> pb.CallEvent:
    match event:
        case AnswerChunk():
            chunk = pb.AnswerChunk(offset=event.offset, data=event.data)
            return pb.CallEvent(chunk=chunk)
        case AnswerEnd():
            end = pb.AnswerEnd(
                length=event.length,
                versions=event.versions,
                endpoint=event.endpoint,
                replayed=event.replayed,
            )
            return pb.CallEvent(end=end)

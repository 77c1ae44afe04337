"""Service for calls: checks, admits and forwards them, and yields their answers."""

from collections.abc import AsyncGenerator

import structlog
import uuid_utils

from bankrudder.calls._admission import AdmissionController, ClassPolicy, QueueKey
from bankrudder.calls._keys import (
    RequestIdentity,
    check_retry_window,
    fingerprint_of,
    key_timestamp,
    record_name,
)
from bankrudder.calls._once import AtMostOnceRunner
from bankrudder.calls._values import Answer, AnswerChunk, AnswerEnd, CallSpec
from bankrudder.config import ConfigurationService, PlacementGuard, pool_route
from bankrudder.exceptions import (
    BankrudderError,
    ExpiredError,
    FailedError,
    InvalidError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from bankrudder.fleet import Generation, StreamBrokenError
from bankrudder.relay import (
    Forwarder,
    IncomingRequest,
    NotRun,
    RejectReason,
    Relayed,
    Reply,
    StreamForwarder,
    StreamStarted,
    Unanswered,
)
from bankrudder.routing import ModelName, Route
from bankrudder.world import CallerClass, Clock, ModelVersion, Pool, PoolKind

MAX_PAYLOAD_BYTES = 4 << 20
"""Largest payload that is accepted."""

CHUNK_BYTES = 64 << 10
"""Largest chunk of an answer; about ten of them fill the flow-control window of a
connection."""

_log = structlog.get_logger("calls")


class CallService:
    """Checks and admits calls, forwards them to endpoints and yields the answers."""

    def __init__(
        self,
        configuration: ConfigurationService,
        placement: PlacementGuard,
        admission: AdmissionController,
        forwarder: Forwarder,
        streams: StreamForwarder,
        once: AtMostOnceRunner,
        clock: Clock,
    ):
        self._configuration = configuration
        self._placement = placement
        self._admission = admission
        self._forwarder = forwarder
        self._streams = streams
        self._once = once
        self._clock = clock

    async def call(
        self, spec: CallSpec
    ) -> AsyncGenerator[AnswerChunk | AnswerEnd, None]:
        """Yield the answer in chunks, then the `AnswerEnd`.

        Raises
        ------
        BankrudderError
            If there is no complete answer; the kind of the failure tells what is
            known about the request.
        """
        index = self._configuration.index
        pool = index.pool(spec.pool)
        self._check_spec(spec)
        data_centres = index.allowed(spec.data_class)
        self._placement.check(data_centres)
        route = pool_route(pool, tuple(sorted(data_centres)))
        own_class = index.caller_class(spec.caller.caller_class)
        policy = ClassPolicy.from_config(own_class, index.configuration.caller_classes)
        request = self._build_request(spec, pool, own_class)
        if pool.kind is PoolKind.ENGINE:
            self._refuse_crashing_request(request)
            queue_key = QueueKey(route.services[0].service, route.data_centres)
            async with self._admission.admitted(queue_key, policy, spec.deadline):
                async for event in self._stream_answer(request, route):
                    yield event
            return
        answer, is_replayed = await self._service_answer(
            spec, request, pool, route, policy
        )
        for chunk in _chunks(answer.body):
            yield chunk
        yield AnswerEnd(len(answer.body), (), answer.endpoint, is_replayed)

    def _check_spec(self, spec: CallSpec) -> None:
        if spec.data_class not in spec.caller.data_classes:
            raise InvalidError(
                FailureReason.NOT_ALLOWED,
                f"caller {spec.caller.name} may not use data class {spec.data_class}",
                field="data_class",
            )
        if len(spec.payload) > MAX_PAYLOAD_BYTES:
            raise InvalidError(
                FailureReason.TOO_LARGE,
                f"payload is {len(spec.payload)} bytes, limit {MAX_PAYLOAD_BYTES}",
                field="payload",
            )

    def _refuse_crashing_request(self, request: IncomingRequest) -> None:
        """Refuse a request that crashed endpoints before it waits for a slot."""
        refusal = self._forwarder.refusal(request)
        if refusal is not None:
            raise _error_of(refusal)

    def _build_request(
        self, spec: CallSpec, pool: Pool, own_class: CallerClass
    ) -> IncomingRequest:
        generation = None
        if pool.kind is PoolKind.ENGINE:
            generation = Generation(
                ModelName(pool.model), spec.max_tokens, own_class.priority
            )
        path = pool.path + spec.method
        return IncomingRequest(
            request_id=spec.key or str(uuid_utils.uuid7()),
            method="POST",
            target=path,
            path=path,
            host=pool.host or pool.name,
            headers=(),
            body=spec.payload,
            deadline=spec.deadline,
            received_at=self._clock.monotonic(),
            generation=generation,
            trace=spec.trace,
            identity=(spec.caller.workspace or spec.caller.name, spec.data_class),
            workspace=spec.caller.workspace,
            priority=own_class.priority,
        )

    async def _service_answer(
        self,
        spec: CallSpec,
        request: IncomingRequest,
        pool: Pool,
        route: Route,
        policy: ClassPolicy,
    ) -> tuple[Answer, bool]:
        queue_key = QueueKey(route.services[0].service, route.data_centres)

        async def run() -> Answer:
            # Not checked earlier: a recorded key must get its recorded outcome.
            self._refuse_crashing_request(request)
            async with self._admission.admitted(queue_key, policy, spec.deadline):
                reply = await self._forwarder.forward(request, route)
            return _answer_of(reply)

        if pool.contract.idempotent:
            return await run(), False
        key_timestamp_s = key_timestamp(spec.key)
        check_retry_window(
            key_timestamp_s, self._clock.wall(), pool.contract.retry_window_s
        )
        identity = RequestIdentity(
            spec.caller.name, spec.data_class, spec.pool, spec.method, spec.payload
        )
        name = record_name(spec.caller.name, spec.key)
        answer, is_replayed = await self._once.run(
            name, fingerprint_of(identity), spec.deadline, run
        )
        if is_replayed:
            _log.info("calls: answer replayed", call=spec.key, pool=spec.pool)
        return answer, is_replayed

    async def _stream_answer(
        self, request: IncomingRequest, route: Route
    ) -> AsyncGenerator[AnswerChunk | AnswerEnd, None]:
        started = await self._streams.forward(request, route, route.services[0].service)
        if not isinstance(started, StreamStarted):
            raise _error_of(started)
        offset = 0
        versions: list[ModelVersion] = []
        version = started.version
        try:
            async for event in started.events:
                version = event.version or version
                if version is not None and version not in versions:
                    versions.append(version)
                data = event.data.encode()
                yield AnswerChunk(offset, data)
                offset += len(data)
        except StreamBrokenError as error:
            raise OutcomeUnknownError(
                FailureReason.ANSWER_BROKEN, str(error), retry_after_s=0.1
            ) from None
        yield AnswerEnd(offset, tuple(versions))


def _chunks(body: bytes) -> list[AnswerChunk]:
    return [
        AnswerChunk(start, body[start : start + CHUNK_BYTES])
        for start in range(0, len(body), CHUNK_BYTES)
    ]


def _answer_of(reply: Reply) -> Answer:
    match reply:
        case Relayed(status=status, body=body, endpoint=endpoint) if status < 300:
            return Answer(body, endpoint)
        case _:
            raise _error_of(reply)


def _error_of(reply: Reply) -> BankrudderError:
    match reply:
        case Relayed(status=status):
            return FailedError(
                FailureReason.ENDPOINT_ERROR,
                f"the endpoint answered with status {status}",
            )
        case NotRun(reason=RejectReason.FULL, retry_after_s=seconds):
            return NotRunError(
                FailureReason.OVERLOADED,
                "all endpoints are at capacity",
                retry_after_s=seconds,
            )
        case NotRun(reason=RejectReason.OVERLOADED, retry_after_s=seconds):
            return NotRunError(
                FailureReason.OVERLOADED,
                "the answer could not be expected before the deadline",
                retry_after_s=seconds,
            )
        case NotRun(reason=RejectReason.CRASHES_ENDPOINTS, retry_after_s=seconds):
            return NotRunError(
                FailureReason.CRASHES_ENDPOINTS,
                "endpoints crashed while processing the same request",
                retry_after_s=seconds,
            )
        case NotRun(reason=reason, retry_after_s=seconds):
            return NotRunError(
                FailureReason.NO_ENDPOINT, reason.value, retry_after_s=seconds
            )
        case Unanswered(is_timeout=True):
            return ExpiredError(
                FailureReason.DEADLINE_PASSED, "no answer before the deadline"
            )
        case Unanswered():
            return OutcomeUnknownError(
                FailureReason.ENDPOINT_TIMEOUT, "the endpoints gave no answer"
            )
        case _:
            return OutcomeUnknownError(FailureReason.INTERNAL, "no answer was received")

"""Calls: checked, admitted, sent where their data may be, answered whole."""

from collections.abc import AsyncGenerator

import structlog
import uuid_utils

from bankrudder.calls._admission import ClassAdmission, ClassTerms, Place
from bankrudder.calls._keys import (
    RequestIdentity,
    check_window,
    fingerprint_of,
    minted_at,
    record_name,
)
from bankrudder.calls._once import OnceRunner
from bankrudder.calls._values import Answer, AnswerChunk, AnswerEnd, CallOrder
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
"""Largest payload that is taken."""

CHUNK_BYTES = 64 << 10
"""Largest chunk of an answer; some ten of them fill a connection's window."""

_log = structlog.get_logger("calls")


class CallService:
    """Answers calls."""

    def __init__(
        self,
        configuration: ConfigurationService,
        placement: PlacementGuard,
        admission: ClassAdmission,
        forwarder: Forwarder,
        streams: StreamForwarder,
        once: OnceRunner,
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
        self, order: CallOrder
    ) -> AsyncGenerator[AnswerChunk | AnswerEnd, None]:
        """Yield the answer in chunks, and the mark that it is whole.

        Raises
        ------
        BankrudderError
            If there is no whole answer; its kind says what is known.
        """
        index = self._configuration.index
        pool = index.pool(order.pool)
        self._check(order)
        data_centres = index.allowed(order.data_class)
        self._placement.check(data_centres)
        route = pool_route(pool, tuple(sorted(data_centres)))
        own = index.caller_class(order.caller.caller_class)
        terms = ClassTerms.from_config(own, index.configuration.caller_classes)
        request = self._request(order, pool, own)
        if pool.kind is PoolKind.ENGINE:
            self._check_crashes(request)
            place = Place(route.services[0].service, route.data_centres)
            async with self._admission.admitted(place, terms, order.deadline):
                async for event in self._generated(request, route):
                    yield event
            return
        answer, is_replayed = await self._answer(order, request, pool, route, terms)
        for chunk in _chunks(answer.body):
            yield chunk
        yield AnswerEnd(len(answer.body), (), answer.endpoint, is_replayed)

    def _check(self, order: CallOrder) -> None:
        if order.data_class not in order.caller.data_classes:
            raise InvalidError(
                FailureReason.NOT_ALLOWED,
                f"{order.caller.name} may not use {order.data_class}",
                field="data_class",
            )
        if len(order.payload) > MAX_PAYLOAD_BYTES:
            raise InvalidError(
                FailureReason.TOO_LARGE,
                f"{len(order.payload)} bytes: allowed are {MAX_PAYLOAD_BYTES}",
                field="payload",
            )

    def _check_crashes(self, request: IncomingRequest) -> None:
        """Refuse what would be refused anyway before it waits for a place."""
        refusal = self._forwarder.refusal(request)
        if refusal is not None:
            raise _error_of(refusal)

    def _request(
        self, order: CallOrder, pool: Pool, own: CallerClass
    ) -> IncomingRequest:
        generation = None
        if pool.kind is PoolKind.ENGINE:
            generation = Generation(
                ModelName(pool.model), order.max_tokens, own.priority
            )
        path = pool.path + order.method
        return IncomingRequest(
            request_id=order.key or str(uuid_utils.uuid7()),
            method="POST",
            target=path,
            path=path,
            host=pool.host or pool.name,
            headers=(),
            body=order.payload,
            deadline=order.deadline,
            received_at=self._clock.monotonic(),
            generation=generation,
            trace=order.trace,
            identity=(order.caller.workspace or order.caller.name, order.data_class),
            workspace=order.caller.workspace,
        )

    async def _answer(
        self,
        order: CallOrder,
        request: IncomingRequest,
        pool: Pool,
        route: Route,
        terms: ClassTerms,
    ) -> tuple[Answer, bool]:
        place = Place(route.services[0].service, route.data_centres)

        async def run() -> Answer:
            # Here, and not before: a key that is recorded gets what is recorded.
            self._check_crashes(request)
            async with self._admission.admitted(place, terms, order.deadline):
                reply = await self._forwarder.forward(request, route)
            return _answer_of(reply)

        if pool.contract.idempotent:
            return await run(), False
        minted = minted_at(order.key)
        check_window(minted, self._clock.wall(), pool.contract.retry_window_s)
        identity = RequestIdentity(
            order.caller.name, order.data_class, order.pool, order.method, order.payload
        )
        name = record_name(order.caller.name, order.key)
        answer, is_replayed = await self._once.run(
            name, fingerprint_of(identity), order.deadline, run
        )
        if is_replayed:
            _log.info("calls: answer replayed", call=order.key, pool=order.pool)
        return answer, is_replayed

    async def _generated(
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
                FailureReason.ENDPOINT_ERROR, f"the endpoint answered {status}"
            )
        case NotRun(reason=RejectReason.FULL, retry_after_s=seconds):
            return NotRunError(
                FailureReason.OVERLOADED,
                "all endpoints are full",
                retry_after_s=seconds,
            )
        case NotRun(reason=RejectReason.CRASHES_ENDPOINTS, retry_after_s=seconds):
            return NotRunError(
                FailureReason.CRASHES_ENDPOINTS,
                "endpoints ended under the same request before",
                retry_after_s=seconds,
            )
        case NotRun(reason=reason, retry_after_s=seconds):
            return NotRunError(
                FailureReason.NO_ENDPOINT, reason.value, retry_after_s=seconds
            )
        case Unanswered(is_timeout=True):
            return ExpiredError(FailureReason.DEADLINE_PASSED, "no answer in time")
        case Unanswered():
            return OutcomeUnknownError(
                FailureReason.ENDPOINT_TIMEOUT, "endpoints gave no answer"
            )
        case _:
            return OutcomeUnknownError(FailureReason.INTERNAL, "no answer")

"""Server interceptor that turns every error of a method into a typed failure."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import Any

import grpc
import grpc.aio
import msgspec
import structlog
from google.protobuf.message import DecodeError

from bankrudder.exceptions import BankrudderError, InvalidError
from bankrudder.failures import Failure, FailureKind, FailureReason
from bankrudder.rpc._failures import abort_with
from bankrudder.rpc._receiving import MessageReceiver
from bankrudder.rpc._types import MethodHandler, ServicerContext
from bankrudder.serving import RequestEndedError, RequestsInProgress
from bankrudder.wire import MAX_REQUEST_BYTES

REQUEST_FIELD = "message"
"""Field that failures name if they concern the request as a whole."""

_log = structlog.get_logger("rpc")

Continuation = Callable[[grpc.HandlerCallDetails], Awaitable["MethodHandler | None"]]


class UndecodableRequest(msgspec.Struct, frozen=True):
    """Placeholder for a request that cannot be decoded."""


class FailureInterceptor(grpc.aio.ServerInterceptor):  # type: ignore[type-arg]
    """Ends every failed call with a typed failure, never with a bare gRPC status.

    The failure of a `BankrudderError` is sent as it is. Any other exception becomes
    ``OUTCOME_UNKNOWN`` with the reason ``internal``, because the request may have
    run; a request that `end_requests` ends has the reason ``stopping``. Cancellations
    pass through.
    """

    def __init__(self) -> None:
        self._receiver = MessageReceiver()
        self._requests = RequestsInProgress()

    def end_requests(self) -> None:
        """End the requests in progress; their outcome is unknown to their callers."""
        if self._requests:
            _log.warning("rpc: requests ended", count=len(self._requests))
        self._requests.end_all()

    async def intercept_service(
        self,
        continuation: Continuation,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> MethodHandler:
        """Return the wrapped handler, or one that refuses an unknown method."""
        method = handler_call_details.method
        handler: Any = await continuation(handler_call_details)
        if handler is None:
            return _unknown_method_handler(method)
        deserialize = _tolerant_deserializer(handler.request_deserializer)
        if handler.response_streaming:
            return grpc.stream_stream_rpc_method_handler(
                self._stream_with_failures(method, handler.unary_stream),
                deserialize,
                handler.response_serializer,
            )
        return grpc.stream_unary_rpc_method_handler(
            self._unary_with_failures(method, handler.unary_unary),
            deserialize,
            handler.response_serializer,
        )

    def _unary_with_failures(
        self, method: str, handle: Callable[..., Awaitable[Any]]
    ) -> Callable[..., Any]:
        async def guarded(
            messages: AsyncIterator[Any], context: ServicerContext
        ) -> Any:
            try:
                async with self._requests.track():
                    request = await self._receiver.receive(messages)
                    _check_decoded(method, request)
                    return await handle(request, context)
            except grpc.aio.AbortError:
                raise
            except Exception as error:
                await abort_with(context, _failure_of(method, error))

        return guarded

    def _stream_with_failures(
        self, method: str, handle: Callable[..., Any]
    ) -> Callable[..., AsyncIterator[Any]]:
        async def guarded(
            messages: AsyncIterator[Any], context: ServicerContext
        ) -> AsyncIterator[Any]:
            try:
                async with self._requests.track():
                    request = await self._receiver.receive(messages)
                    _check_decoded(method, request)
                    async with aclosing(handle(request, context)) as events:
                        async for event in events:
                            yield event
            except grpc.aio.AbortError:
                raise
            except Exception as error:
                await abort_with(context, _failure_of(method, error))

        return guarded


class OversizedRequest(msgspec.Struct, frozen=True):
    """Placeholder for a request larger than `MAX_REQUEST_BYTES`."""

    size_bytes: int


def _tolerant_deserializer(
    deserialize: Callable[[bytes], Any],
) -> Callable[[bytes], Any]:
    def deserialize_or_mark(data: bytes) -> Any:
        if len(data) > MAX_REQUEST_BYTES:
            return OversizedRequest(len(data))
        try:
            return deserialize(data)
        except DecodeError:
            return UndecodableRequest()

    return deserialize_or_mark


def _check_decoded(method: str, request: object) -> None:
    match request:
        case None | UndecodableRequest():
            reason = FailureReason.BAD_REQUEST
            detail = f"the request of {method} cannot be decoded"
        case OversizedRequest():
            reason = FailureReason.TOO_LARGE
            detail = (
                f"the request of {method} has {request.size_bytes} bytes, "
                f"the limit is {MAX_REQUEST_BYTES}"
            )
        case _:
            return
    raise InvalidError(reason, detail, field=REQUEST_FIELD)


def _failure_of(method: str, error: Exception) -> Failure:
    match error:
        case BankrudderError():
            return error.failure
        case RequestEndedError():
            return Failure(
                FailureKind.OUTCOME_UNKNOWN,
                FailureReason.STOPPING,
                f"this node stopped before {method} had ended",
            )
    _log.exception("rpc: method failed", method=method)
    return Failure(
        FailureKind.OUTCOME_UNKNOWN,
        FailureReason.INTERNAL,
        f"{method} failed with {type(error).__qualname__}; see the node's log",
    )


def _unknown_method_handler(method: str) -> MethodHandler:
    detail = f"unknown method {method}"
    return _refusing_handler(
        Failure(FailureKind.INVALID, FailureReason.BAD_REQUEST, detail, field="method")
    )


def _refusing_handler(failure: Failure) -> MethodHandler:
    async def refuse(request: bytes, context: ServicerContext) -> bytes:
        await abort_with(context, failure)

    return grpc.unary_unary_rpc_method_handler(refuse)

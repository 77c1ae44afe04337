"""What stands around every method: each way to fail has a typed failure."""

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
from bankrudder.rpc._types import MethodHandler, ServicerContext
from bankrudder.wire import MAX_REQUEST_BYTES

WHOLE_MESSAGE = "message"
"""Field that stands for a request as a whole."""

_log = structlog.get_logger("rpc")

Continuation = Callable[[grpc.HandlerCallDetails], Awaitable["MethodHandler | None"]]


class Malformed(msgspec.Struct, frozen=True):
    """Stands in for a request whose bytes are no message of the schema."""


class Guard(grpc.aio.ServerInterceptor):  # type: ignore[type-arg]
    """Ends every failed call with a failure, none with a bare status.

    A method raises `BankrudderError`; anything else that it raises becomes
    ``OUTCOME_UNKNOWN`` with the reason ``internal``, as it may have run. A
    cancellation passes.
    """

    async def intercept_service(
        self,
        continuation: Continuation,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> MethodHandler:
        """Return the guarded handler of a method, also if there is none."""
        method = handler_call_details.method
        handler: Any = await continuation(handler_call_details)
        if handler is None:
            return _unknown_method(method)
        parse = _lenient(handler.request_deserializer)
        if handler.response_streaming:
            return grpc.unary_stream_rpc_method_handler(
                _guarded_stream(method, handler.unary_stream),
                parse,
                handler.response_serializer,
            )
        return grpc.unary_unary_rpc_method_handler(
            _guarded(method, handler.unary_unary), parse, handler.response_serializer
        )


class Oversized(msgspec.Struct, frozen=True):
    """Stands in for a request of more bytes than are taken."""

    size: int


def _lenient(parse: Callable[[bytes], Any]) -> Callable[[bytes], Any]:
    def parse_or_mark(data: bytes) -> Any:
        if len(data) > MAX_REQUEST_BYTES:
            return Oversized(len(data))
        try:
            return parse(data)
        except DecodeError:
            return Malformed()

    return parse_or_mark


def _guarded(method: str, run: Callable[..., Awaitable[Any]]) -> Callable[..., Any]:
    async def guarded(request: Any, context: ServicerContext) -> Any:
        try:
            _check_whole(method, request)
            return await run(request, context)
        except grpc.aio.AbortError:
            raise
        except Exception as error:
            await abort_with(context, _failure_of(method, error))

    return guarded


def _guarded_stream(
    method: str, run: Callable[..., Any]
) -> Callable[..., AsyncIterator[Any]]:
    async def guarded(request: Any, context: ServicerContext) -> AsyncIterator[Any]:
        try:
            _check_whole(method, request)
            async with aclosing(run(request, context)) as events:
                async for event in events:
                    yield event
        except grpc.aio.AbortError:
            raise
        except Exception as error:
            await abort_with(context, _failure_of(method, error))

    return guarded


def _check_whole(method: str, request: object) -> None:
    match request:
        case Malformed():
            reason = FailureReason.BAD_REQUEST
            detail = f"the bytes are no request of {method}"
        case Oversized():
            reason = FailureReason.TOO_LARGE
            detail = (
                f"the request of {method} has {request.size} bytes, "
                f"allowed are {MAX_REQUEST_BYTES}"
            )
        case _:
            return
    raise InvalidError(reason, detail, field=WHOLE_MESSAGE)


def _failure_of(method: str, error: Exception) -> Failure:
    if isinstance(error, BankrudderError):
        return error.failure
    _log.exception("rpc: method failed", method=method)
    return Failure(
        FailureKind.OUTCOME_UNKNOWN,
        FailureReason.INTERNAL,
        f"{method} failed with {type(error).__qualname__}; the node's log has more",
    )


def _unknown_method(method: str) -> MethodHandler:
    detail = f"there is no method {method}"
    return _refusal(
        Failure(FailureKind.INVALID, FailureReason.BAD_REQUEST, detail, field="method")
    )


def _refusal(failure: Failure) -> MethodHandler:
    async def refuse(request: bytes, context: ServicerContext) -> bytes:
        await abort_with(context, failure)

    return grpc.unary_unary_rpc_method_handler(refuse)

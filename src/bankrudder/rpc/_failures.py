"""Ends calls with a gRPC status whose trailer carries a typed failure."""

from typing import NoReturn

import grpc

from bankrudder.failures import Failure, FailureKind, FailureReason
from bankrudder.rpc._types import ServicerContext
from bankrudder.wire import FAILURE_METADATA_KEY, failure_to_proto

_STATUS_OF_KIND = {
    FailureKind.NOT_RUN: grpc.StatusCode.UNAVAILABLE,
    FailureKind.OUTCOME_UNKNOWN: grpc.StatusCode.ABORTED,
    FailureKind.FAILED: grpc.StatusCode.FAILED_PRECONDITION,
    FailureKind.EXPIRED: grpc.StatusCode.DEADLINE_EXCEEDED,
    FailureKind.INVALID: grpc.StatusCode.INVALID_ARGUMENT,
}

_STATUS_OF_REASON = {
    FailureReason.UNAUTHENTICATED: grpc.StatusCode.UNAUTHENTICATED,
    FailureReason.NOT_ALLOWED: grpc.StatusCode.PERMISSION_DENIED,
    FailureReason.OVERLOADED: grpc.StatusCode.RESOURCE_EXHAUSTED,
}


async def abort_with(context: ServicerContext, failure: Failure) -> NoReturn:
    """End a call with `failure`; always raises."""
    status = _STATUS_OF_REASON.get(failure.reason, _STATUS_OF_KIND[failure.kind])
    serialized = failure_to_proto(failure).SerializeToString()
    trailer = ((FAILURE_METADATA_KEY, serialized),)
    await context.abort(status, f"{failure.reason.value}: {failure.detail}", trailer)
    raise AssertionError("ServicerContext.abort returned instead of raising")

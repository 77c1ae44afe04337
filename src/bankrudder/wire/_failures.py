"""Conversion of failures to and from protobuf messages and gRPC trailers."""

from collections.abc import Iterable

from bankrudder.failures import Failure, FailureKind, FailureReason
from bankrudder.v1 import bankrudder_pb2 as pb

FAILURE_METADATA_KEY = "bankrudder-failure-bin"
"""Trailer key under which a gRPC status carries a serialized ``Failure``."""

MILLISECONDS_PER_SECOND = 1000

_KIND_TO_PROTO = {
    FailureKind.NOT_RUN: pb.FAILURE_KIND_NOT_RUN,
    FailureKind.OUTCOME_UNKNOWN: pb.FAILURE_KIND_OUTCOME_UNKNOWN,
    FailureKind.FAILED: pb.FAILURE_KIND_FAILED,
    FailureKind.EXPIRED: pb.FAILURE_KIND_EXPIRED,
    FailureKind.INVALID: pb.FAILURE_KIND_INVALID,
}

_KIND_FROM_PROTO = {number: kind for kind, number in _KIND_TO_PROTO.items()}


def failure_to_proto(failure: Failure) -> pb.Failure:
    """Return the protobuf message of `failure`."""
    retry_after_s = failure.retry_after_s or 0.0
    return pb.Failure(
        kind=_KIND_TO_PROTO[failure.kind],
        reason=failure.reason.value,
        detail=failure.detail,
        field=failure.field,
        retry_after_ms=round(retry_after_s * MILLISECONDS_PER_SECOND),
        allowed_addresses=failure.allowed_addresses,
    )


def failure_from_proto(message: pb.Failure) -> Failure:
    """Return the failure that a protobuf message carries.

    A reason that this version does not know becomes ``internal``, and a kind that it
    does not know becomes ``OUTCOME_UNKNOWN``.
    """
    return Failure(
        kind=_KIND_FROM_PROTO.get(message.kind, FailureKind.OUTCOME_UNKNOWN),
        reason=FailureReason(message.reason),
        detail=message.detail,
        field=message.field,
        retry_after_s=message.retry_after_ms / MILLISECONDS_PER_SECOND or None,
        allowed_addresses=tuple(message.allowed_addresses),
    )


def failure_from_trailer(trailer: Iterable[tuple[str, str | bytes]]) -> Failure | None:
    """Return the failure in the trailing metadata of a status, or None."""
    for key, value in trailer:
        if key == FAILURE_METADATA_KEY and isinstance(value, bytes):
            return failure_from_proto(pb.Failure.FromString(value))
    return None

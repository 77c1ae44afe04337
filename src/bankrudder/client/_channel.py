"""gRPC channels to nodes, and the translation of gRPC errors into exceptions."""

import asyncio
from typing import Any

import grpc
import grpc.aio
from google.protobuf.message import Message

from bankrudder.exceptions import (
    BankrudderError,
    InvalidError,
    OutcomeUnknownError,
    error_from,
)
from bankrudder.failures import Failure, FailureReason
from bankrudder.wire import MAX_REQUEST_BYTES, failure_from_trailer
from bankrudder.world import Address

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""Largest message that gRPC accepts on a client's channel. It bounds the messages of
answers; requests are bounded by the lower `MAX_REQUEST_BYTES`."""

KEEPALIVE_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 3_000

REQUEST_FIELD = "message"
"""Value of `Failure.field` when the request as a whole is invalid."""

_OVERSIZE_TEXT = "message larger than max"
"""Text in the status details of gRPC if a message is too large."""

_SERVER_PREFIX = "SERVER:"
"""Text in the status details of gRPC if the server reported the status."""

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    # The clients decide on retries: a request that may have run is not sent again
    # without their knowledge.
    ("grpc.enable_retries", 0),
)


def check_size(request: Message) -> None:
    """Raise `InvalidError` if `request` exceeds the size limit of a node."""
    size = request.ByteSize()
    if size > MAX_REQUEST_BYTES:
        raise InvalidError(
            FailureReason.TOO_LARGE,
            f"the request has {size} bytes, the limit is {MAX_REQUEST_BYTES}",
            field=REQUEST_FIELD,
        )


def open_channel(
    address: Address, credentials: grpc.ChannelCredentials | None = None
) -> grpc.aio.Channel:
    """Return a channel on which gRPC does not retry requests.

    Parameters
    ----------
    credentials : grpc.ChannelCredentials or None
        TLS credentials; None connects without TLS.
    """
    if credentials is None:
        return grpc.aio.insecure_channel(address, _OPTIONS)
    return grpc.aio.secure_channel(address, credentials, _OPTIONS)


async def is_connected(channel: grpc.aio.Channel, timeout_s: float) -> bool:
    """Wait up to `timeout_s` for `channel` to connect; return whether it did.

    No byte of a request is sent before the channel is connected, so a request for which
    this returns False has not run.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await channel.channel_ready()
    except TimeoutError:
        return False
    return True


def node_failure(error: grpc.aio.AioRpcError) -> Failure | None:
    """Return the failure that a node answered with, None if there is none.

    A status without one comes from the gRPC library or the network and does not say
    whether the request ran.
    """
    metadata: Any = error.trailing_metadata() or ()
    return failure_from_trailer(metadata)


def _size_error(error: grpc.aio.AioRpcError) -> BankrudderError | None:
    """Return the error for a message that gRPC rejected as too large, else None.

    A request that the node rejects has not run; an answer that the client rejects
    has been produced.
    """
    detail = error.details() or ""
    if error.code() is not grpc.StatusCode.RESOURCE_EXHAUSTED:
        return None
    if _OVERSIZE_TEXT not in detail:
        return None
    if _SERVER_PREFIX not in detail:
        return OutcomeUnknownError(
            FailureReason.TOO_LARGE, f"the answer is too large: {detail}"
        )
    return InvalidError(
        FailureReason.TOO_LARGE,
        f"the request is too large: {detail}",
        field=REQUEST_FIELD,
    )


def error_from_rpc(
    error: grpc.aio.AioRpcError,
    fallback_type: type[BankrudderError] = OutcomeUnknownError,
) -> BankrudderError:
    """Return the exception for a gRPC error.

    Parameters
    ----------
    fallback_type : type
        Class of the exception for a status that carries no failure of a node; the
        default is for requests that may have run.
    """
    failure = node_failure(error)
    if failure is not None:
        return error_from(failure)
    if (too_large := _size_error(error)) is not None:
        return too_large
    if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return fallback_type(
            FailureReason.DEADLINE_PASSED, "no answer before the deadline"
        )
    return fallback_type(
        FailureReason.NODE_UNREACHABLE,
        f"the connection failed with gRPC status {error.code().name}",
    )

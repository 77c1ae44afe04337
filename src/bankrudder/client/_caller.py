"""The client for callers.

Each call returns one complete answer or raises a `BankrudderError`. All attempts of a
call use the same idempotency key.
"""

import asyncio
import random
from collections.abc import AsyncGenerator, Iterable
from contextlib import aclosing
from types import TracebackType
from typing import Any, Self

import grpc
import grpc.aio
import msgspec
from uuid_utils.compat import uuid7

from bankrudder.client._channel import (
    check_size,
    error_from_rpc,
    is_connected,
    open_channel,
)
from bankrudder.client._retries import GiveUp, RetryPolicy
from bankrudder.exceptions import (
    BankrudderError,
    ExpiredError,
    OutcomeUnknownError,
    error_from,
)
from bankrudder.failures import Failure, FailureKind, FailureReason
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.wire import TRACE_KEY, caller_metadata
from bankrudder.world import (
    Address,
    CallKey,
    Clock,
    DataClassName,
    ModelVersion,
    PoolName,
    SystemClock,
)

NO_DATA_CLASS = DataClassName("")


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeouts of a caller.

    Attributes
    ----------
    timeout_s : float
        Longest time for a call, including its retries, in seconds.
    connect_timeout_s : float
        Longest wait for a connection before the next entry node is tried, in
        seconds.
    """

    timeout_s: float = 30.0
    connect_timeout_s: float = 1.0


class Answer(msgspec.Struct, frozen=True):
    """The complete answer to a call.

    Attributes
    ----------
    key : CallKey
        Idempotency key of the call.
    versions : tuple of ModelVersion
        Weight versions that produced the answer, in order of first use.
    endpoint : str
        Name of the endpoint that answered.
    replayed : bool
        Whether the answer was recorded by an earlier request with the same key.
    """

    data: bytes
    key: CallKey
    versions: tuple[ModelVersion, ...] = ()
    endpoint: str = ""
    replayed: bool = False


class _Request(msgspec.Struct, frozen=True):
    pool: PoolName
    method: str
    payload: bytes
    max_tokens: int
    traceparent: str


def new_key() -> CallKey:
    """Return a new idempotency key.

    Create the key together with the operation that it identifies and keep it until
    the outcome is known, so that a later call can refer to the same operation.
    """
    return CallKey(str(uuid7()))


class Caller:
    """Sends calls to pools through any of several entry nodes.

    Parameters
    ----------
    addresses : iterable of Address
        Entry nodes; the next one is tried when an attempt fails.
    token : str
        The caller's bearer token.
    data_class : DataClassName
        Data class of the payloads, empty if the caller has only one.
    """

    def __init__(
        self,
        addresses: Iterable[Address],
        token: str,
        data_class: DataClassName,
        credentials: grpc.ChannelCredentials | None,
        settings: CallerSettings,
        clock: Clock,
    ):
        self._addresses = tuple(addresses)
        self._credentials = credentials
        self._settings = settings
        self._clock = clock
        self._rng = random.Random()
        self._channels: dict[Address, grpc.aio.Channel] = {}
        self._address_index = self._rng.randrange(len(self._addresses))
        self._metadata = caller_metadata(token, data_class)

    @classmethod
    def from_config(
        cls,
        addresses: Iterable[Address],
        token: str,
        *,
        data_class: DataClassName = NO_DATA_CLASS,
        credentials: grpc.ChannelCredentials | None = None,
        settings: CallerSettings | None = None,
        clock: Clock | None = None,
    ) -> Self:
        """Return a caller with default settings; without `credentials`, without TLS."""
        return cls(
            addresses,
            token,
            data_class,
            credentials,
            settings or CallerSettings(),
            clock or SystemClock(),
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        for channel in self._channels.values():
            await channel.close(None)
        self._channels.clear()

    async def call(
        self,
        pool: PoolName,
        payload: bytes,
        *,
        method: str = "",
        key: CallKey | None = None,
        max_tokens: int = 0,
        timeout_s: float | None = None,
        traceparent: str = "",
    ) -> Answer:
        """Return the complete answer to a call.

        If the failure of an attempt allows it, the call is retried with the same key
        until the timeout.

        Parameters
        ----------
        method : str
            Method of a service, empty for an engine.
        key : CallKey or None
            Idempotency key of the operation; None creates one with `new_key`.
        max_tokens : int
            Maximum number of tokens that an engine generates.
        timeout_s : float or None
            Longest time including retries, in seconds; None takes the settings'.
        traceparent : str
            W3C ``traceparent`` that becomes the parent of the nodes' spans, empty for
            none.

        Raises
        ------
        NotRunError
            If the request was not run.
        OutcomeUnknownError
            If the request may have run; a later call with the same key may return
            the outcome.
        FailedError
            If the request ran and the endpoint answered with an error.
        ExpiredError
            If the deadline has passed.
        InvalidError
            If the request is invalid.
        """
        if timeout_s is None:
            timeout_s = self._settings.timeout_s
        if timeout_s <= 0:
            raise ExpiredError(FailureReason.DEADLINE_PASSED, "the deadline has passed")
        deadline = self._clock.monotonic() + timeout_s
        retry_policy = RetryPolicy(deadline, self._rng)
        key = key or new_key()
        request = _Request(pool, method, payload, max_tokens, traceparent)
        address = self._current_address()
        while True:
            try:
                return await self._attempt(address, request, key, deadline)
            except BankrudderError as error:
                decision = retry_policy.decide(error.failure, self._clock.monotonic())
                if isinstance(decision, GiveUp):
                    raise decision.error from error
                address = self._address_for_retry(error.failure)
            await asyncio.sleep(decision.pause_s)

    # ---- attempts -------------------------------------------------------------

    async def _attempt(
        self, address: Address, request: _Request, key: CallKey, deadline: float
    ) -> Answer:
        channel = self._channel(address)
        remaining_s = deadline - self._clock.monotonic()
        connect_s = min(self._settings.connect_timeout_s, remaining_s)
        if not await is_connected(channel, connect_s):
            raise error_from(_unreachable_failure(address))
        remaining_s = deadline - self._clock.monotonic()
        data = bytearray()
        async with aclosing(self._events(channel, request, key, remaining_s)) as events:
            async for event in events:
                if event.HasField("end"):
                    return _complete_answer(event.end, bytes(data), key)
                if event.chunk.offset != len(data):
                    raise _broken_answer_error(
                        f"got a chunk at offset {event.chunk.offset} after "
                        f"{len(data)} bytes"
                    )
                data += event.chunk.data
        raise _broken_answer_error(
            f"the stream closed without an end event after {len(data)} bytes"
        )

    async def _events(
        self,
        channel: grpc.aio.Channel,
        request: _Request,
        key: CallKey,
        remaining_s: float,
    ) -> AsyncGenerator[pb.CallEvent, None]:
        stub: Any = pb_grpc.CallsStub(channel)  # type: ignore[no-untyped-call]
        message = pb.CallRequest(
            pool=request.pool,
            method=request.method,
            payload=request.payload,
            key=key,
            max_tokens=request.max_tokens,
        )
        check_size(message)
        metadata = self._metadata
        if request.traceparent:
            metadata += ((TRACE_KEY, request.traceparent),)
        call = stub.Call(message, metadata=metadata, timeout=remaining_s)
        try:
            async for event in call:
                yield event
        except grpc.aio.AioRpcError as error:
            raise error_from_rpc(error) from error
        finally:
            call.cancel()

    # ---- addresses ------------------------------------------------------------

    def _channel(self, address: Address) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address, self._credentials)
            self._channels[address] = channel
        return channel

    def _current_address(self) -> Address:
        return self._addresses[self._address_index % len(self._addresses)]

    def _address_for_retry(self, failure: Failure) -> Address:
        if failure.allowed_addresses:
            return Address(self._rng.choice(failure.allowed_addresses))
        self._address_index += 1
        return self._current_address()


def _complete_answer(end: pb.AnswerEnd, data: bytes, key: CallKey) -> Answer:
    if end.length != len(data):
        raise _broken_answer_error(
            f"the answer has {len(data)} bytes, its end event says {end.length}"
        )
    versions = tuple(ModelVersion(version) for version in end.versions)
    return Answer(data, key, versions, end.endpoint, end.replayed)


def _broken_answer_error(detail: str) -> OutcomeUnknownError:
    """Return an error whose retry delay lets the call be retried with the same key."""
    return OutcomeUnknownError(FailureReason.ANSWER_BROKEN, detail, retry_after_s=0.1)


def _unreachable_failure(address: Address) -> Failure:
    return Failure(
        FailureKind.NOT_RUN,
        FailureReason.NODE_UNREACHABLE,
        f"no connection to {address}",
    )

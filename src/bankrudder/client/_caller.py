"""The client of callers: one whole answer to each call, or a typed error."""

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
    error_of,
    is_connected,
    open_channel,
)
from bankrudder.client._repeats import GiveUp, Repeats
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
    """How long a caller waits.

    Attributes
    ----------
    timeout_s : float
        Longest time in seconds for a call with all its repeats.
    connect_timeout_s : float
        Longest wait in seconds for a connection before the next entry is tried.
    """

    timeout_s: float = 30.0
    connect_timeout_s: float = 1.0


class Answer(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes
    ----------
    key : CallKey
        The key under which it is recorded.
    replayed : bool
        Whether an earlier request with the key had produced it.
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

    Mint it with the operation that it stands for and keep it until the outcome
    is known, so that a later call can ask about the same operation.
    """
    return CallKey(str(uuid7()))


class Caller:
    """Calls pools through any of several entry nodes.

    Parameters
    ----------
    addresses : iterable of Address
        Entry nodes; the next one is tried when one cannot be reached.
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
        self._turn = self._rng.randrange(len(self._addresses))
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
        """Make a caller with safe defaults; None for `credentials` is no TLS."""
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
        """Return the whole answer to a call.

        The call is repeated within its time, with the same key.

        Parameters
        ----------
        method : str
            Method of a plain service, empty for an engine.
        key : CallKey or None
            Names the operation; None mints one, see `new_key`.
        max_tokens : int
            Most tokens to generate, for an engine.
        timeout_s : float or None
            Longest time in seconds with all repeats, None for the settings'.
        traceparent : str
            W3C ``traceparent`` that the nodes' spans go on from, empty for none.

        Raises
        ------
        NotRunError
            If nothing ran.
        OutcomeUnknownError
            If it may have run; a later call with the same key may tell.
        FailedError
            If it ran and the endpoint answered with an error.
        ExpiredError
            If the time is up.
        InvalidError
            If the request is wrong.
        """
        if timeout_s is None:
            timeout_s = self._settings.timeout_s
        if timeout_s <= 0:
            raise ExpiredError(FailureReason.DEADLINE_PASSED, "the deadline is past")
        deadline = self._clock.monotonic() + timeout_s
        repeats = Repeats(deadline, self._rng)
        key = key or new_key()
        request = _Request(pool, method, payload, max_tokens, traceparent)
        address = self._next_address()
        while True:
            try:
                return await self._attempt(address, request, key, deadline)
            except BankrudderError as error:
                step = repeats.after(error.failure, self._clock.monotonic())
                if isinstance(step, GiveUp):
                    raise step.error from error
                address = self._address_after(error.failure)
            await asyncio.sleep(step.pause_s)

    # ---- one attempt ----------------------------------------------------------

    async def _attempt(
        self, address: Address, request: _Request, key: CallKey, deadline: float
    ) -> Answer:
        channel = self._channel(address)
        remaining_s = deadline - self._clock.monotonic()
        connect_s = min(self._settings.connect_timeout_s, remaining_s)
        if not await is_connected(channel, connect_s):
            raise error_from(_not_connected(address))
        remaining_s = deadline - self._clock.monotonic()
        data = bytearray()
        async with aclosing(self._events(channel, request, key, remaining_s)) as events:
            async for event in events:
                if event.HasField("end"):
                    return _answer(event.end, bytes(data), key)
                if event.chunk.offset != len(data):
                    raise _broken("a part of the answer is missing")
                data += event.chunk.data
        raise _broken("the answer has no end mark")

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
            raise error_of(error) from error
        finally:
            call.cancel()

    # ---- addresses ------------------------------------------------------------

    def _channel(self, address: Address) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address, self._credentials)
            self._channels[address] = channel
        return channel

    def _next_address(self) -> Address:
        return self._addresses[self._turn % len(self._addresses)]

    def _address_after(self, failure: Failure) -> Address:
        if failure.allowed_addresses:
            return Address(self._rng.choice(failure.allowed_addresses))
        self._turn += 1
        return self._next_address()


def _answer(end: pb.AnswerEnd, data: bytes, key: CallKey) -> Answer:
    if end.length != len(data):
        raise _broken("the answer is shorter than its end mark says")
    versions = tuple(ModelVersion(version) for version in end.versions)
    return Answer(data, key, versions, end.endpoint, end.replayed)


def _broken(detail: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(FailureReason.ANSWER_BROKEN, detail, retry_after_s=0.1)


def _not_connected(address: Address) -> Failure:
    return Failure(
        FailureKind.NOT_RUN,
        FailureReason.NODE_UNREACHABLE,
        f"no connection to {address}",
    )

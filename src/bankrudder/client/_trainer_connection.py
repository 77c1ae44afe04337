"""Connections of a trainer's client to an entry node."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any, Protocol, Self

import grpc
import grpc.aio

from bankrudder.client._channel import check_size, error_from_rpc, open_channel
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.wire import caller_metadata
from bankrudder.world import Address

UNARY_TIMEOUT_S = 10.0


class TrainerConnection(Protocol):
    """A connection to the service ``Trainers`` of one entry node.

    Each method raises the failure that the node answered with as a `BankrudderError`,
    or `OutcomeUnknownError` if the connection broke.
    """

    def open_step(
        self, request: pb.OpenStepRequest
    ) -> AsyncGenerator[pb.StepEvent, None]: ...

    async def ack(self, request: pb.AckRequest) -> None: ...

    async def publish(self, request: pb.PublishRequest) -> None: ...

    async def close(self) -> None: ...


class GrpcTrainerConnection:
    """A connection over gRPC.

    Parameters
    ----------
    channel : grpc.aio.Channel
        The channel; `close` closes it.
    metadata : tuple of (str, str)
        Metadata sent with each request.
    """

    def __init__(
        self, channel: grpc.aio.Channel, metadata: tuple[tuple[str, str], ...]
    ):
        self._channel = channel
        self._metadata = metadata
        self._stub = pb_grpc.TrainersStub(channel)  # type: ignore[no-untyped-call]

    @classmethod
    def from_config(
        cls,
        address: Address,
        token: str,
        data_class: str = "",
        credentials: grpc.ChannelCredentials | None = None,
    ) -> Self:
        """Return a connection to `address`; without `credentials`, without TLS."""
        channel = open_channel(address, credentials)
        return cls(channel, caller_metadata(token, data_class))

    async def open_step(
        self, request: pb.OpenStepRequest
    ) -> AsyncGenerator[pb.StepEvent, None]:
        """Open a step and yield its events."""
        check_size(request)
        call = self._stub.OpenStep(request, metadata=self._metadata)
        try:
            async for event in call:
                yield event
        except grpc.aio.AioRpcError as error:
            raise error_from_rpc(error) from error
        finally:
            call.cancel()

    async def ack(self, request: pb.AckRequest) -> None:
        """Acknowledge slots; the step ends if `request` names all of its slots."""
        await self._unary(self._stub.Ack, request)

    async def publish(self, request: pb.PublishRequest) -> None:
        """Publish a version of a job's weights."""
        await self._unary(self._stub.Publish, request)

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close(None)

    async def _unary(
        self,
        method: Callable[..., Awaitable[Any]],
        request: pb.AckRequest | pb.PublishRequest,
    ) -> None:
        check_size(request)
        try:
            await method(request, metadata=self._metadata, timeout=UNARY_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise error_from_rpc(error) from error

"""The client of operators: configuration, status, drain and traces."""

from collections.abc import Awaitable
from types import TracebackType
from typing import Self, TypeVar

import grpc
import grpc.aio
import msgspec

from bankrudder.client._channel import (
    check_size,
    error_of,
    is_connected,
    open_channel,
)
from bankrudder.exceptions import (
    BankrudderError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.wire import caller_metadata
from bankrudder.world import Address, Revision

DEFAULT_TIMEOUT_S = 20.0
"""Longest wait for one reply; an apply waits for its spreading."""

CONNECT_TIMEOUT_S = 3.0
"""Longest wait for a connection, in seconds."""

ReplyT = TypeVar("ReplyT")


class Applied(msgspec.Struct, frozen=True):
    """What became of an apply.

    Attributes
    ----------
    accepted : bool
        Whether the revision is in force on every live host.
    pending_hosts : tuple of str
        Live hosts that do not say yet that it is in force there.
    """

    revision: Revision
    accepted: bool
    pending_hosts: tuple[str, ...] = ()


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """A configuration as a node holds it; ``document`` is JSON."""

    revision: Revision
    document: str


class EndpointReport(msgspec.Struct, frozen=True):
    """An endpoint as a node sees it."""

    name: str
    state: str
    in_flight: int
    slots: int
    version: int


class UsageReport(msgspec.Struct, frozen=True):
    """One window of usage: its number, what became of it, counts by workspace."""

    window: int
    state: str
    counts: dict[str, int]


class NodeReport(msgspec.Struct, frozen=True):
    """What a node says of itself, or what another one knows of it.

    ``unreachable`` says why it is taken for dead, empty if it is not.
    """

    host: str
    lifetime: str
    data_centre: str
    rpc_address: str
    revision: int
    stopping: bool
    serving: bool
    unreachable: str
    endpoints: tuple[EndpointReport, ...] = ()
    memory_bytes: int = 0
    version: str = ""


class OperatorClient:
    """Asks one node on behalf of an operator.

    Each method raises a `BankrudderError` of the kind that the node answers,
    or `NotRunError` if the node cannot be reached. `apply` and
    `drain` raise `OutcomeUnknownError` if their reply was lost.

    Parameters
    ----------
    address : Address
        Where the node listens for callers and operators.
    token : str
        The operator's bearer token.
    credentials : grpc.ChannelCredentials, optional
        TLS settings; None connects in clear.
    timeout_s : float
        Longest wait for one reply, in seconds.
    """

    def __init__(
        self,
        address: Address,
        token: str,
        credentials: grpc.ChannelCredentials | None = None,
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        self._address = address
        self._metadata = caller_metadata(token)
        self._timeout_s = timeout_s
        self._channel = open_channel(address, credentials)
        self._stub = pb_grpc.OperatorsStub(self._channel)  # type: ignore[no-untyped-call]

    @classmethod
    def from_config(
        cls,
        address: Address,
        token: str,
        ca: bytes | None = None,
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Self:
        """Make a client that trusts the PEM certificates `ca`, None for no TLS."""
        credentials = grpc.ssl_channel_credentials(ca) if ca else None
        return cls(address, token, credentials, timeout_s=timeout_s)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._channel.close(None)

    async def apply(self, document: str, base_revision: Revision) -> Applied:
        """Replace the configuration that has `base_revision`.

        The same document on the same base may be applied again: it then tells
        whether the revision is accepted by now.
        """
        request = pb.ApplyRequest(configuration=document, base_revision=base_revision)
        check_size(request)
        await self._connect()
        reply = await self._change(self._stub.Apply(request, **self._options))
        return Applied(
            Revision(reply.revision), reply.accepted, tuple(reply.pending_hosts)
        )

    async def configuration(self) -> ConfigurationDocument:
        """Return the configuration in force on the node."""
        request = pb.GetConfigurationRequest()
        call = self._stub.GetConfiguration(request, **self._options)
        reply = await self._read(call)
        return ConfigurationDocument(Revision(reply.revision), reply.configuration)

    async def status(self, all_hosts: bool = False) -> tuple[NodeReport, ...]:
        """Return what the node says of itself, or knows of all hosts."""
        request = pb.StatusRequest(all_hosts=all_hosts)
        reply = await self._read(self._stub.Status(request, **self._options))
        return tuple(_node_report(node) for node in reply.nodes)

    async def drain(self) -> None:
        """Begin the node's graceful stop."""
        await self._connect()
        await self._change(self._stub.Drain(pb.DrainRequest(), **self._options))

    async def trace(self, trace_id: str) -> tuple[str, ...]:
        """Return the finished spans of a trace, each as JSON."""
        request = pb.TraceRequest(trace_id=trace_id)
        reply = await self._read(self._stub.Trace(request, **self._options))
        return tuple(reply.spans)

    async def usage(self, windows: int) -> tuple[UsageReport, ...]:
        """Return the newest windows of usage, oldest first; 0 for the usual many."""
        request = pb.UsageRequest(windows=windows)
        reply = await self._read(self._stub.Usage(request, **self._options))
        return tuple(
            UsageReport(each.window, each.state, dict(each.counts))
            for each in reply.windows
        )

    @property
    def _options(self) -> dict[str, object]:
        return {"metadata": self._metadata, "timeout": self._timeout_s}

    async def _connect(self) -> None:
        """Connect before a change is sent, so that a failure to is NOT_RUN."""
        if not await is_connected(self._channel, CONNECT_TIMEOUT_S):
            raise NotRunError(
                FailureReason.NODE_UNREACHABLE, f"no connection to {self._address}"
            )

    async def _read(self, call: Awaitable[ReplyT]) -> ReplyT:
        return await self._reply(call, NotRunError)

    async def _change(self, call: Awaitable[ReplyT]) -> ReplyT:
        return await self._reply(call, OutcomeUnknownError)

    async def _reply(
        self, call: Awaitable[ReplyT], if_lost: type[BankrudderError]
    ) -> ReplyT:
        try:
            return await call
        except grpc.aio.AioRpcError as error:
            raise error_of(error, if_lost) from error


def _node_report(node: pb.NodeStatus) -> NodeReport:
    return NodeReport(
        host=node.host,
        lifetime=node.lifetime,
        data_centre=node.data_centre,
        rpc_address=node.rpc_address,
        revision=node.revision,
        stopping=node.stopping,
        serving=node.serving,
        unreachable=node.unreachable,
        endpoints=tuple(
            EndpointReport(e.name, e.state, e.in_flight, e.slots, e.version)
            for e in node.endpoints
        ),
        memory_bytes=node.memory_bytes,
        version=node.version,
    )

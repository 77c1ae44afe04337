"""The client for operators: configuration, status, drain, traces and usage."""

from collections.abc import Awaitable
from types import TracebackType
from typing import Self, TypeVar

import grpc
import grpc.aio
import msgspec

from bankrudder.client._channel import (
    check_size,
    error_from_rpc,
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
"""Longest wait for a reply, in seconds.

An apply is answered only after the node has waited for the live hosts to use the new
configuration.
"""

CONNECT_TIMEOUT_S = 3.0
"""Longest wait for a connection, in seconds."""

ReplyT = TypeVar("ReplyT")


class Applied(msgspec.Struct, frozen=True):
    """The result of an apply.

    Attributes
    ----------
    accepted : bool
        Whether the revision is in force on every live host.
    pending_hosts : tuple of str
        Live hosts that have not confirmed yet that the revision is in force there.
    """

    revision: Revision
    accepted: bool
    pending_hosts: tuple[str, ...] = ()


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """The configuration in force on a node; ``document`` is JSON."""

    revision: Revision
    document: str


class EndpointSpeedReport(msgspec.Struct, frozen=True):
    """What a node measured of an endpoint that reports the slowdown of its machine.

    Attributes
    ----------
    latency_s, gap_s : float
        Latency of answers and time between stream events without momentary slowness,
        0 if unknown.
    slowdown : float
        Expected duration of work at present, as a multiple of the lasting one.
    report_age_s : float
        Time since the endpoint's last report.
    """

    latency_s: float
    gap_s: float
    slowdown: float
    report_age_s: float


class EndpointReport(msgspec.Struct, frozen=True):
    """The state of an endpoint, as one node knows it.

    ``speed`` is None unless the endpoint reports the slowdown of its machine.
    """

    name: str
    state: str
    in_flight: int
    slots: int
    version: int
    speed: EndpointSpeedReport | None = None


class UsageReport(msgspec.Struct, frozen=True):
    """One window of usage.

    Attributes
    ----------
    window : int
        Number of the window, counted from the Unix epoch.
    state : str
        State of the report for the window.
    counts : dict of str to int
        Requests that began to run in the window, by workspace.
    """

    window: int
    state: str
    counts: dict[str, int]


class NodeReport(msgspec.Struct, frozen=True):
    """The state of a node, reported by itself or by another node.

    ``unreachable`` is the reason why the node is considered dead, empty if it is alive.
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
    """Sends an operator's requests to one node.

    Each method raises the failure that the node answers with as a `BankrudderError`,
    or `NotRunError` if the node cannot be reached. If the reply is lost, `apply` and
    `drain` raise `OutcomeUnknownError`, the other methods `NotRunError`.

    Parameters
    ----------
    address : Address
        Address on which the node accepts callers and operators.
    token : str
        The operator's bearer token.
    credentials : grpc.ChannelCredentials, optional
        TLS credentials; None connects without TLS.
    timeout_s : float
        Longest wait for a reply, in seconds.
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
        """Return a client that trusts the PEM certificates `ca`; None disables TLS."""
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
        """Replace the configuration of revision `base_revision`.

        Applying the same document to the same base again makes no second revision: it
        returns whether the first one is accepted by then.
        """
        request = pb.ApplyRequest(configuration=document, base_revision=base_revision)
        check_size(request)
        await self._ensure_connected()
        reply = await self._write(self._stub.Apply(request, **self._call_options))
        return Applied(
            Revision(reply.revision), reply.accepted, tuple(reply.pending_hosts)
        )

    async def configuration(self) -> ConfigurationDocument:
        """Return the configuration in force on the node."""
        request = pb.GetConfigurationRequest()
        call = self._stub.GetConfiguration(request, **self._call_options)
        reply = await self._read(call)
        return ConfigurationDocument(Revision(reply.revision), reply.configuration)

    async def status(self, all_hosts: bool = False) -> tuple[NodeReport, ...]:
        """Return the state of the node, or of the nodes on all hosts."""
        request = pb.StatusRequest(all_hosts=all_hosts)
        reply = await self._read(self._stub.Status(request, **self._call_options))
        return tuple(_node_report(node) for node in reply.nodes)

    async def drain(self) -> None:
        """Start the graceful shutdown of the node."""
        await self._ensure_connected()
        await self._write(self._stub.Drain(pb.DrainRequest(), **self._call_options))

    async def trace(self, trace_id: str) -> tuple[str, ...]:
        """Return the finished spans of a trace, each as JSON."""
        request = pb.TraceRequest(trace_id=trace_id)
        reply = await self._read(self._stub.Trace(request, **self._call_options))
        return tuple(reply.spans)

    async def usage(self, windows: int) -> tuple[UsageReport, ...]:
        """Return the newest windows of usage, oldest first.

        Parameters
        ----------
        windows : int
            Maximum number of windows; 0 returns those of about a minute.
        """
        request = pb.UsageRequest(windows=windows)
        reply = await self._read(self._stub.Usage(request, **self._call_options))
        return tuple(
            UsageReport(
                usage_window.window, usage_window.state, dict(usage_window.counts)
            )
            for usage_window in reply.windows
        )

    @property
    def _call_options(self) -> dict[str, object]:
        return {"metadata": self._metadata, "timeout": self._timeout_s}

    async def _ensure_connected(self) -> None:
        """Connect before a change is sent, so that a failure to connect is NOT_RUN."""
        if not await is_connected(self._channel, CONNECT_TIMEOUT_S):
            raise NotRunError(
                FailureReason.NODE_UNREACHABLE, f"no connection to {self._address}"
            )

    async def _read(self, call: Awaitable[ReplyT]) -> ReplyT:
        return await self._await_reply(call, NotRunError)

    async def _write(self, call: Awaitable[ReplyT]) -> ReplyT:
        return await self._await_reply(call, OutcomeUnknownError)

    async def _await_reply(
        self, call: Awaitable[ReplyT], fallback_type: type[BankrudderError]
    ) -> ReplyT:
        try:
            return await call
        except grpc.aio.AioRpcError as error:
            raise error_from_rpc(error, fallback_type) from error


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
        endpoints=tuple(_endpoint_report(each) for each in node.endpoints),
        memory_bytes=node.memory_bytes,
        version=node.version,
    )


def _endpoint_report(endpoint: pb.EndpointStatus) -> EndpointReport:
    speed = None
    if endpoint.HasField("speed"):
        speed = EndpointSpeedReport(
            endpoint.speed.latency_s,
            endpoint.speed.gap_s,
            endpoint.speed.slowdown,
            endpoint.speed.report_age_s,
        )
    return EndpointReport(
        endpoint.name,
        endpoint.state,
        endpoint.in_flight,
        endpoint.slots,
        endpoint.version,
        speed,
    )

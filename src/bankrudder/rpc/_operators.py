"""gRPC service ``Operators``: configuration, status, drain, traces and usage."""

from collections.abc import Callable

from bankrudder.observe import Tracer
from bankrudder.rpc._context import RpcContext
from bankrudder.rpc._status import EndpointSpeed, NodeState, StatusReporter
from bankrudder.rpc._types import ServicerContext
from bankrudder.store import translate_store_errors
from bankrudder.usage import UsageRows, WindowSummary
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.world import Revision

DEFAULT_USAGE_WINDOW_COUNT = 12
"""Usage windows returned by default: one minute if a window lasts 5 s."""

MAX_USAGE_WINDOW_COUNT = 720
"""Most usage windows returned by one request: as many as the store keeps."""

RETRY_AFTER_S = 0.5
"""Retry delay if the store is unavailable: about the length of a short outage."""


class OperatorsServicer(pb_grpc.OperatorsServicer):
    """Serves requests of operators.

    Parameters
    ----------
    drain : callable
        Starts a graceful stop of this node.
    """

    def __init__(
        self,
        rpc: RpcContext,
        status_reporter: StatusReporter,
        tracer: Tracer,
        usage: UsageRows,
        drain: Callable[[], None],
    ):
        self._rpc = rpc
        self._status_reporter = status_reporter
        self._tracer = tracer
        self._usage = usage
        self._drain = drain

    async def Apply(
        self, request: pb.ApplyRequest, context: ServicerContext
    ) -> pb.ApplyReply:
        """Replace the configuration if the base revision is still the newest."""
        self._rpc.require_operator(context)
        outcome = await self._rpc.configuration.apply(
            request.configuration.encode(), Revision(request.base_revision)
        )
        return pb.ApplyReply(
            revision=outcome.revision,
            accepted=outcome.accepted,
            pending_hosts=outcome.pending_hosts,
        )

    async def GetConfiguration(
        self, request: pb.GetConfigurationRequest, context: ServicerContext
    ) -> pb.GetConfigurationReply:
        """Return the configuration that is in force on this node."""
        self._rpc.require_operator(context)
        configuration = self._rpc.configuration
        return pb.GetConfigurationReply(
            revision=configuration.revision,
            configuration=configuration.document.decode(),
        )

    async def Status(
        self, request: pb.StatusRequest, context: ServicerContext
    ) -> pb.StatusReply:
        """Return the status of this node or, on request, of all hosts."""
        self._rpc.require_operator(context)
        states = self._status_reporter.states(request.all_hosts)
        return pb.StatusReply(nodes=[_state_to_proto(state) for state in states])

    async def Drain(
        self, request: pb.DrainRequest, context: ServicerContext
    ) -> pb.DrainReply:
        """Start a graceful stop of this node."""
        self._rpc.require_operator(context)
        self._drain()
        return pb.DrainReply()

    async def Trace(
        self, request: pb.TraceRequest, context: ServicerContext
    ) -> pb.TraceReply:
        """Return the finished spans of one trace that this node holds."""
        self._rpc.require_operator(context)
        spans = self._tracer.find_spans(request.trace_id)
        return pb.TraceReply(spans=spans)

    async def Usage(
        self, request: pb.UsageRequest, context: ServicerContext
    ) -> pb.UsageReply:
        """Return the newest usage windows in the store."""
        self._rpc.require_operator(context)
        max_count = min(
            request.windows or DEFAULT_USAGE_WINDOW_COUNT, MAX_USAGE_WINDOW_COUNT
        )
        with translate_store_errors("nothing was changed", RETRY_AFTER_S):
            newest_windows = await self._usage.newest_windows(max_count)
        return pb.UsageReply(
            windows=[_window_to_proto(summary) for summary in newest_windows]
        )


def _window_to_proto(summary: WindowSummary) -> pb.UsageWindow:
    return pb.UsageWindow(
        window=summary.window,
        state=summary.state.value,
        counts={str(name): count for name, count in summary.counts.items()},
    )


def _state_to_proto(state: NodeState) -> pb.NodeStatus:
    endpoints = [
        pb.EndpointStatus(
            name=endpoint.name,
            state=endpoint.state,
            in_flight=endpoint.in_flight,
            slots=endpoint.slots,
            version=endpoint.version,
            speed=_speed_to_proto(endpoint.speed),
        )
        for endpoint in state.endpoints
    ]
    return pb.NodeStatus(
        host=state.host,
        lifetime=state.lifetime,
        data_centre=state.data_centre,
        rpc_address=state.rpc_address,
        revision=state.revision,
        stopping=state.stopping,
        serving=state.serving,
        unreachable=state.unreachable,
        endpoints=endpoints,
        memory_bytes=state.memory_bytes,
        version=state.version,
    )


def _speed_to_proto(speed: EndpointSpeed | None) -> pb.EndpointSpeed | None:
    if speed is None:
        return None
    return pb.EndpointSpeed(
        latency_s=speed.latency_s,
        gap_s=speed.gap_s,
        slowdown=speed.slowdown,
        report_age_s=speed.report_age_s,
    )

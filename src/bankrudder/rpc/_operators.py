"""The gRPC service through which operators configure and look."""

from collections.abc import Callable

from bankrudder.observe import Tracer
from bankrudder.rpc._context import RpcContext
from bankrudder.rpc._status import NodeState, StatusBoard
from bankrudder.rpc._types import ServicerContext
from bankrudder.store import translate_store_errors
from bankrudder.usage import UsageRows, WindowSummary
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.world import Revision

USAGE_WINDOWS = 12
"""Windows that are shown if nobody says how many: a minute at their usual length."""

MOST_USAGE_WINDOWS = 720
"""Most windows that are shown, as many as are kept."""

RETRY_AFTER_S = 0.5
"""When to come back while the store is away: about the time of a short outage."""


class OperatorsServicer(pb_grpc.OperatorsServicer):
    """Turns what operators ask for into calls of this node's parts.

    Parameters
    ----------
    drain : callable
        Begins this node's planned stop.
    """

    def __init__(
        self,
        rpc: RpcContext,
        board: StatusBoard,
        tracer: Tracer,
        usage: UsageRows,
        drain: Callable[[], None],
    ):
        self._rpc = rpc
        self._board = board
        self._tracer = tracer
        self._usage = usage
        self._drain = drain

    async def Apply(
        self, request: pb.ApplyRequest, context: ServicerContext
    ) -> pb.ApplyReply:
        """Replace the configuration if the operator read the newest one."""
        self._rpc.operator_of(context)
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
        self._rpc.operator_of(context)
        configuration = self._rpc.configuration
        return pb.GetConfigurationReply(
            revision=configuration.revision,
            configuration=configuration.document.decode(),
        )

    async def Status(
        self, request: pb.StatusRequest, context: ServicerContext
    ) -> pb.StatusReply:
        """Return what this node says of itself, and what it knows of the others."""
        self._rpc.operator_of(context)
        states = self._board.states(request.all_hosts)
        return pb.StatusReply(nodes=[_state_to_proto(state) for state in states])

    async def Drain(
        self, request: pb.DrainRequest, context: ServicerContext
    ) -> pb.DrainReply:
        """Begin this node's planned stop."""
        self._rpc.operator_of(context)
        self._drain()
        return pb.DrainReply()

    async def Trace(
        self, request: pb.TraceRequest, context: ServicerContext
    ) -> pb.TraceReply:
        """Return the finished spans of one trace that this node holds."""
        self._rpc.operator_of(context)
        spans = self._tracer.find_spans(request.trace_id)
        return pb.TraceReply(spans=spans)

    async def Usage(
        self, request: pb.UsageRequest, context: ServicerContext
    ) -> pb.UsageReply:
        """Return the newest windows of usage, from the store."""
        self._rpc.operator_of(context)
        most = min(request.windows or USAGE_WINDOWS, MOST_USAGE_WINDOWS)
        with translate_store_errors("nothing was changed", RETRY_AFTER_S):
            newest_windows = await self._usage.newest_windows(most)
        return pb.UsageReply(
            windows=[_window_to_proto(line) for line in newest_windows]
        )


def _window_to_proto(line: WindowSummary) -> pb.UsageWindow:
    return pb.UsageWindow(
        window=line.window,
        state=line.state.value,
        counts={str(name): count for name, count in line.counts.items()},
    )


def _state_to_proto(state: NodeState) -> pb.NodeStatus:
    endpoints = [
        pb.EndpointStatus(
            name=endpoint.name,
            state=endpoint.state,
            in_flight=endpoint.in_flight,
            slots=endpoint.slots,
            version=endpoint.version,
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

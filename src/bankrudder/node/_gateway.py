"""The operations of a host for callers and trainers, behind any listener.

Each operation returns its result, or a refusal as a value.
"""

import math
from collections.abc import Callable

import msgspec
import structlog

from bankrudder.batches import (
    Batch,
    BatchId,
    BatchReader,
    BatchRepository,
    BatchService,
    ResultPage,
)
from bankrudder.node._instruments import Instruments
from bankrudder.node._key_refresher import KeyRefresher
from bankrudder.node._planned_stop import PlannedStop
from bankrudder.observe import Span, Tracer
from bankrudder.relay import (
    Forwarder,
    IncomingRequest,
    Malformed,
    NotFound,
    NotRun,
    RejectReason,
    Reply,
    StreamForwarder,
    StreamStarted,
    Unanswered,
    Unauthorized,
    route_deadline,
)
from bankrudder.routing import CallerLimits, Route, RouteKind, RoutingTable
from bankrudder.store import NotSettledError, StoreUnavailableError
from bankrudder.workspaces import Admitted, ApiKey, Denial, DenialReason
from bankrudder.world import NO_WORKSPACE, Clock, SampleId, WorkspaceName

STORE_RETRY_AFTER_S = 0.5
"""Retry delay for callers while this host cannot read the store: another host may reach
it, and failures of single calls are short."""

ACCEPT_RETRY_AFTER_S = 0.1
"""Retry delay for a batch that was not accepted: the retry goes to another host, which
may reach the store, and this host has already waited for the store to recover."""

START_RETRY_AFTER_S = 0.5
"""Retry delay while no configuration is known: about the time that a start takes."""

STOP_RETRY_AFTER_S = 0.0
"""Retry delay for a request that a stopping host does not take: another host can answer
it at once."""

WRITE_LIMIT_S = 4.0
READ_LIMIT_S = 2.0
"""Times in which the acceptance or the end of a batch, and a read of it, are answered,
also if the store fails meanwhile."""

_log = structlog.get_logger("gateway")


class Gateway:
    """Routes, admits and serves requests, and reports whether the host is ready.

    Parameters
    ----------
    is_ready : callable
        Whether this host can serve requests, apart from a planned stop.
    """

    def __init__(
        self,
        routes: Callable[[], RoutingTable | None],
        is_ready: Callable[[], bool],
        forwarder: Forwarder,
        streams: StreamForwarder,
        batches: BatchService,
        reader: BatchReader,
        repository: BatchRepository,
        instruments: Instruments,
        key_refresher: KeyRefresher,
        tracer: Tracer,
        clock: Clock,
    ):
        self._tracer = tracer
        self._key_refresher = key_refresher
        self._routes = routes
        self._is_ready = is_ready
        self._forwarder = forwarder
        self._streams = streams
        self._batches = batches
        self._reader = reader
        self._repository = repository
        self._instruments = instruments
        self._clock = clock
        self._stop: PlannedStop | None = None
        self._takes_requests = True

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections to this host."""
        return self._is_ready() and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether this host is draining for a planned stop."""
        return self._stop is not None

    def leave(self, stop: PlannedStop) -> None:
        """Report the host as not ready, and take only what ends before it stops."""
        self._stop = stop

    def refuse_all(self) -> None:
        """Take no further requests."""
        self._takes_requests = False

    def stop_refusal(self, request: IncomingRequest, route: Route) -> NotRun | None:
        """Return the refusal of a request that may not end before this host stops."""
        match route.kind:
            case RouteKind.ROLLOUT:
                latest_end = self._clock.monotonic() + WRITE_LIMIT_S
            case RouteKind.STREAM:
                # The timeout of the route applies to the first event only.
                latest_end = request.deadline
            case _:
                latest_end = route_deadline(request, route)
        return self._refusal_until(latest_end)

    def batch_call_refusal(self, *, is_write: bool) -> NotRun | None:
        """Return the refusal of a call that names a batch, as `stop_refusal`."""
        limit_s = WRITE_LIMIT_S if is_write else READ_LIMIT_S
        return self._refusal_until(self._clock.monotonic() + limit_s)

    def _refusal_until(self, latest_end: float) -> NotRun | None:
        has_time = self._stop is None or self._stop.has_time_until(latest_end)
        if has_time and self._takes_requests:
            return None
        return NotRun(RejectReason.STOPPING, STOP_RETRY_AFTER_S)

    def _max_wait_s(self) -> float:
        """Return for how long a reader may wait for results of a batch."""
        if self._stop is None:
            return math.inf
        return self._stop.answers_end_at - READ_LIMIT_S - self._clock.monotonic()

    def route(self, host: str, path: str) -> Route | NotRun | NotFound:
        """Return the route of a request, or why it has none."""
        table = self._routes()
        if table is None or not table.configuration.revision:
            return NotRun(RejectReason.NO_CONFIGURATION, START_RETRY_AFTER_S)
        return table.match(host, path) or NotFound(RejectReason.NO_ROUTE)

    @property
    def caller_limits(self) -> CallerLimits:
        """The limits of the configuration in force on the requests of callers."""
        table = self._routes()
        return CallerLimits() if table is None else table.configuration.limits

    @property
    def has_workspaces(self) -> bool:
        """Whether callers must present a key of a workspace."""
        table = self._routes()
        return table is not None and table.has_workspaces

    async def admit(
        self, key: ApiKey | None, *, is_public: bool
    ) -> Admitted | Unauthorized | NotRun:
        """Return the workspace of a request, or why the request may not run.

        Before an unknown key is refused, the newest configuration is read.
        """
        decision = self._decide(key, is_public)
        if decision == Denial(DenialReason.UNKNOWN_KEY):
            if not await self._key_refresher.wait_for_refresh():
                return NotRun(RejectReason.STORE_UNAVAILABLE, STORE_RETRY_AFTER_S)
            decision = self._decide(key, is_public)
        if isinstance(decision, Denial):
            _log.info("gateway: request not allowed", reason=decision.reason.value)
            return Unauthorized(decision.reason)
        return decision

    async def admit_batch_call(
        self, key: ApiKey | None
    ) -> Admitted | Unauthorized | NotRun:
        """Admit a call that names a batch and therefore has no route."""
        table = self._routes()
        is_public = table is not None and table.takes_public_batches()
        return await self.admit(key, is_public=is_public)

    def _decide(
        self, key: ApiKey | None, is_public: bool
    ) -> Admitted | Denial | NotRun:
        table = self._routes()
        if table is None or not table.configuration.revision:
            return NotRun(RejectReason.NO_CONFIGURATION, START_RETRY_AFTER_S)
        return table.admit(key, is_public=is_public)

    async def forward(self, request: IncomingRequest, route: Route) -> Reply:
        """Return an endpoint's response to a request, or why there is none."""
        with self._span("gateway.request", request, route) as span:
            traced = msgspec.structs.replace(request, trace=span.traceparent)
            # A stop may begin while the request waits for its turn.
            reply = await self._forwarder.forward(
                traced, route, lambda: self.stop_refusal(traced, route)
            )
            span.set(outcome=type(reply).__name__)
        self._record_reply(request, route, reply)
        return reply

    async def stream(
        self, request: IncomingRequest, route: Route
    ) -> StreamStarted | Reply:
        """Return the started stream of an endpoint, or why there is none."""
        service = self._forwarder.pick_service(route)
        with self._span("gateway.stream", request, route) as span:
            reply = await self._streams.forward(request, route, service)
            span.set(outcome=type(reply).__name__)
        self._record_reply(request, route, reply)
        return reply

    def _span(self, name: str, request: IncomingRequest, route: Route) -> Span:
        return self._tracer.span(
            name,
            request.trace,
            request=request.request_id,
            route=route.name,
            workspace=request.workspace,
        )

    async def accept(self, batch: Batch) -> Reply | None:
        """Accept a batch, also if it is resubmitted; None means that it is accepted."""
        if not self._batches.has_room:
            _log.warning("gateway: no memory for another batch", batch=batch.id)
            return NotRun(RejectReason.NO_MEMORY, ACCEPT_RETRY_AFTER_S)
        try:
            is_accepted = await self._batches.accept(batch)
        except StoreUnavailableError as error:
            _log.warning(
                "gateway: batch not accepted",
                batch=batch.id,
                reason=error.error_kind.value,
            )
            return NotRun(RejectReason.STORE_UNAVAILABLE, ACCEPT_RETRY_AFTER_S)
        except NotSettledError:
            _log.warning("gateway: batch perhaps accepted", batch=batch.id)
            return Unanswered(RejectReason.STORE_UNAVAILABLE, False)
        # Another batch has this ID, so a retry of this one cannot be accepted either.
        return None if is_accepted else Malformed("id: another batch has this name")

    def _record_reply(
        self, request: IncomingRequest, route: Route, reply: Reply | StreamStarted
    ) -> None:
        seconds = self._clock.monotonic() - request.received_at
        self._instruments.observe_request(route.kind, reply, seconds)

    async def results(
        self,
        batch_id: BatchId,
        after: int,
        wait_s: float,
        caller_workspace: WorkspaceName,
    ) -> ResultPage | NotRun | NotFound:
        """Return results of a batch after a position, if the workspace may see it."""
        try:
            if not await self._is_visible(batch_id, caller_workspace):
                return NotFound(RejectReason.NO_ROUTE)
            page = await self._reader.results(
                batch_id, after, min(wait_s, max(self._max_wait_s(), 0.0))
            )
        except StoreUnavailableError as error:
            return _store_unavailable(batch_id, error)
        return page if page is not None else NotFound(RejectReason.NO_ROUTE)

    async def sample_body(
        self, batch_id: BatchId, sample_id: SampleId, caller_workspace: WorkspaceName
    ) -> bytes | NotRun | NotFound:
        """Return the body of a sample, if the workspace may see its batch."""
        try:
            if not await self._is_visible(batch_id, caller_workspace):
                return NotFound(RejectReason.NO_ROUTE)
            sample = await self._reader.sample(batch_id, sample_id)
        except StoreUnavailableError as error:
            return _store_unavailable(batch_id, error)
        return sample.body if sample is not None else NotFound(RejectReason.NO_ROUTE)

    async def end(
        self, batch_id: BatchId, caller_workspace: WorkspaceName
    ) -> Reply | None:
        """End a batch, if the workspace may see it; None means that it is ended."""
        try:
            if not await self._is_visible(batch_id, caller_workspace):
                return NotFound(RejectReason.NO_ROUTE)
            is_known = await self._repository.end(batch_id)
        except StoreUnavailableError as error:
            return _store_unavailable(batch_id, error)
        except NotSettledError:
            return Unanswered(RejectReason.STORE_UNAVAILABLE, False)
        return None if is_known else NotFound(RejectReason.NO_ROUTE)

    async def _is_visible(
        self, batch_id: BatchId, caller_workspace: WorkspaceName
    ) -> bool:
        """Whether the batch exists and callers of the workspace may see it."""
        owner = await self._reader.workspace_of(batch_id)
        if owner is None:
            return False
        return not self.has_workspaces or owner in (NO_WORKSPACE, caller_workspace)


def _store_unavailable(batch_id: BatchId, error: StoreUnavailableError) -> NotRun:
    _log.warning(
        "gateway: cannot tell of a batch", batch=batch_id, reason=error.error_kind.value
    )
    return NotRun(RejectReason.STORE_UNAVAILABLE, STORE_RETRY_AFTER_S)

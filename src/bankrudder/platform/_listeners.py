"""HTTP listener for callers and trainers."""

import asyncio
import functools

import msgspec
import structlog
from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from multidict import CIMultiDict

from bankrudder.fleet import StreamBrokenError
from bankrudder.memory import Holding, MemoryBudget
from bankrudder.node import Gateway
from bankrudder.offloading import LongWork
from bankrudder.platform import _names as names
from bankrudder.platform._batch_calls import BatchCalls
from bankrudder.platform._batch_documents import (
    MalformedBatchError,
    decode_batch,
    decoding_bytes,
)
from bankrudder.platform._head_writer import HeadWriter
from bankrudder.platform._limits import (
    STATUS_BODY_TOO_LARGE,
    STATUS_HEADERS_TOO_LARGE,
    is_head_too_large,
)
from bankrudder.platform._requests import (
    MEMORY_RETRY_AFTER_S,
    api_key,
    incoming_request,
    response_to,
    with_workspace,
)
from bankrudder.platform._transfers import (
    MAX_BODY_BYTES,
    BodyTooLargeError,
    NoMemoryError,
    holding_request,
    read_request_body,
    send_answer,
)
from bankrudder.relay import (
    IncomingRequest,
    Malformed,
    NotFound,
    NotRun,
    RejectReason,
    StreamStarted,
    Unanswered,
)
from bankrudder.routing import Route, RouteKind
from bankrudder.serving import (
    BoundedListener,
    ConnectionTable,
    ConnectionTimeouts,
    RequestEndedError,
    RequestsInProgress,
)
from bankrudder.workspaces import Admitted
from bankrudder.world import Address, Clock

STATUS_REQUEST_TIMEOUT = 408
"""Status of a request whose body did not arrive in time, so that it did not run."""

MIN_BODY_TIMEOUT_S = 0.1
"""Shortest time for the rest of a body, so that one that came with its head is read."""

BODY_RETRY_AFTER_S = 0.1
"""Retry delay for a request whose body did not arrive in time."""

MAX_HEADER_BYTES = 32768
"""Maximum size of the request line and of each header field.

It is twice what operators can allow, so that this listener never refuses a request that
the configuration allows.
"""

LARGE_BATCH_BYTES = 512 << 10
"""Size from which a batch is decoded in a thread; it may have thousands of samples."""

_log = structlog.get_logger("front")


class _PreparedRequest(msgspec.Struct, frozen=True):
    """A request that was admitted by its head, without its body."""

    incoming: IncomingRequest
    max_body_bytes: int


class CallerListener(BoundedListener):
    """Serves the HTTP requests of callers and trainers.

    Parameters
    ----------
    max_connections : int
        Largest number of connections of callers.
    budget : MemoryBudget
        Memory for the bodies of requests and answers.
    """

    def __init__(
        self,
        address: Address,
        gateway: Gateway,
        clock: Clock,
        max_connections: int,
        budget: MemoryBudget,
    ):
        super().__init__(
            address,
            self._handle,
            ConnectionTable(max_connections, clock),
            self._connection_timeouts,
            backlog=1024,
            request_factory=_make_request,
            handler_cancellation=True,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._budget = budget
        self._gateway = gateway
        self._clock = clock
        self._in_progress = 0
        self._unanswered = RequestsInProgress()
        self._batch_calls = BatchCalls(gateway)
        self._decoding = LongWork()

    @property
    def in_progress(self) -> int:
        """Number of requests that are not answered yet."""
        return self._in_progress

    @property
    def held_bytes(self) -> int:
        """Bytes of bodies that this host holds."""
        return self._budget.held_bytes

    def end_requests(self) -> None:
        """End the requests in progress; their outcome is unknown to their callers."""
        if self._unanswered:
            _log.warning("front: requests ended", count=len(self._unanswered))
        self._unanswered.end_all()

    def _connection_timeouts(self) -> ConnectionTimeouts:
        limits = self._gateway.caller_limits
        return ConnectionTimeouts(limits.header_timeout_s, limits.idle_timeout_s)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._in_progress += 1
        try:
            with holding_request(request, self._budget) as holding:
                response = await self._answer_or_end(request, holding)
            if self._gateway.is_leaving:
                response.force_close()
            if isinstance(response, web.Response):
                response = await self._send_within(request, response)
        finally:
            self._in_progress -= 1
        return response

    async def _answer_or_end(
        self, request: web.BaseRequest, holding: Holding
    ) -> web.StreamResponse:
        try:
            async with self._unanswered.track():
                return await self._answer(request, holding)
        except RequestEndedError:
            return response_to(Unanswered(RejectReason.STOPPING, is_timeout=True))

    async def _send_within(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        """Send a response, whose body counts against the budget until it is sent.

        Results of a batch that do not fit are refused: other hosts have them, too.
        """
        is_repeatable = BatchCalls.handles(request.path)
        try:
            return await send_answer(
                request, response, self._budget, is_repeatable=is_repeatable
            )
        except NoMemoryError:
            _log.warning(
                "front: no memory for an answer",
                path=request.path,
                held_bytes=self._budget.held_bytes,
                budget_bytes=self._budget.limit_bytes,
            )
            return response_to(NotRun(RejectReason.NO_MEMORY, MEMORY_RETRY_AFTER_S))

    def _no_memory_for_request(self, request: web.BaseRequest) -> web.Response:
        _log.warning(
            "front: no memory for a request",
            request=request.headers.get(names.REQUEST_ID, ""),
            held_bytes=self.held_bytes,
        )
        response = response_to(NotRun(RejectReason.NO_MEMORY, MEMORY_RETRY_AFTER_S))
        response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, holding: Holding
    ) -> web.StreamResponse:
        """Answer a request; its body is read only if the request can be served."""
        received_at = self._clock.monotonic()
        if BatchCalls.handles(request.path):
            return await self._batch_calls.answer(request)
        prepared = await self._prepare(request, received_at)
        if isinstance(prepared, web.Response):
            return prepared
        incoming = prepared.incoming
        body = await self._read_body(
            request, holding, incoming, prepared.max_body_bytes
        )
        if isinstance(body, web.Response):
            return body
        incoming = msgspec.structs.replace(incoming, body=body)
        del body  # a batch is decoded without another reference to its request
        # The configuration may have changed while the body arrived, or a stop begun.
        route = self._route(incoming)
        match route:
            case NotRun() | NotFound():
                return response_to(route)
            case Route(kind=RouteKind.ROLLOUT):
                if not holding.grow(decoding_bytes(incoming.body)):
                    return self._no_memory_for_request(request)
                return await self._accept_batch(incoming, route)
            case Route(kind=RouteKind.STREAM):
                return await self._stream(request, incoming, route)
            case _:
                return response_to(await self._gateway.forward(incoming, route))

    async def _prepare(
        self, request: web.BaseRequest, received_at: float
    ) -> _PreparedRequest | web.Response:
        """Return a request whose body may be read, or the response that refuses it."""
        incoming = incoming_request(request, received_at)
        if isinstance(incoming, Malformed):
            return response_to(incoming)
        route = self._route(incoming)
        if not isinstance(route, Route):
            return response_to(route)
        max_body_bytes = MAX_BODY_BYTES
        if route.kind is not RouteKind.ROLLOUT:
            limits = self._gateway.caller_limits
            max_body_bytes = min(limits.max_body_bytes, MAX_BODY_BYTES)
            if is_head_too_large(request, limits):
                return web.Response(status=STATUS_HEADERS_TOO_LARGE)
        admitted = await self._gateway.admit(
            api_key(request), is_public=route.is_public
        )
        if not isinstance(admitted, Admitted):
            return response_to(admitted)
        if self._gateway.has_workspaces or admitted.workspace:
            incoming = with_workspace(incoming, admitted)
        return _PreparedRequest(incoming, max_body_bytes)

    def _route(self, incoming: IncomingRequest) -> Route | NotRun | NotFound:
        """Return the route of a request that can be served before this host stops."""
        route = self._gateway.route(incoming.host, incoming.path)
        if not isinstance(route, Route):
            return route
        return self._gateway.stop_refusal(incoming, route) or route

    async def _read_body(
        self,
        request: web.BaseRequest,
        holding: Holding,
        incoming: IncomingRequest,
        max_bytes: int,
    ) -> bytes | web.Response:
        """Return the body of a request, or the response if it cannot be read."""
        left_s = incoming.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(left_s, MIN_BODY_TIMEOUT_S)):
                return await read_request_body(request, holding, max_bytes)
        except BodyTooLargeError:
            return web.Response(status=STATUS_BODY_TOO_LARGE)
        except NoMemoryError:
            return self._no_memory_for_request(request)
        except TimeoutError:
            _log.info(
                "front: body not received in time",
                request=incoming.request_id,
                received_bytes=holding.size_bytes,
            )
            response = web.Response(
                status=STATUS_REQUEST_TIMEOUT,
                headers={names.RETRY_AFTER: f"{BODY_RETRY_AFTER_S:.2f}"},
            )
            response.force_close()
            return response

    async def _stream(
        self, request: web.BaseRequest, incoming: IncomingRequest, route: Route
    ) -> web.StreamResponse:
        started = await self._gateway.stream(incoming, route)
        if not isinstance(started, StreamStarted):
            return response_to(started)
        response = web.StreamResponse(
            status=started.status, headers=CIMultiDict(started.headers)
        )
        if self._gateway.is_leaving:
            response.force_close()
        await response.prepare(request)
        try:
            async for event in started.events:
                await response.write(event.raw)
        except StreamBrokenError as error:
            _log.warning(
                "front: stream ends early",
                request=incoming.request_id,
                reason=str(error),
            )
            _reset_connection(request)
        except asyncio.CancelledError:
            _reset_connection(request)
            raise
        return response

    async def _accept_batch(
        self, incoming: IncomingRequest, route: Route
    ) -> web.Response:
        """Accept a batch, for whose decoding there is room."""
        decode = functools.partial(
            decode_batch,
            incoming.request_id,
            route,
            incoming.host,
            incoming.body,
            incoming.workspace,
        )
        is_large = len(incoming.body) >= LARGE_BATCH_BYTES
        try:
            batch = await self._decoding.run(decode) if is_large else decode()
        except MalformedBatchError as error:
            return response_to(Malformed(error.field))
        reply = await self._gateway.accept(batch)
        return web.Response(status=202) if reply is None else response_to(reply)


def _reset_connection(request: web.BaseRequest) -> None:
    """Show a caller that a stream is incomplete."""
    if request.transport is not None:
        request.transport.abort()


def _make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: "asyncio.Task[None]",
) -> web.BaseRequest:
    loop = task.get_loop()
    return web.BaseRequest(
        message,
        payload,
        protocol,
        HeadWriter(protocol, loop),
        task,
        loop,
        client_max_size=MAX_BODY_BYTES,
    )

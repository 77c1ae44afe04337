"""HTTP server that limits what clients make it hold.

The HTTP library limits the length of a line, the number of fields and the requests that
wait on a connection, but not the number of connections, nor the bytes that it skips:
blank lines, spaces, zeros before chunk sizes and extensions of chunks. It also accepts
what the event loop reads at once, hundreds of kilobytes.
"""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, cast

import structlog
from aiohttp import web
from aiohttp.streams import StreamReader

from bankrudder.serving._connections import (
    ConnectionState,
    ConnectionTable,
    ConnectionTimeouts,
)
from bankrudder.serving._kernel_buffers import limit_kernel_buffers
from bankrudder.world import Address, host_and_port

MAX_FRAMING_BYTES = 32 << 10
"""Maximum size of what is not the body of a request, beyond the size of the body: twice
the largest head that callers may send by default. Chunks of six bytes or more
have less framing than data."""

READ_BYTES = 16 << 10
"""Largest number of bytes that are read from a connection at once."""

BUFFER_BYTES = 8 << 10
"""Size from which the reading of a body pauses, once it is exceeded twice, until the
request's handler takes it."""

WRITE_BUFFER_BYTES = 16 << 10
"""Unsent bytes of a connection from which its handler waits before it writes more."""

LINGERING_S = 2.0
"""Time for which the rest of a body is read and dropped after an early answer. If the
connection was closed instead, the client might not receive the answer."""

CHECK_INTERVAL_S = 0.5
"""Interval at which time limits are checked."""

KEEP_ALIVE_S = 3600.0
"""Time limit of the HTTP library on idle connections; the limits here are shorter."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger("serving")


class BoundedServer(web.Server):
    """Server that limits its connections, and what is not the body of a request.

    Parameters
    ----------
    table : ConnectionTable
        The open connections.
    """

    def __init__(self, handler: Handler, table: ConnectionTable, **options: Any):
        defaults = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": KEEP_ALIVE_S,
            "lingering_time": LINGERING_S,
            "read_bufsize": BUFFER_BYTES,
        }
        super().__init__(handler, **defaults | options)
        self._table = table
        # The event loop fills it and calls back at once, so connections can share it.
        self._read_buffer = bytearray(READ_BYTES)

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        handler = _BoundedRequestHandler(self, loop=self._loop, **self._kwargs)
        protocol = _BufferedConnection(handler, self._table, self._read_buffer)
        # The HTTP library declares the class of the handler, but only listens with it.
        return cast(web.RequestHandler, protocol)


class _BufferedConnection(asyncio.BufferedProtocol):
    """A connection whose bytes are read in parts of limited size.

    The HTTP library's protocol would be given all that the event loop reads at once.
    """

    def __init__(
        self,
        handler: "_BoundedRequestHandler",
        table: ConnectionTable,
        read_buffer: bytearray,
    ):
        self._handler = handler
        self._table = table
        self._read_buffer = read_buffer
        self._blocked_since: float | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def state(self) -> ConnectionState:
        """What the connection waits for."""
        if self._blocked_since is not None:
            return ConnectionState.SENDING
        return self._handler.state

    @property
    def waiting_since(self) -> float:
        """Monotonic time of the last progress in this state, or of its begin."""
        if self._blocked_since is not None:
            return self._blocked_since
        return self._handler.progress_at

    def abort(self, reason: str) -> None:
        """Close the connection at once."""
        _log.info(
            "serving: connection closed",
            reason=reason,
            state=self.state.value,
            seconds=round(self._table.now - self.waiting_since, 2),
            connections=len(self._table),
            max_connections=self._table.max_connections,
        )
        if self._transport is not None:
            self._transport.abort()

    def close_after_answer(self) -> None:
        """Close the connection once the request in progress is answered."""
        self._handler.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin a connection, unless there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._handler.begin(self._table)
        self._handler.connection_made(transport)
        self._table.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End a connection."""
        self._table.discard(self)
        self._handler.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the bytes that are read next."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read."""
        self._handler.data_received(bytes(memoryview(self._read_buffer)[:nbytes]))

    def eof_received(self) -> None:
        """Take the end of what the client sends."""
        self._handler.eof_received()

    def pause_writing(self) -> None:
        """Wait for a client that does not take what is sent."""
        self._blocked_since = self._table.now
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Send on."""
        self._blocked_since = None
        self._handler.resume_writing()


class _BoundedRequestHandler(web.RequestHandler):
    """Limits the bytes that are not of a body, and tells what the connection waits for.

    Framing is what was received since the last head and is not of the body.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self._received_bytes = 0
        self._body: StreamReader | None = None
        self._has_begun_head = False
        self._is_malformed = False
        self._table: ConnectionTable | None = None
        self._progress_at = 0.0

    @property
    def state(self) -> ConnectionState:
        """What the connection waits for."""
        if self._body is not None and not self._body.is_eof():
            return ConnectionState.BODY
        if self._messages or self._request_in_progress:
            return ConnectionState.BUSY
        return ConnectionState.HEAD if self._has_begun_head else ConnectionState.IDLE

    @property
    def progress_at(self) -> float:
        """Monotonic time at which the state began; of a body, of its last bytes."""
        return self._progress_at

    def begin(self, table: ConnectionTable) -> None:
        """Begin a connection of a table."""
        self._table = table
        self._note_progress()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and close the connection if they are too many."""
        if self._is_malformed:
            return
        waiting_count = len(self._messages)
        if not self._has_begun_head:
            self._note_progress()
        is_of_body = self._body is not None and not self._body.is_eof()
        self._received_bytes += len(data)
        super().data_received(data)
        if len(self._messages) > waiting_count:
            # These bytes may contain parts of the requests before.
            self._received_bytes = 0
            message, self._body = self._messages[-1]
            self._has_begun_head = False
            # The connection ends with the response to what cannot be parsed. Until
            # then the HTTP library would keep an error for each further part.
            self._is_malformed = hasattr(message, "exc")
        elif data and not is_of_body:
            self._has_begun_head = True
        # While reading is paused, received bytes wait to be parsed.
        if not self._reading_paused and not self._buffer_paused:
            self._check_framing()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that is malformed or whose handler failed.

        What clients send is not worth a traceback.
        """
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        _log.info(
            "serving: malformed request",
            status=status,
            reason=type(exc).__name__,
        )
        response = web.Response(status=status, text="malformed request\n")
        response.force_close()
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Complete a response, after which the connection is idle."""
        result = await super().finish_response(request, resp, start_time)
        self._note_progress()
        return result

    def _note_progress(self) -> None:
        if self._table is not None:
            self._progress_at = self._table.now

    def _check_framing(self) -> None:
        body_bytes = self._body.total_bytes if self._body is not None else 0
        framing_bytes = self._received_bytes - body_bytes
        max_bytes = MAX_FRAMING_BYTES + body_bytes
        if framing_bytes <= max_bytes or self.transport is None:
            return
        _log.warning(
            "serving: request head or framing too long, connection closed",
            bytes=framing_bytes,
            body_bytes=body_bytes,
            max_bytes=max_bytes,
        )
        self.transport.abort()


class BoundedListener:
    """Listens for HTTP clients and closes their connections after time limits.

    Parameters
    ----------
    table : ConnectionTable
        The open connections, with their largest number.
    timeouts : callable
        Returns the time limits that apply now.
    backlog : int
        Largest number of connections that the kernel keeps until they are accepted.
    shutdown_timeout_s : float
        Time that responses in progress get when the listener stops.
    ssl_context : ssl.SSLContext, optional
        Without it, the listener uses plain HTTP.
    **options
        Options of the HTTP library's server.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        table: ConnectionTable,
        timeouts: Callable[[], ConnectionTimeouts] = ConnectionTimeouts,
        *,
        backlog: int = 128,
        shutdown_timeout_s: float = 0.5,
        ssl_context: ssl.SSLContext | None = None,
        **options: Any,
    ):
        self._address = address
        self._handler = handler
        self._table = table
        self._timeouts = timeouts
        self._backlog = backlog
        self._shutdown_timeout_s = shutdown_timeout_s
        self._ssl_context = ssl_context
        self._options = options
        self._runner: web.ServerRunner | None = None
        self._check_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> Address:
        """Address of the listener, with the port in use once it is started."""
        if self._runner is None or not self._runner.addresses:
            return self._address
        host, port = self._runner.addresses[0][:2]
        return Address(f"{host}:{port}")

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._table)

    @property
    def closed_connection_count(self) -> int:
        """Number of connections that were closed for a limit, or not accepted."""
        return self._table.closed_count

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        listening = _listening_socket(self._address)
        # It needs the running event loop.
        server = BoundedServer(self._handler, self._table, **self._options)
        runner = web.ServerRunner(server, shutdown_timeout=self._shutdown_timeout_s)
        await runner.setup()
        await web.SockSite(
            runner, listening, backlog=self._backlog, ssl_context=self._ssl_context
        ).start()
        self._runner = runner
        self._check_task = asyncio.ensure_future(self._check_timeouts())

    async def stop(self) -> None:
        """Stop listening and close the remaining connections."""
        if self._check_task is not None:
            self._check_task.cancel()
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._table.close_expired(self._timeouts())


def _listening_socket(address: Address) -> socket.socket:
    """Return a bound socket whose connections have small receive buffers."""
    host, port = host_and_port(address)
    listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_kernel_buffers(listening)
        listening.bind((host, port))
    except OSError:
        listening.close()
        raise
    return listening

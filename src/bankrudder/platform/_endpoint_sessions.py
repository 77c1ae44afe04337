"""HTTP sessions for endpoints.

The endpoints of a service share a connection pool. An endpoint that has restarted at
its address gets a pool of its own, so that no connection to its earlier run is reused.

An endpoint may send more than one answer to a request. A connection is closed when
something arrives on it while it is idle. A second answer may also arrive after the next
request was sent, and only its identifier tells it apart, so a request whose identifier
was sent to the endpoint before goes on a new connection.
"""

import asyncio
from math import inf

import aiohttp
import msgspec
import structlog

from bankrudder.decoding import decode_decimal
from bankrudder.fleet import Endpoint, EndpointRun, OutgoingRequest
from bankrudder.platform._bounded_connections import BoundedConnector
from bankrudder.platform._endpoint_sockets import EndpointSockets
from bankrudder.platform._sent_requests import SentRequests
from bankrudder.platform._single_sends import send_once
from bankrudder.routing import ServiceName
from bankrudder.world import Address

IDLE_TIMEOUT_S = 3.0
"""Time after which an idle connection is closed if the endpoint states no limit."""

IDLE_MARGIN_S = 1.0
"""Margin by which an idle connection is closed here before the endpoint closes it.

Without it a request could be sent on a connection that the endpoint is closing.
"""

MAX_IDLE_TIMEOUT_S = 30.0
"""Maximum time for which an idle connection is kept open."""

NO_IDLE_S = 0.0
"""Idle timeout of connections that are closed after each request."""

MAX_CONNECTIONS = 2048
"""Largest number of connections to endpoints if no other is given."""

BUFFER_BYTES = 8 << 10
"""Size from which the reading of an answer pauses, once it is exceeded twice, until it
is taken."""

_log = structlog.get_logger("endpoints")


class _SessionKey(msgspec.Struct, frozen=True):
    """Key of a session: requests with equal keys share connections."""

    service: ServiceName
    is_persistent: bool
    restarted_run: EndpointRun | None


class _Connector(BoundedConnector):
    """Connector whose idle timeout can change after connections were opened.

    The idle timeout is known from the first answer on. A training step opens a hundred
    connections before that answer; they stay usable. A new connector with the learned
    timeout would leave them all unused.
    """

    def set_idle_timeout(self, idle_s: float) -> None:
        """Set the time for which idle connections are kept open from now on."""
        self._keepalive_timeout = idle_s

    @property
    def oldest_idle_at(self) -> float:
        """Monotonic time since which a connection is idle, infinite if none is."""
        return min((idle[0][1] for idle in self._conns.values() if idle), default=inf)

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle for the longest time."""
        key = min(
            (key for key, idle in self._conns.items() if idle),
            key=lambda each: self._conns[each][0][1],
        )
        protocol, _ = self._conns[key].popleft()
        if not self._conns[key]:
            del self._conns[key]
        protocol.close()


class EndpointSessions:
    """Sessions for requests to endpoints, created on first use.

    Parameters
    ----------
    max_connections : int
        Largest number of connections to all endpoints together.
    """

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._sockets = EndpointSockets(max_connections, self._close_idle)
        self._sessions: dict[_SessionKey, aiohttp.ClientSession] = {}
        self._connectors: dict[_SessionKey, _Connector] = {}
        self._restarted_runs: dict[Address, EndpointRun] = {}
        self._runs: dict[Address, EndpointRun] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._idle_s: dict[ServiceName, float] = {}
        self._sent = SentRequests()

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()

    def session_for_request(
        self, endpoint: Endpoint, request: OutgoingRequest
    ) -> aiohttp.ClientSession:
        """Return the session for a request, and record that the request is sent."""
        is_first = self._sent.note(endpoint.run, request.request_id)
        may_reuse = request.may_reuse_connection and is_first
        return self.session_for(endpoint, may_reuse=may_reuse)

    def session_for(
        self, endpoint: Endpoint, *, may_reuse: bool = True
    ) -> aiohttp.ClientSession:
        """Return the session for a request to an endpoint.

        Parameters
        ----------
        may_reuse : bool
            Whether the request may be sent on a connection that has been idle.
        """
        # Sessions are created here because they need the running event loop.
        service = endpoint.service
        idle_s = self._idle_s.get(service, IDLE_TIMEOUT_S) if may_reuse else NO_IDLE_S
        is_persistent = idle_s > NO_IDLE_S
        session_key = _SessionKey(service, is_persistent, self._restarted_run(endpoint))
        if session_key not in self._sessions:
            connector = _Connector(
                limit=0,
                force_close=not is_persistent,
                socket_factory=self._sockets.create,
            )
            self._connectors[session_key] = connector
            self._sessions[session_key] = _new_session(connector)
        if is_persistent:
            self._connectors[session_key].set_idle_timeout(idle_s)
        return self._sessions[session_key]

    def keep_alive_s(
        self,
        endpoint: Endpoint,
        session: aiohttp.ClientSession,
        response: aiohttp.ClientResponse,
    ) -> float:
        """Return for how long an answer's connection stays open, 0 if it closes."""
        connector = session.connector
        is_closed = response.headers.get("Connection", "").lower() == "close"
        if is_closed or connector is None or connector.force_close:
            return 0.0
        return self._idle_s.get(endpoint.service, IDLE_TIMEOUT_S)

    def learn_idle_time(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        """Record the idle timeout that an endpoint of a service advertises."""
        idle_s = _advertised_idle_s(response)
        if idle_s is None or idle_s == self._idle_s.get(endpoint.service):
            return
        self._idle_s[endpoint.service] = idle_s
        _log.info(
            "endpoints: idle time learned", service=endpoint.service, idle_s=idle_s
        )

    def _close_idle(self) -> None:
        """Close the oldest idle connection of all endpoints, if there is one."""
        connectors = self._connectors.values()
        oldest = min(connectors, key=lambda each: each.oldest_idle_at, default=None)
        if oldest is not None and oldest.oldest_idle_at < inf:
            oldest.close_oldest_idle()

    def _restarted_run(self, endpoint: Endpoint) -> EndpointRun | None:
        """Return the current run of an endpoint that has restarted at its address.

        Return None if no restart is known. If the earlier run crashed behind a broken
        link, its idle connections may be dead without any notice. The later run gets a
        session of its own, so that none of them is reused.
        """
        run = endpoint.run
        known_run = self._runs.setdefault(endpoint.address, run)
        is_stale = known_run.endpoint == run.endpoint and run.is_before(known_run)
        if known_run != run and not is_stale:
            self._runs[endpoint.address] = run
            self._close_sessions(self._restarted_runs.get(endpoint.address))
            self._restarted_runs[endpoint.address] = run
        return self._restarted_runs.get(endpoint.address)

    def _close_sessions(self, run: EndpointRun | None) -> None:
        """Close the sessions that belong only to a run that has ended."""
        if run is None:
            return
        for session_key in [key for key in self._sessions if key.restarted_run == run]:
            del self._connectors[session_key]
            closing_task = asyncio.ensure_future(
                self._sessions.pop(session_key).close()
            )
            self._closing_tasks.add(closing_task)
            closing_task.add_done_callback(self._closing_tasks.discard)


def _advertised_idle_s(response: aiohttp.ClientResponse) -> float | None:
    """Return the usable part of the advertised idle timeout, None if there is none."""
    for part in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = decode_decimal(value)
        if name.lower() == "timeout" and seconds is not None:
            return min(max(seconds - IDLE_MARGIN_S, 0.0), MAX_IDLE_TIMEOUT_S)
    return None


def _new_session(connector: aiohttp.BaseConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        middlewares=(send_once,),
        read_bufsize=BUFFER_BYTES,
    )

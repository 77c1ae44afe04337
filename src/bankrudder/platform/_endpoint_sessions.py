"""Connections to endpoints: one pool a service, and one a run that started again."""

import asyncio

import aiohttp
import msgspec
import structlog

from bankrudder.fleet import Endpoint, EndpointRun, OutgoingRequest
from bankrudder.routing import ServiceName
from bankrudder.world import Address

IDLE_S = 3.0
"""An idle connection is closed after this time if the endpoint does not say how long
it keeps one."""

IDLE_MARGIN_S = 1.0
"""How long before the endpoint an idle connection is closed here, so that no request
is sent on a connection that is being closed."""

MAX_IDLE_S = 30.0
"""Longest time for which an idle connection is kept."""

NOT_KEPT = 0.0
"""Idle time of connections that are closed after each request."""

_log = structlog.get_logger("endpoints")


class _SessionKind(msgspec.Struct, frozen=True):
    """What requests must have in common to use the same connections."""

    service: ServiceName
    is_kept: bool
    later_run: EndpointRun | None


class _Connector(aiohttp.TCPConnector):
    """Connections whose idle time can change, as it is learned from the first answer.

    A step opens a hundred connections before one is answered; they are kept then. A
    connector made anew for the learned time would leave them all unused.
    """

    def keep_idle(self, seconds: float) -> None:
        """Keep idle connections for so long from now on."""
        self._keepalive_timeout = seconds


class EndpointSessions:
    """The sessions through which requests reach endpoints, made when first needed."""

    def __init__(self) -> None:
        self._sessions: dict[_SessionKind, aiohttp.ClientSession] = {}
        self._connectors: dict[_SessionKind, _Connector] = {}
        self._later_runs: dict[Address, EndpointRun] = {}
        self._runs: dict[Address, EndpointRun] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._idle_s: dict[ServiceName, float] = {}

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()

    def of(
        self, endpoint: Endpoint, *, may_reuse: bool = True
    ) -> aiohttp.ClientSession:
        """Return the session for a request to an endpoint.

        Parameters
        ----------
        may_reuse : bool
            Whether a connection that has been idle will do.
        """
        # Sessions are made here because they need the running loop.
        service = endpoint.service
        idle_s = self._idle_s.get(service, IDLE_S) if may_reuse else NOT_KEPT
        is_kept = idle_s > NOT_KEPT
        kind = _SessionKind(service, is_kept, self._later_run(endpoint))
        if kind not in self._sessions:
            connector = _Connector(limit=0, force_close=not is_kept)
            self._connectors[kind] = connector
            self._sessions[kind] = _new_session(connector)
        if is_kept:
            self._connectors[kind].keep_idle(idle_s)
        return self._sessions[kind]

    def keep_alive_s(
        self,
        endpoint: Endpoint,
        request: OutgoingRequest,
        response: aiohttp.ClientResponse,
    ) -> float:
        """Return for how long the connection of an answer is kept, in seconds."""
        is_closed = response.headers.get("Connection", "").lower() == "close"
        if is_closed or not request.may_reuse_connection:
            return 0.0
        return self._idle_s.get(endpoint.service, IDLE_S)

    def learn_idle_time(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        """Take for how long the endpoints of a service keep idle connections."""
        idle_s = _stated_idle_s(response)
        if idle_s is None or idle_s == self._idle_s.get(endpoint.service):
            return
        self._idle_s[endpoint.service] = idle_s
        _log.info(
            "endpoints: idle time learned", service=endpoint.service, idle_s=idle_s
        )

    def _later_run(self, endpoint: Endpoint) -> EndpointRun | None:
        """Return the run of an endpoint that has started again at its address.

        Idle connections to the earlier run may be dead without a sign, if it crashed
        behind a cut link. The later run gets a session of its own, so none is reused.
        """
        run = endpoint.run
        known = self._runs.setdefault(endpoint.address, run)
        is_old = known.endpoint == run.endpoint and run.is_before(known)
        if known != run and not is_old:
            self._runs[endpoint.address] = run
            self._close_sessions(self._later_runs.get(endpoint.address))
            self._later_runs[endpoint.address] = run
        return self._later_runs.get(endpoint.address)

    def _close_sessions(self, run: EndpointRun | None) -> None:
        """Close the connections to a run that has ended, if they are apart."""
        if run is None:
            return
        for kind in [each for each in self._sessions if each.later_run == run]:
            del self._connectors[kind]
            closing = asyncio.ensure_future(self._sessions.pop(kind).close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)


def _stated_idle_s(response: aiohttp.ClientResponse) -> float | None:
    """Return for how long a connection may stay idle, None if it is not stated."""
    for part in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(max(int(value) - IDLE_MARGIN_S, 0.0), MAX_IDLE_S)
    return None


def _new_session(connector: aiohttp.BaseConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )

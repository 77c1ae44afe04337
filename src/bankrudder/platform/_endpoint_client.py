"""Requests and orders to endpoints over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import msgspec
import structlog
from yarl import URL

from bankrudder.fleet import (
    Answered,
    Birth,
    Endpoint,
    EndpointRun,
    EngineState,
    LossReason,
    Lost,
    OpenedStream,
    OrderOutcome,
    OutgoingRequest,
    Reach,
    RefusalReason,
    Refused,
    SendOutcome,
    StreamOutcome,
    SwitchMode,
    VersionOrder,
)
from bankrudder.platform import _names as names
from bankrudder.platform._answers import (
    is_answer_to,
    request_headers,
    stream_outcome,
    whole_answer,
)
from bankrudder.routing import ModelName, ServiceName
from bankrudder.world import Address, ModelVersion

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a connection: a hundred times a usual one, and below the time
in which most answers are still useful."""

IDLE_S = 3.0
"""An idle connection is closed after this time if the endpoint does not say how long
it keeps one."""

IDLE_MARGIN_S = 1.0
"""How long before the endpoint an idle connection is closed here, so that no request
is sent on a connection that is being closed."""

MAX_IDLE_S = 30.0
"""Longest time for which an idle connection is kept."""

CONTROL_TIMEOUT_S = 1.0
"""Longest wait for the answer to an order or a question about state."""

NOT_KEPT = 0.0
"""Idle time of connections that are closed after each request."""

MAX_REASON_CHARS = 200
"""Longest reason in a log line that quotes an endpoint's answer."""

_MODES = {SwitchMode.FINISH_FIRST: "wait", SwitchMode.CONTINUE: "keep"}

_ORDER_OUTCOMES = {
    200: OrderOutcome.ALREADY_SO,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_ENDPOINT,
}


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


class _WireModelState(msgspec.Struct):
    name: str
    version: int = 0


class _WireState(msgspec.Struct):
    """State of an engine, a tenth of a second ago.

    ``sequence`` counts the orders that it accepted, ``num_running`` the requests that
    it works on, ``born`` is the Unix millisecond of its start.
    """

    sequence: int
    busy: bool = False
    models: list[_WireModelState] = []
    num_running: int = 0
    born: Birth | msgspec.UnsetType = msgspec.UNSET


class HttpEndpointClient:
    """Sends to endpoints; each send names the endpoint that it is meant for."""

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

    async def send(self, endpoint: Endpoint, request: OutgoingRequest) -> SendOutcome:
        """Send a request and read the whole answer."""
        try:
            async with self._request(endpoint, request) as response:
                self._learn_idle_time(endpoint, response)
                if not is_answer_to(response, request):
                    response.close()
                    return Lost(LossReason.FOREIGN_ANSWER)
                outcome = await whole_answer(response)
                if isinstance(outcome, Answered):
                    kept_s = self._kept_s(endpoint, request, response)
                    outcome = msgspec.structs.replace(outcome, kept_s=kept_s)
                return outcome
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Refused(_unreached(error))
        except TimeoutError:
            return Lost(LossReason.TIMEOUT)
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            return Lost(LossReason.BROKEN_OFF)
        except (aiohttp.ClientError, OSError):
            return Lost(LossReason.NO_ANSWER)

    @asynccontextmanager
    async def open_stream(
        self, endpoint: Endpoint, request: OutgoingRequest
    ) -> AsyncIterator[StreamOutcome]:
        """Send a request whose answer is a stream; leaving the context ends it."""
        response: aiohttp.ClientResponse | None = None
        outcome: StreamOutcome
        try:
            response = await self._request(endpoint, request)
            self._learn_idle_time(endpoint, response)
            outcome = await stream_outcome(response, request)
            if isinstance(outcome, OpenedStream):
                kept_s = self._kept_s(endpoint, request, response)
                outcome = msgspec.structs.replace(outcome, kept_s=kept_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            outcome = Refused(_unreached(error))
        except TimeoutError:
            outcome = Lost(LossReason.TIMEOUT)
        except (aiohttp.ClientError, OSError):
            outcome = Lost(LossReason.NO_ANSWER)
        try:
            yield outcome
        finally:
            if response is not None:
                # Closes the connection unless the answer was read to its end.
                response.close()

    async def reach(self, endpoint: Endpoint) -> Reach:
        """Find out whether anybody listens at an endpoint's address."""
        host, _, port = endpoint.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return Reach.NOT_LISTENING
        except (OSError, TimeoutError):
            return Reach.UNKNOWN
        writer.close()
        return Reach.LISTENING

    async def state(self, endpoint: Endpoint) -> EngineState | None:
        """Ask an engine for its state, None if it does not tell."""
        try:
            async with self._session(endpoint).get(
                _url(endpoint, names.STATE_PATH),
                headers={names.EXPECTED_ENDPOINT: endpoint.id},
                timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    return None
                wire = msgspec.json.decode(await response.read(), type=_WireState)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            _log.info(
                "endpoints: no state", endpoint=endpoint.id, reason=type(error).__name__
            )
            return None
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            _log.warning(
                "endpoints: state not understood",
                endpoint=endpoint.id,
                reason=str(error)[:MAX_REASON_CHARS],
            )
            return None
        versions = {
            ModelName(each.name): ModelVersion(each.version) for each in wire.models
        }
        born = None if wire.born is msgspec.UNSET else wire.born
        return EngineState(wire.sequence, wire.busy, versions, wire.num_running, born)

    async def order(self, endpoint: Endpoint, order: VersionOrder) -> OrderOutcome:
        """Send an order to an engine."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": _MODES[order.mode],
            "holder": order.holder,
            "fence": order.fencing_token,
            "precondition": order.expected_orders,
        }
        try:
            # On a connection that the endpoint is closing the outcome is unknown, which
            # the count of orders settles; a new one for each order costs more.
            async with self._session(endpoint).post(
                _url(endpoint, names.ORDERS_PATH),
                data=msgspec.json.encode(body),
                headers={
                    names.EXPECTED_ENDPOINT: endpoint.id,
                    "Content-Type": "application/json",
                },
                timeout=aiohttp.ClientTimeout(
                    total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                return _ORDER_OUTCOMES.get(response.status, OrderOutcome.REJECTED)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return OrderOutcome.NOT_SENT
        except (aiohttp.ClientError, OSError, TimeoutError):
            return OrderOutcome.UNKNOWN

    def _request(self, endpoint: Endpoint, request: OutgoingRequest) -> Any:
        return self._session(endpoint, request.may_reuse_connection).request(
            request.method,
            _url(endpoint, request.target),
            headers=request_headers(endpoint, request),
            data=request.body or None,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=request.timeout_s, sock_connect=CONNECT_TIMEOUT_S
            ),
        )

    def _session(
        self, endpoint: Endpoint, may_reuse: bool = True
    ) -> aiohttp.ClientSession:
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

    def _kept_s(
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

    def _learn_idle_time(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        idle_s = _stated_idle_s(response)
        if idle_s is None or idle_s == self._idle_s.get(endpoint.service):
            return
        self._idle_s[endpoint.service] = idle_s
        _log.info(
            "endpoints: idle time learned", service=endpoint.service, idle_s=idle_s
        )


def _unreached(error: aiohttp.ClientError) -> RefusalReason:
    """Return why there is no connection."""
    if isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    ):
        return RefusalReason.NOT_LISTENING
    return RefusalReason.UNREACHABLE


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


def _url(endpoint: Endpoint, target: str) -> URL:
    return URL(f"http://{endpoint.address}{target}", encoded=True)

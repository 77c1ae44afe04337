"""HTTP client for requests and orders to endpoints."""

import asyncio
import errno
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import msgspec
import structlog
from yarl import URL

from bankrudder.decoding import (
    NonNegativeInt,
    UnreadableDocumentError,
    decode_json,
)
from bankrudder.fleet import (
    Answered,
    Endpoint,
    EngineState,
    LossReason,
    Lost,
    OpenedStream,
    OrderOutcome,
    OutgoingRequest,
    ProbeResult,
    RefusalReason,
    Refused,
    SendOutcome,
    StartTime,
    StreamOutcome,
    SwitchMode,
    VersionOrder,
)
from bankrudder.memory import MemoryBudget
from bankrudder.platform import _names as names
from bankrudder.platform._answers import (
    is_answer_to,
    read_answer,
    request_headers,
    stream_outcome,
)
from bankrudder.platform._body_slices import outgoing_body
from bankrudder.platform._bounded_answers import AnswerTooLongError, read_body
from bankrudder.platform._endpoint_sessions import MAX_CONNECTIONS, EndpointSessions
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion, host_and_port

CONNECT_TIMEOUT_S = 0.4
"""Timeout of a connection attempt.

It is a hundred times the usual connect time, and shorter than the time within which
most answers are still useful.
"""

CONTROL_TIMEOUT_S = 1.0
"""Timeout of orders and state queries."""

MAX_STATE_BYTES = 1 << 20
"""Maximum size of the state that an engine reports: thousands of models."""

_WIRE_MODES = {SwitchMode.FINISH_FIRST: "wait", SwitchMode.CONTINUE: "keep"}

_ORDER_OUTCOMES = {
    200: OrderOutcome.ALREADY_SO,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_ENDPOINT,
}


_log = structlog.get_logger("endpoints")


class _WireModelState(msgspec.Struct):
    name: str
    version: NonNegativeInt = 0


class _WireState(msgspec.Struct):
    """State that an engine reports, as it was a tenth of a second earlier.

    ``sequence`` counts the orders that the engine accepted, ``num_running`` the
    requests that it is processing. ``born`` is the start time of the engine's run in
    Unix milliseconds.
    """

    sequence: NonNegativeInt
    busy: bool = False
    models: list[_WireModelState] = []
    num_running: NonNegativeInt = 0
    born: StartTime | msgspec.UnsetType = msgspec.UNSET


class HttpEndpointClient:
    """Sends requests and orders to endpoints, each of them once.

    Each request states the endpoint that it is meant for, so that another endpoint at
    the same address refuses it.

    Parameters
    ----------
    budget : MemoryBudget, optional
        Memory for the bodies of answers; by default that of a process whose memory is
        not known.
    max_connections : int
        Largest number of connections to all endpoints together.
    """

    def __init__(
        self,
        budget: MemoryBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._budget = budget or MemoryBudget.of_unknown_process()
        self._sessions = EndpointSessions(max_connections)

    async def close(self) -> None:
        """Close all connections."""
        await self._sessions.close()

    async def send(self, endpoint: Endpoint, request: OutgoingRequest) -> SendOutcome:
        """Send a request and read the complete answer."""
        session = self._sessions.session_for_request(endpoint, request)
        try:
            async with _request(session, endpoint, request) as response:
                self._sessions.learn_idle_time(endpoint, response)
                if not is_answer_to(response, request):
                    response.close()
                    return Lost(LossReason.FOREIGN_ANSWER)
                outcome = await read_answer(response, self._budget)
                if isinstance(outcome, Answered):
                    keep_alive_s = self._sessions.keep_alive_s(
                        endpoint, session, response
                    )
                    outcome = msgspec.structs.replace(
                        outcome, keep_alive_s=keep_alive_s
                    )
                return outcome
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Refused(_connect_refusal(error))
        except TimeoutError:
            return Lost(LossReason.TIMEOUT)
        except AnswerTooLongError as error:
            _drop_frames(error)
            return Lost(LossReason.TOO_LONG)
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError) as error:
            _drop_frames(error)
            return Lost(LossReason.BROKEN_OFF)
        except (aiohttp.ClientError, OSError) as error:
            _drop_frames(error)
            return Lost(LossReason.NO_ANSWER)

    @asynccontextmanager
    async def open_stream(
        self, endpoint: Endpoint, request: OutgoingRequest
    ) -> AsyncIterator[StreamOutcome]:
        """Send a request whose answer is a stream; leaving the context closes it."""
        response: aiohttp.ClientResponse | None = None
        outcome: StreamOutcome
        session = self._sessions.session_for_request(endpoint, request)
        try:
            response = await _request(session, endpoint, request)
            self._sessions.learn_idle_time(endpoint, response)
            outcome = await stream_outcome(response, request, self._budget)
            if isinstance(outcome, OpenedStream):
                keep_alive_s = self._sessions.keep_alive_s(endpoint, session, response)
                outcome = msgspec.structs.replace(outcome, keep_alive_s=keep_alive_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            outcome = Refused(_connect_refusal(error))
        except TimeoutError:
            outcome = Lost(LossReason.TIMEOUT)
        except AnswerTooLongError as error:
            _drop_frames(error)
            outcome = Lost(LossReason.TOO_LONG)
        except (aiohttp.ClientError, OSError) as error:
            _drop_frames(error)
            outcome = Lost(LossReason.NO_ANSWER)
        try:
            yield outcome
        finally:
            if response is not None:
                # This closes the connection unless the answer was read to its end.
                response.close()

    async def reach(self, endpoint: Endpoint) -> ProbeResult:
        """Check whether a process listens at an endpoint's address."""
        host, port = host_and_port(endpoint.address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return ProbeResult.NOT_LISTENING
        except (OSError, TimeoutError):
            return ProbeResult.UNKNOWN
        writer.close()
        return ProbeResult.LISTENING

    async def state(self, endpoint: Endpoint) -> EngineState | None:
        """Return the state of an engine, None if the query fails."""
        try:
            async with self._sessions.session_for(endpoint).get(
                _url(endpoint, names.STATE_PATH),
                headers={names.EXPECTED_ENDPOINT: endpoint.id},
                timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S),
                allow_redirects=False,
                # The HTTP client may repeat a query.
                middlewares=(),
            ) as response:
                if any(response.headers.getall(names.REQUEST_ID, [])):
                    response.close()
                    _log_foreign_answer(endpoint, names.STATE_PATH)
                    return None
                if response.status != 200:
                    return None
                wire = decode_json(
                    await read_body(response, MAX_STATE_BYTES), _WireState
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            _log.info(
                "endpoints: state query failed",
                endpoint=endpoint.id,
                reason=type(error).__name__,
            )
            return None
        except UnreadableDocumentError as error:
            _log.warning(
                "endpoints: state not understood",
                endpoint=endpoint.id,
                reason=error.reason,
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
            "mode": _WIRE_MODES[order.mode],
            "holder": order.holder,
            "fence": order.fencing_token,
            "precondition": order.expected_orders,
        }
        try:
            # If the endpoint is closing the reused connection, the outcome is unknown
            # until the engine's count of orders shows it. A new connection for each
            # order would cost more.
            async with self._sessions.session_for(endpoint).post(
                _url(endpoint, names.ORDERS_PATH),
                data=msgspec.json.encode(body),
                headers={
                    names.EXPECTED_ENDPOINT: endpoint.id,
                    "Content-Type": "application/json",
                },
                timeout=aiohttp.ClientTimeout(
                    total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as response:
                if any(response.headers.getall(names.REQUEST_ID, [])):
                    response.close()
                    _log_foreign_answer(endpoint, names.ORDERS_PATH)
                    return OrderOutcome.UNKNOWN
                return _order_outcome(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return OrderOutcome.NOT_SENT
        except (aiohttp.ClientError, OSError, TimeoutError):
            return OrderOutcome.UNKNOWN


def _request(
    session: aiohttp.ClientSession, endpoint: Endpoint, request: OutgoingRequest
) -> Any:
    return session.request(
        request.method,
        _url(endpoint, request.target),
        headers=request_headers(endpoint, request),
        data=outgoing_body(request.body),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        allow_redirects=False,
        timeout=aiohttp.ClientTimeout(
            total=request.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        ),
    )


def _order_outcome(response: aiohttp.ClientResponse) -> OrderOutcome:
    if response.status in _ORDER_OUTCOMES:
        return _ORDER_OUTCOMES[response.status]
    if 400 <= response.status < 500 or names.NOT_RUN in response.headers:
        return OrderOutcome.REJECTED
    return OrderOutcome.UNKNOWN


def _drop_frames(error: BaseException) -> None:
    """Remove the frames of an error that the HTTP client keeps with an answer.

    They refer to the answer and to both bodies. The cycle would keep all of them in
    memory until the collector runs, which counts objects and not bytes.
    """
    error.__traceback__ = None


def _connect_refusal(error: aiohttp.ClientError) -> RefusalReason:
    """Return the reason why a connection attempt failed."""
    if not isinstance(error, aiohttp.ClientConnectorError):
        return RefusalReason.UNREACHABLE
    if isinstance(error.os_error, ConnectionRefusedError):
        return RefusalReason.NOT_LISTENING
    if error.os_error.errno in (errno.EMFILE, errno.ENFILE):
        # This host has no descriptor left, which says nothing of the endpoint.
        return RefusalReason.FULL
    return RefusalReason.UNREACHABLE


def _log_foreign_answer(endpoint: Endpoint, path: str) -> None:
    # Orders and state queries are sent without an identifier, so an answer that echoes
    # one is the second answer to an earlier request on the connection. Some endpoints
    # echo the missing identifier as an empty one.
    _log.info("endpoints: answer of a request", endpoint=endpoint.id, path=path)


def _url(endpoint: Endpoint, target: str) -> URL:
    return URL(f"http://{endpoint.address}{target}", encoded=True)

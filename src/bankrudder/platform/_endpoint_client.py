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
from bankrudder.platform import _names as names
from bankrudder.platform._answers import (
    is_answer_to,
    request_headers,
    stream_outcome,
    whole_answer,
)
from bankrudder.platform._endpoint_sessions import EndpointSessions
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a connection: a hundred times a usual one, and below the time
in which most answers are still useful."""

CONTROL_TIMEOUT_S = 1.0
"""Longest wait for the answer to an order or a question about state."""

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
    born: StartTime | msgspec.UnsetType = msgspec.UNSET


class HttpEndpointClient:
    """Sends to endpoints; each send names the endpoint that it is meant for."""

    def __init__(self) -> None:
        self._sessions = EndpointSessions()

    async def close(self) -> None:
        """Close all connections."""
        await self._sessions.close()

    async def send(self, endpoint: Endpoint, request: OutgoingRequest) -> SendOutcome:
        """Send a request and read the whole answer."""
        try:
            async with self._request(endpoint, request) as response:
                self._sessions.learn_idle_time(endpoint, response)
                if not is_answer_to(response, request):
                    response.close()
                    return Lost(LossReason.FOREIGN_ANSWER)
                outcome = await whole_answer(response)
                if isinstance(outcome, Answered):
                    keep_alive_s = self._sessions.keep_alive_s(
                        endpoint, request, response
                    )
                    outcome = msgspec.structs.replace(
                        outcome, keep_alive_s=keep_alive_s
                    )
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
            self._sessions.learn_idle_time(endpoint, response)
            outcome = await stream_outcome(response, request)
            if isinstance(outcome, OpenedStream):
                keep_alive_s = self._sessions.keep_alive_s(endpoint, request, response)
                outcome = msgspec.structs.replace(outcome, keep_alive_s=keep_alive_s)
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

    async def reach(self, endpoint: Endpoint) -> ProbeResult:
        """Find out whether anybody listens at an endpoint's address."""
        host, _, port = endpoint.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.NOT_LISTENING
        except (OSError, TimeoutError):
            return ProbeResult.UNKNOWN
        writer.close()
        return ProbeResult.LISTENING

    async def state(self, endpoint: Endpoint) -> EngineState | None:
        """Ask an engine for its state, None if it does not tell."""
        try:
            async with self._sessions.of(endpoint).get(
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
            async with self._sessions.of(endpoint).post(
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
        return self._sessions.of(
            endpoint, may_reuse=request.may_reuse_connection
        ).request(
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


def _unreached(error: aiohttp.ClientError) -> RefusalReason:
    """Return why there is no connection."""
    if isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    ):
        return RefusalReason.NOT_LISTENING
    return RefusalReason.UNREACHABLE


def _url(endpoint: Endpoint, target: str) -> URL:
    return URL(f"http://{endpoint.address}{target}", encoded=True)

"""HTTP client for the platform's duty API.

A call's body is sent only while this host holds the lease of the duty. Connections are
reset when they are closed, so that no delayed call reaches the platform later.
"""

import socket
import struct
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from bankrudder.duties import (
    DutyCall,
    DutyGrant,
    DutyOutcome,
    EndpointOrder,
    UsageReport,
)
from bankrudder.platform import _names as names
from bankrudder.platform._bounded_connections import BoundedConnector
from bankrudder.platform._single_sends import send_once
from bankrudder.world import Address

CONNECT_TIMEOUT_S = 0.4
"""Timeout of a connection attempt: a hundred times the usual connect time."""

IDLE_TIMEOUT_S = 2.0
"""Time after which idle connections are closed, before they can fail unnoticed."""

_LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which a close resets the connection and discards unsent data.

Without it a call that a broken link holds up could still arrive later.
"""


class HttpDutyApi:
    """Makes duty calls over HTTP, without retries."""

    def __init__(self, address: Address):
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, call: DutyCall, grant: DutyGrant) -> DutyOutcome:
        """Make a call and return its outcome."""
        path, body = _path_and_body(call)
        guarded_body = _GuardedBody(body, grant)
        timeout = aiohttp.ClientTimeout(
            total=grant.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._open_session().post(
                self._base + path,
                data=guarded_body.content(),
                headers={
                    "Content-Length": str(len(body)),
                    names.DUTY_HOLDER: grant.holder,
                    names.FENCING_TOKEN: str(grant.fence),
                    "Content-Type": "application/json",
                },
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return _outcome(call, response.status)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return DutyOutcome.REFUSED
        except (aiohttp.ClientError, OSError, TimeoutError, _LeaseLostError):
            if guarded_body.was_withheld:
                return DutyOutcome.NOT_ON_DUTY
            return DutyOutcome.UNKNOWN

    def _open_session(self) -> aiohttp.ClientSession:
        # The session is created here because it needs the running event loop.
        if self._session is None:
            connector = BoundedConnector(
                limit=1,
                keepalive_timeout=IDLE_TIMEOUT_S,
                socket_factory=_resetting_socket,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(send_once,),
            )
        return self._session


class _LeaseLostError(Exception):
    """The lease of the duty was lost between its check and the sending of the body."""


class _GuardedBody:
    """The body of a call, which is sent only while the lease of the duty is held."""

    def __init__(self, body: bytes, grant: DutyGrant):
        self._body = body
        self._grant = grant
        self.was_withheld = False

    async def content(self) -> AsyncIterator[bytes]:
        """Yield the body; the platform does not execute a call without its body.

        Raises
        ------
        _LeaseLostError
            If the lease is no longer held; the connection is then reset.
        """
        if not self._grant.is_held():
            self.was_withheld = True
            raise _LeaseLostError
        yield self._body


def _resetting_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    created_socket = socket.socket(family, kind, protocol)
    created_socket.setblocking(False)
    created_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    return created_socket


def _path_and_body(call: DutyCall) -> tuple[str, bytes]:
    body: dict[str, object]
    match call:
        case UsageReport(window=window, counts=counts):
            path = names.USAGE_PATH
            body = {"window_index": window, "instance_counts": counts}
        case EndpointOrder(service=service, data_centre=data_centre, count=count):
            path = names.SUPPLY_PATH
            # This call uses the field for endpoints; batches use it for sample groups.
            body = {"service": service, "zone": data_centre, "target_groups": count}
    return path, msgspec.json.encode(body)


def _outcome(call: DutyCall, status: int) -> DutyOutcome:
    match status:
        case 200 | 201 | 202 | 204:
            return DutyOutcome.DONE
        case 429 | 503:
            return DutyOutcome.REFUSED
        case 409 if isinstance(call, EndpointOrder):
            return DutyOutcome.REFUSED  # no endpoint is available at the moment
        case _ if 400 <= status < 500:
            return DutyOutcome.REJECTED
        case _:
            return DutyOutcome.UNKNOWN

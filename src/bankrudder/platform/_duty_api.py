"""The platform's interface for duties over HTTP."""

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
from bankrudder.world import Address

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a connection: a hundred times a usual one."""

IDLE_S = 2.0
"""Idle connections are closed after this time, before they can fall silent."""

_DROP_UNSENT = struct.pack("ii", 1, 0)
"""Closing resets the connection, so that what a cut link holds up never arrives."""


class HttpDutyApi:
    """Makes calls of duties."""

    def __init__(self, address: Address):
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, call: DutyCall, grant: DutyGrant) -> DutyOutcome:
        """Make a call."""
        path, body = _wire(call)
        held = _HeldBody(body, grant)
        timeout = aiohttp.ClientTimeout(
            total=grant.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._opened().post(
                self._base + path,
                data=held.parts(),
                headers={
                    "Content-Length": str(len(body)),
                    names.HOLDER: grant.holder,
                    names.FENCE: str(grant.fence),
                    "Content-Type": "application/json",
                },
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return _outcome(call, response.status)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return DutyOutcome.REFUSED
        except (aiohttp.ClientError, OSError, TimeoutError, _DutyLostError):
            if held.was_withheld:
                return DutyOutcome.NOT_ON_DUTY
            return DutyOutcome.UNKNOWN

    def _opened(self) -> aiohttp.ClientSession:
        # The session is made here because it needs the running loop.
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=1, keepalive_timeout=IDLE_S, socket_factory=_resetting_socket
            )
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._session


class _DutyLostError(Exception):
    """The duty was lost between the look at its lease and the sending."""


class _HeldBody:
    """The body of a call, which is sent only while the duty is held."""

    def __init__(self, body: bytes, grant: DutyGrant):
        self._body = body
        self._grant = grant
        self.was_withheld = False

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body; without it the call is not carried out.

        Raises
        ------
        _DutyLostError
            If the duty is not held any more; the connection is then reset.
        """
        if not self._grant.is_held():
            self.was_withheld = True
            raise _DutyLostError
        yield self._body


def _resetting_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DROP_UNSENT)
    return made


def _wire(call: DutyCall) -> tuple[str, bytes]:
    body: dict[str, object]
    match call:
        case UsageReport(window=window, counts=counts):
            path = names.USAGE_PATH
            body = {"window_index": window, "instance_counts": counts}
        case EndpointOrder(service=service, data_centre=place, count=count):
            path = names.SUPPLY_PATH
            # The field counts endpoints here; batches use it for groups.
            body = {"service": service, "zone": place, "target_groups": count}
    return path, msgspec.json.encode(body)


def _outcome(call: DutyCall, status: int) -> DutyOutcome:
    match status:
        case 200 | 201 | 202 | 204:
            return DutyOutcome.DONE
        case 429 | 503:
            return DutyOutcome.REFUSED
        case 409 if isinstance(call, EndpointOrder):
            return DutyOutcome.REFUSED  # none is to be had at the moment
        case _ if status < 500:
            return DutyOutcome.REJECTED
        case _:
            return DutyOutcome.UNKNOWN

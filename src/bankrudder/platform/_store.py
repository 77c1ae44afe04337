"""HTTP client for the platform's store.

A commit without a usable reply has an unknown outcome, unless no connection was made.
It is never repeated here. Reads, and calls for objects, which are written only if
absent, are repeated once if their connection ends without a reply.
"""

import asyncio
import base64
from typing import Any, Self
from urllib.parse import quote

import aiohttp
import msgspec
import structlog

from bankrudder.decoding import NonNegativeInt, UnreadableDocumentError, decode_json
from bankrudder.platform import _names as names
from bankrudder.platform._body_slices import outgoing_body
from bankrudder.platform._bounded_answers import read_body
from bankrudder.platform._bounded_connections import BoundedConnector
from bankrudder.platform._single_sends import ConnectionLostError, send_once
from bankrudder.store import (
    Changes,
    CommitOutcome,
    Committed,
    CommitUnknown,
    Conflict,
    HistoryLostError,
    NotCommitted,
    Page,
    RemovedRow,
    Row,
    RowKey,
    RowVersion,
    StoreErrorKind,
    StoreUnavailableError,
    Transaction,
)
from bankrudder.world import Address

CALL_TIMEOUT_S = 0.8
"""Timeout of a call, apart from the time that a call asks the store to wait.

It is 1.5 times what a transaction takes when the store is sixty times slower than
usual. A batch lists its results again after this time if the reply to the commit is
lost.
"""

OBJECT_TIMEOUT_S = 4.0
"""Timeout of reads and writes of objects.

They take three times as long as transactions. Removals use `CALL_TIMEOUT_S`.
"""

FOLLOW_SLACK_S = 0.6
"""Timeout of a read of changes beyond the time for which the store may hold it open.

It is twice what a read takes when the store is sixty times slower than usual.
"""

CONNECT_TIMEOUT_S = 0.5
"""Timeout of a connection attempt: a hundred times the usual round-trip time."""

MIN_TIMEOUT_S = 0.01
"""Shortest timeout of a request; the HTTP client takes zero for no timeout."""

MAX_CONNECTIONS = 24
"""Maximum number of connections to the store; further calls wait for a free one."""

IDLE_TIMEOUT_S = 10.0
"""Time after which idle connections are closed, before they can fail unnoticed."""

MAX_REPLY_BYTES = 32 << 20
"""Maximum size of a reply: four times the largest object, and thirty times the largest
page of rows. Only changes have no stated limit."""

LARGE_REPLY_BYTES = 256 << 10
MAX_LARGE_REPLIES = 2
"""Size from which a reply is large, and largest number of large replies that are read
at the same time. Decoding a page of rows takes several times its size."""

REPEATABLE_METHODS = frozenset({"GET", "PUT", "DELETE"})
"""Methods of the calls that have the same effect if they are repeated."""

_ERROR_KIND_OF_STATUS = {
    429: StoreErrorKind.RATE_LIMITED,
    503: StoreErrorKind.BUSY,
    507: StoreErrorKind.FULL,
}


_REFUSALS = frozenset({503, 507})
"""Statuses that say that nothing was written, besides those from 400 to 499."""

_log = structlog.get_logger("store")


class _WireRow(msgspec.Struct, omit_defaults=True):
    """A row in the store's format; ``value`` is base64."""

    table: str
    part: str = ""
    key: str = ""
    value: str = ""
    ver: NonNegativeInt = 0
    tombstone: bool = False


class _WireReply(msgspec.Struct):
    """Any reply of the store; ``ver`` is the latest version of the store."""

    rows: list[_WireRow] = []
    parts: list[str] = []
    has_more: bool = False
    ver: NonNegativeInt = 0
    now_ms: float = 0.0


class _Reply(msgspec.Struct):
    """A reply in the project's types; ``store_time_s`` is by the store's clock."""

    changes: tuple[Row | RemovedRow, ...]
    parts: tuple[str, ...]
    has_more: bool
    version: RowVersion
    store_time_s: float

    @property
    def rows(self) -> tuple[Row, ...]:
        """The changes that are not removals."""
        return tuple(each for each in self.changes if isinstance(each, Row))


class _HttpReply(msgspec.Struct):
    """A reply of the store as it was received.

    `may_be_applied` is whether the call was sent before without a reply, so that it may
    have been applied whatever this reply states.
    """

    status: int
    body: bytes
    may_be_applied: bool


class _NoReplyError(Exception):
    """There is no usable reply.

    `may_be_applied` is false only if no connection was made, so that nothing was sent,
    neither at the first time nor at a repetition.
    """

    def __init__(self, error_kind: StoreErrorKind, may_be_applied: bool):
        super().__init__(error_kind.value)
        self.error_kind = error_kind
        self.may_be_applied = may_be_applied


class PlatformStore:
    """Client for the platform's store, which holds rows and objects."""

    def __init__(self, address: Address):
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self._large_replies = asyncio.Semaphore(MAX_LARGE_REPLIES)

    @classmethod
    def from_config(cls, address: Address) -> Self:
        """Create a client that opens connections on first use."""
        return cls(address)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if all of its expectations hold."""
        body = msgspec.json.encode(_wire_transaction(transaction))
        try:
            reply = await self._call("POST", names.COMMIT_PATH, body=body)
            match reply.status:
                case 200:
                    decoded = _decode(reply.body)
                    return Committed(decoded.version, decoded.store_time_s)
                case 412:
                    return Conflict(_decode(reply.body).rows)
                case _:
                    return _outcome_of_failure(reply)
        except _NoReplyError as error:
            return _outcome_without_reply(error)

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows of one part, ordered by key, with ``start <= key < end``."""
        query = {"table": table, "part": part, "limit": str(limit)}
        if start:
            query["from"] = start
        if end:
            query["target"] = end  # exclusive end of the range
        reply = await self._read(names.READ_PATH, query)
        return Page(reply.rows, reply.version, reply.has_more)

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        found: list[str] = []
        query = {"table": table}
        while True:
            reply = await self._read(names.PARTS_PATH, query)
            found += reply.parts
            if not reply.has_more or not reply.parts:
                return tuple(found)
            query["after"] = reply.parts[-1]

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return the changes after a version, waiting up to `wait_s` for the first."""
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(round(wait_s * 1000)),
        }
        reply = await self._read(names.FOLLOW_PATH, query, FOLLOW_SLACK_S + wait_s)
        return Changes(reply.changes, reply.version)

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write an object that does not exist yet."""
        try:
            reply = await self._call(
                "PUT",
                names.PUT_OBJECT_PATH + _quoted(name),
                body=body,
                headers={"If-None-Match": "*"},
                timeout_s=OBJECT_TIMEOUT_S,
            )
        except _NoReplyError as error:
            return _outcome_without_reply(error)
        match reply.status:
            case 200 | 201 | 204:
                return Committed(RowVersion(0))
            case 412:
                return Conflict(())
            case _:
                return _outcome_of_failure(reply)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        try:
            reply = await self._call(
                "GET", names.GET_OBJECT_PATH + _quoted(name), timeout_s=OBJECT_TIMEOUT_S
            )
        except _NoReplyError as error:
            raise StoreUnavailableError(error.error_kind) from None
        match reply.status:
            case 200:
                return reply.body
            case 404:
                return None
            case status:
                raise StoreUnavailableError(_error_kind_of(status))

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object; succeed also if it does not exist."""
        try:
            reply = await self._call("DELETE", names.DROP_OBJECT_PATH + _quoted(name))
        except _NoReplyError as error:
            return CommitUnknown(error.error_kind)
        if reply.status in (200, 204, 404):
            return Committed(RowVersion(0))
        return _outcome_of_failure(reply)

    async def _read(
        self, path: str, query: dict[str, str], timeout_s: float = CALL_TIMEOUT_S
    ) -> _Reply:
        try:
            reply = await self._call("GET", path, query=query, timeout_s=timeout_s)
            match reply.status:
                case 200:
                    return _decode(reply.body)
                case 410:
                    raise HistoryLostError
                case status:
                    raise StoreUnavailableError(_error_kind_of(status))
        except _NoReplyError as error:
            raise StoreUnavailableError(error.error_kind) from None

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _HttpReply:
        deadline = asyncio.get_running_loop().time() + timeout_s
        may_be_applied = False
        for _ in range(2 if method in REPEATABLE_METHODS else 1):
            left_s = deadline - asyncio.get_running_loop().time()
            try:
                status, reply = await self._send(
                    method, path, query, body, headers, left_s
                )
                return _HttpReply(status, reply, may_be_applied)
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                error_kind = StoreErrorKind.UNREACHABLE
                raise _NoReplyError(error_kind, may_be_applied) from None
            except ConnectionLostError:
                may_be_applied = True
            except (TimeoutError, aiohttp.ClientError, OSError):
                break
        raise _NoReplyError(StoreErrorKind.NO_REPLY, True)

    async def _send(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        body: bytes | None,
        headers: dict[str, str] | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=max(timeout_s, MIN_TIMEOUT_S), sock_connect=CONNECT_TIMEOUT_S
        )
        async with self._open_session().request(
            method,
            self._base + path,
            params=query,
            data=outgoing_body(body or b""),
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            if (response.content_length or 0) <= LARGE_REPLY_BYTES:
                return response.status, await read_body(response, MAX_REPLY_BYTES)
            # The caller decodes the reply before another task runs.
            async with self._large_replies:
                return response.status, await read_body(response, MAX_REPLY_BYTES)

    def _open_session(self) -> aiohttp.ClientSession:
        # The session is created here because it needs the running event loop.
        if self._session is None:
            connector = BoundedConnector(
                limit=MAX_CONNECTIONS, keepalive_timeout=IDLE_TIMEOUT_S
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(send_once,),
                headers={"Content-Type": "application/json"},
            )
        return self._session


def _wire_transaction(transaction: Transaction) -> dict[str, Any]:
    return {
        "precondition": [
            {**_wire_key(each.key), "ver": each.version}
            for each in transaction.expectations
        ],
        "set_keys": [
            {
                **_wire_key(each.key),
                "value": base64.b64encode(each.value).decode("ascii"),
            }
            for each in transaction.puts
        ],
        "remove": [_wire_key(key) for key in transaction.removals],
    }


def _wire_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _quoted(name: str) -> str:
    """Return the name of an object as a path: callers choose a part of it."""
    return quote(name, safe="/")


def _change(row: _WireRow) -> Row | RemovedRow:
    key = RowKey(row.table, row.part, row.key)
    version = RowVersion(row.ver)
    if row.tombstone:
        return RemovedRow(key, version)
    return Row(key, version, base64.b64decode(row.value, validate=True))


def _decode(body: bytes) -> _Reply:
    try:
        wire = decode_json(body, _WireReply)
        # A conflict may contain rows that do not exist; they have no version.
        changes = tuple(_change(row) for row in wire.rows if row.ver)
    except (UnreadableDocumentError, ValueError):
        _log.warning("store: reply not understood", bytes=len(body))
        raise _NoReplyError(StoreErrorKind.NO_REPLY, True) from None
    return _Reply(
        changes,
        tuple(wire.parts),
        wire.has_more,
        RowVersion(wire.ver),
        wire.now_ms / 1000,
    )


def _outcome_without_reply(error: _NoReplyError) -> NotCommitted | CommitUnknown:
    if error.may_be_applied:
        return CommitUnknown(error.error_kind)
    return NotCommitted(error.error_kind)


def _outcome_of_failure(reply: _HttpReply) -> NotCommitted | CommitUnknown:
    """Return the outcome of a write whose reply is neither success nor conflict."""
    error_kind = _error_kind_of(reply.status)
    is_refused = reply.status in _REFUSALS or 400 <= reply.status < 500
    if is_refused and not reply.may_be_applied:
        return NotCommitted(error_kind)
    return CommitUnknown(error_kind)


def _error_kind_of(status: int) -> StoreErrorKind:
    return _ERROR_KIND_OF_STATUS.get(status, StoreErrorKind.REJECTED)

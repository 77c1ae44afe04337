"""Stand-in for the platform's store: rows, change feed, objects and their faults.

A gate is one HTTP server of the store. All gates serve the same rows; each host gets a
gate of its own, so that the store can fail for one host alone.
"""

import asyncio
import base64
import json
import random
import time
from contextlib import suppress
from enum import Enum
from typing import Any

from aiohttp import web

CLOCK_OFFSET_S = 40_000.0
"""Offset of the store's monotonic clock from the machine's."""


class GateMode(Enum):
    """How a gate responds to calls."""

    OPEN = "open"
    BUSY = "busy"
    """With status 503."""

    SILENT = "silent"
    RESET = "reset"
    LIMITED = "limited"
    """With status 429, as at the store's rate limit."""


def store_monotonic_s():
    """Return the time of the store's monotonic clock, in seconds."""
    return time.monotonic() + CLOCK_OFFSET_S


class StoreRows:
    """The rows of all tables and their history; ``now_s()`` reads the store's clock."""

    def __init__(self):
        self.now_s = store_monotonic_s
        self.version = 0
        self.rows = {}
        self.history = []
        self.history_start = 0
        self.objects = {}
        self._changed = asyncio.Event()

    def commit(self, expectations, puts, removals):
        """Apply a transaction; return the conflicting rows, None if it was applied."""
        for key, version in expectations:
            if self.rows.get(key, (0, b""))[0] != version:
                return [
                    (key, *self.rows[key])
                    for key, _ in expectations
                    if key in self.rows
                ]
        self.version += 1
        for key, value in puts:
            self.rows[key] = (self.version, value)
            self.history.append((self.version, key, value))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return None

    def put(self, table, key, document, part=""):
        """Write a row without an expectation, as operators and endpoints do."""
        value = json.dumps(document).encode()
        self.commit([], [((table, part, key), value)], [])

    def remove(self, table, key, part=""):
        """Remove a row."""
        self.commit([], [], [(table, part, key)])

    def discard_history(self):
        """Discard the history of all changes made so far."""
        self.history_start = self.version

    async def wait_changed(self, seconds):
        """Wait until any row changes, at most for the given seconds."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), seconds)


class StoreGate:
    """An HTTP server of the store, with faults of its own.

    Attributes
    ----------
    refuses_table : str
        Table whose writes are refused with status 503.
    late_replies : dict of str to float
        Seconds by which the reply to the next commit that writes to a table is late.
    lose_replies : int
        Number of the next commits that are applied without a reply.
    delay_commits : int
        Number of the next commits that get no reply and are applied only by
        `apply_delayed`.
    hang_replies : bool
        Whether commits are applied without a reply on a connection that stays open.
    rejects_after_delay : bool
        Whether commits that are not delayed are rejected with status 400.
    garbled_reply : bytes
        Body of every reply, unless it is empty.
    broken_replies : list of bytes
        Bytes that are sent instead of the replies to the next commits, which are
        applied.
    ends_after_object : bool
        Whether the gate ends without a reply once it has written an object.
    late_share : float
        Share of commits that are delayed on a connection that stays open, without a
        reply.
    """

    def __init__(self, rows):
        self.rows = rows
        self.mode = GateMode.OPEN
        self.lose_replies = 0
        self.delay_commits = 0
        self.hang_replies = False
        self.rejects_after_delay = False
        self.garbled_reply = b""
        self.broken_replies = []
        self.ends_after_object = False
        self.late_share = 0.0
        self.refuses_table = ""
        self.late_replies = {}
        self._blocked_table = ""
        self._released = asyncio.Event()
        self.calls = []
        self.address = ""
        self._delayed = []
        self._rng = random.Random(7)
        self._runner: Any = None

    async def start(self):
        """Listen on a free port of the loopback interface."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route("*", "/{tail:.*}", self._handle)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    def hold(self, table):
        """Block writes to a table until `release`."""
        self._blocked_table = table
        self._released.clear()

    def release(self):
        """Apply the blocked writes, and block no more."""
        self._blocked_table = ""
        self._released.set()

    def apply_delayed(self):
        """Apply the delayed commits; return how many had no conflict."""
        delayed, self._delayed = self._delayed, []
        return sum(self.rows.commit(*each) is None for each in delayed)

    async def _handle(self, request):
        body = await request.read()
        self.calls.append((request.method, request.path, dict(request.query)))
        if (fault := await self._fault(request)) is not None:
            return fault
        if self.garbled_reply:
            return web.Response(body=self.garbled_reply)
        name = request.path.removeprefix("/bankrudder/")
        match name.partition("/")[0]:
            case "rows-tx":
                return await self._commit(request, json.loads(body))
            case "rows-get":
                return self._read(request.query)
            case "rows-feed":
                reply = await self._follow(request.query)
                # The fault may have been set while the call waited for a change.
                fault = await self._fault(request)
                return reply if fault is None else fault
            case "rows-parts":
                return self._parts(request.query)
            case "blob-put" | "blob-get" | "blob-drop" as call:
                return self._object(call, name.partition("/")[2], request, body)
        return web.Response(status=404)

    async def _fault(self, request):
        match self.mode:
            case GateMode.BUSY:
                return web.Response(status=503)
            case GateMode.LIMITED:
                return web.Response(status=429)
            case GateMode.SILENT:
                await asyncio.sleep(60)
            case GateMode.RESET:
                request.transport.abort()
                return web.Response(status=500)
        return None

    async def _commit(self, request, document):
        expectations = [(_key(each), each["ver"]) for each in document["precondition"]]
        puts = [
            (_key(each), base64.b64decode(each["value"]))
            for each in document["set_keys"]
        ]
        removals = [_key(each) for each in document["remove"]]
        if any(key[0] == self.refuses_table for key, _ in puts):
            return web.Response(status=503)
        if any(key[0] == self._blocked_table for key, _ in puts):
            await self._released.wait()
        if self._rng.random() < self.late_share:
            self._delayed.append((expectations, puts, removals))
            await asyncio.sleep(60)
        if self.delay_commits:
            self.delay_commits -= 1
            self._delayed.append((expectations, puts, removals))
            request.transport.abort()
            return web.Response(status=500)
        if self.rejects_after_delay:
            return web.Response(status=400)
        conflicting = self.rows.commit(expectations, puts, removals)
        version, now_ms = self.rows.version, 1000 * self.rows.now_s()
        for table in {key[0] for key, _ in puts} & self.late_replies.keys():
            await asyncio.sleep(self.late_replies.pop(table))
        if self.lose_replies:
            self.lose_replies -= 1
            request.transport.abort()
        if self.broken_replies:
            request.transport.write(self.broken_replies.pop(0))
            request.transport.close()
            await asyncio.sleep(60)
        if self.hang_replies:
            await asyncio.sleep(60)
        if conflicting is None:
            return web.json_response({"ver": version, "now_ms": now_ms})
        rows = [_wire(*each) for each in conflicting]
        return web.json_response({"rows": rows, "ver": version}, status=412)

    def _read(self, query):
        found = sorted(
            (key, *row)
            for key, row in self.rows.rows.items()
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= query.get("from", "")
            and (not query.get("target") or key[2] < query["target"])
        )
        limit = min(int(query.get("limit", 500)), 500)
        return web.json_response(
            {
                "rows": [_wire(*each) for each in found[:limit]],
                "has_more": len(found) > limit,
                "ver": self.rows.version,
            }
        )

    async def _follow(self, query):
        after = int(query["after"])
        if after < self.rows.history_start:
            return web.Response(status=410)
        deadline = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                _wire(key, version, value)
                for version, key, value in self.rows.history
                if version > after and key[0] == query["table"]
            ]
            left_s = deadline - asyncio.get_running_loop().time()
            if rows or left_s <= 0:
                return web.json_response({"rows": rows, "ver": self.rows.version})
            await self.rows.wait_changed(left_s)

    def _parts(self, query):
        parts = sorted({key[1] for key in self.rows.rows if key[0] == query["table"]})
        return web.json_response({"parts": parts, "ver": self.rows.version})

    def _object(self, call, name, request, body):
        objects = self.rows.objects
        match call:
            case "blob-put" if name in objects and "If-None-Match" in request.headers:
                return web.Response(status=412)
            case "blob-put":
                objects[name] = body
                if self.ends_after_object:
                    for site in list(self._runner.sites):
                        site._server.close()
                    request.transport.abort()
            case "blob-get" if name in objects:
                return web.Response(body=objects[name])
            case "blob-get":
                return web.Response(status=404)
            case "blob-drop":
                objects.pop(name, None)
        return web.Response()


def _key(document):
    return (document["table"], document.get("part", ""), document["key"])


def _wire(key, version, value):
    table, part, name = key
    row = {"table": table, "part": part, "key": name, "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}

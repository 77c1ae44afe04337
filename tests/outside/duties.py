"""Stand-in for the platform's duty API, which checks the calls that it receives."""

import asyncio
import json
import time
from typing import Any

from aiohttp import web


class DutyStandIn:
    """Accepts duty calls and records violations of their rules in ``faults``.

    ``answers`` holds the answers to the next calls: a status, ``lost`` (executed, but
    the connection is reset) or ``silent`` (not executed, no answer). ``delay_s`` delays
    each answer. A holder is identified by its host name.

    The rules: fencing tokens never decrease, no two holders use the same token, the
    holder changes at most once within a lease, and a usage window is always reported
    with the same counts.
    """

    def __init__(self, lease_s):
        self._lease_s = lease_s
        self.answers = []
        self.delay_s = 0.0
        self.calls = []
        self._calls_by_subject = {}
        self.usage = {}
        self.orders = []
        self.faults = []
        self.address = ""
        self._runner: Any = None

    async def start(self):
        """Listen on a free port of the loopback interface."""
        app = web.Application()
        app.router.add_post("/usage", self._handle)
        app.router.add_post("/scale", self._handle)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    def settings(self, **usage):
        """Return the settings with which hosts call it."""
        return {"address": self.address, "calls_per_s": 50, "usage": usage}

    async def _handle(self, request):
        holder = request.headers["X-Duty-Holder"]
        fence = int(request.headers["X-Fencing-Token"])
        document = json.loads(await request.read())
        subject = (request.path, document.get("service"), document.get("zone"))
        self._check_call_order(subject, holder, fence)
        answer = self.answers.pop(0) if self.answers else 200
        if answer in (200, "lost"):
            self._record(document)
        if answer == "lost":
            request.transport.abort()
        if answer == "silent":
            await asyncio.sleep(60)
        await asyncio.sleep(self.delay_s)
        return web.Response(status=answer if isinstance(answer, int) else 200)

    def _check_call_order(self, subject, holder, fence):
        now = time.monotonic()
        calls = self._calls_by_subject.setdefault(subject, [])
        for _, other_holder, token in calls:
            if token > fence:
                self.faults.append(
                    f"{holder} sent token {fence} after {other_holder} sent {token}"
                )
            if token == fence and other_holder != holder:
                self.faults.append(
                    f"{holder} and {other_holder} both sent token {fence}"
                )
        holders = [holder]
        for called_at, other_holder, _ in reversed(calls):
            if now - called_at > self._lease_s:
                break
            if other_holder != holders[-1]:
                holders.append(other_holder)
        if len(holders) > 2:
            self.faults.append(f"holders within one lease: {holders}")
        calls.append((now, holder, fence))
        self.calls.append((now, holder, fence))

    def _record(self, document):
        if "service" in document:
            order = document["service"], document["zone"], document["target_groups"]
            self.orders.append(order)
            return
        window, counts = document["window_index"], document["instance_counts"]
        known_counts = self.usage.setdefault(window, counts)
        if known_counts != counts:
            self.faults.append(
                f"window {window}: reported {known_counts}, then {counts}"
            )

    def total(self, workspace):
        """Return the number of requests of a workspace in all reported windows."""
        return sum(counts.get(workspace, 0) for counts in self.usage.values())

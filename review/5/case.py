"""Idle channels to the model servers go silent in the middle of a step."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

from aiohttp import web
from harness_2 import (
    ENGINES,
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    HOST_NAME,
    MODEL,
    SCORERS,
    Deployment,
    EngineStandIn,
    run_case,
)

SAMPLES = 48
GROUP_SIZE = 4
TARGET_GROUPS = 11
"""Nine tenths of the groups, rounded up."""

LONG_SAMPLES = (3, 15, 27, 39)
"""Numbers of the long samples, each in a group of its own."""

SHORT_EVENTS = 12
LONG_EVENTS = 100
EVENT_GAP_S = 0.036
KEEP_ALIVE_S = 10
"""Idle timeout of the servers' channels, which their answers state."""

SILENT_AFTER_S = 0.9
"""Time from the submission of the step to the silence."""

TIME_BUDGET_S = 12.0
CONTACT_S = 3.0
MAX_IDLE_S = 5.0
"""Steady time for which an item of the step may be at no server."""


class Engine(EngineStandIn):
    """An engine that states the idle timeout of its channels and keeps to it.

    ``intervals`` holds, for each item, the times at which the engine began and ended
    to work on it.
    """

    def __init__(self, name):
        super().__init__(name, MODEL)
        self.slots = 12
        self.refuses_when_full = True
        self.intervals = {}

    async def start(self):
        """Listen on a free loopback port."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._handle)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_S,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def _run(self, request, request_id, body, fault):
        began = time.monotonic()
        interval = [began, None]
        self.intervals.setdefault(request_id, []).append(interval)
        try:
            return await self._stream(request, request_id)
        finally:
            interval[1] = time.monotonic()

    async def _stream(self, request, request_id):
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
                "X-Request-Id": request_id,
                "X-Response-Stamp": f"{self.id}.{request_id}",
                "X-Weight-Versions": "1",
            }
        )
        await response.prepare(request)
        start = int(request.headers.get("Last-Event-Id", "-1")) + 1
        end = LONG_EVENTS if "-long" in request_id else SHORT_EVENTS
        for number in range(start, end):
            await asyncio.sleep(EVENT_GAP_S)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n"
            await response.write(event.encode())
        return response


def configuration():
    """Return the desired state."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "rollout",
                "host": HOST_NAME,
                "path_prefix": "/rollout/",
                "kind": "rollout",
                "service": ENGINES,
                "timeout_ms": 10000,
                "target_latency_ms": 400,
                "max_attempts": 3,
                "retention_s": 40,
                "result_target_ms": 7500,
            },
            {
                "name": "score",
                "host": HOST_NAME,
                "path_prefix": "/score/",
                "kind": "idempotent",
                "service": SCORERS,
                "timeout_ms": 1500,
                "target_latency_ms": 150,
                "max_attempts": 4,
            },
        ],
        "services": [
            {"name": ENGINES, "engine": {"models": [{"name": MODEL}]}},
            {"name": SCORERS},
        ],
    }


def submission(batch_id):
    """Return the body of a step, a few samples of which are long."""
    names = [
        f"{batch_id}-{'long' if number in LONG_SAMPLES else 's'}{number}"
        for number in range(SAMPLES)
    ]
    items = [
        {
            "id": name,
            "path": f"/rollout/{number}",
            "headers": {"X-Model": MODEL, "X-Length-Hint": "1000"},
            "body": base64.b64encode(f"prompt {number}".encode()).decode(),
            "tokens": 8000,
            "group": f"{batch_id}-g{number // GROUP_SIZE}",
            "scorer": {
                "id": f"{batch_id}-r{number}",
                "host": HOST_NAME,
                "path": f"/score/{number}",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for number, name in enumerate(names)
    ]
    return {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "target_groups": TARGET_GROUPS,
        "items": items,
    }


async def read_until(site, daemon, batch_id, deadline):
    """Return the results that can be read until a monotonic time."""
    results = []
    while len(results) < SAMPLES and time.monotonic() < deadline:
        status, answer = await site.call(
            daemon, "GET", f"/bankrudder/lots/{batch_id}?after={len(results)}"
        )
        if status == 200:
            results += json.loads(answer)["results"]
        await asyncio.sleep(0.2)
    return results


def idle_span(site, item, since, until):
    """Return the longest time within a span for which an item was at no server."""
    intervals = sorted(
        (began, ended or until)
        for engine in site.engines
        for began, ended in engine.intervals.get(item, [])
    )
    longest, at = 0.0, since
    for began, ended in intervals:
        longest = max(longest, min(began, until) - at)
        at = max(at, ended)
    return max(longest, until - at)


async def play(folder, record, has_trouble):
    """Play the case; return the exit code."""
    site = Deployment(folder, record, configuration(), 0, 0, Engine)
    try:
        await site.start()
        return await judge(site, has_trouble)
    finally:
        for daemon in site.daemons:
            for line in daemon.log_path.read_text().splitlines():
                if "run broken off" in line:
                    record.write(f"log of {daemon.name}: {line[:260]}")
        await site.stop()


async def judge(site, has_trouble):
    """Submit a step, silence the open channels, and see what runs."""
    record = site.record
    entry = site.daemons[0]
    body = json.dumps(submission("step-0")).encode()
    submitted_at = time.monotonic()
    status, _ = await site.call(
        entry, "POST", "/rollout/all", body, {"X-Request-Id": "step-0"}
    )
    record.write(f"step-0 submitted: {status}")
    if status != 202:
        return EXIT_NOT_RUN
    await asyncio.sleep(submitted_at + SILENT_AFTER_S - time.monotonic())
    silent_at = time.monotonic()
    if has_trouble:
        count = sum(proxy.silence() for proxy in site.engine_proxies)
        record.write(f"silent from now on: the {count} open channels to the engines")
    deadline = submitted_at + TIME_BUDGET_S
    results = await read_until(site, entry, "step-0", deadline)
    ended_at = time.monotonic()
    listed = {each["id"] for each in results}
    items = submission("step-0")["items"]
    missing = {each["group"] for each in items if each["id"] not in listed}
    groups = SAMPLES // GROUP_SIZE - len(missing)
    record.write(
        f"{ended_at - submitted_at:.1f} s after the submission: {len(listed)} of "
        f"{SAMPLES} listed, {groups} groups complete of {TARGET_GROUPS} waited for"
    )
    broken = False
    for item in (each["id"] for each in items):
        runs = [
            f"{engine.id} {began - submitted_at:.2f} to "
            + (f"{ended - submitted_at:.2f}" if ended else "now")
            for engine in site.engines
            for began, ended in engine.intervals.get(item, [])
        ]
        if item in listed and "-long" not in item:
            continue
        idle_s = idle_span(site, item, silent_at + CONTACT_S, deadline)
        record.write(
            f"{item}: {'listed' if item in listed else 'not listed'}; at servers: "
            f"{', '.join(runs)}; longest steady time at none: {idle_s:.1f} s"
        )
        if groups < TARGET_GROUPS and item not in listed and idle_s >= MAX_IDLE_S:
            broken = True
    begun = {item for engine in site.engines for item in engine.intervals}
    record.write(
        f"{len(begun)} items had begun; {len(site.engines) * 12} slots; "
        "no version was named; no server failed an item"
    )
    return EXIT_BROKEN if broken else EXIT_HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(Path(__file__).resolve().parent, play)))

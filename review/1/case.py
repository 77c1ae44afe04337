"""A trainer's steps while each model server crashes once, one after the other.

After the crashes all servers are back and nothing is disturbed. The trainer goes on as
the page PROTOCOL says: groups that were not complete come again in the next step, which
waits for them.
"""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import HOST_NAME, CaseError, Server, Site, exchange, main, reset  # noqa: E402

DAEMON_COUNT = 3
SERVER_COUNT = 6
SLOTS = 12
MODEL = "m0"
EVENT_GAP_S = 0.04
LOAD_S = 0.9

EVENT_COUNTS = (12, 16, 20, 24, 28, 36, 60, 100)
"""Events of an item's output, by its number: 37 on average. The sheet has 23 on average
and up to 165."""

STEP_COUNT = 3
GROUP_COUNT = 28
GROUP_SIZE = 4
TARGET_GROUP_COUNT = 26
"""The trainer waits for 90 % of its groups."""

TIME_BUDGET_S = 12.0
TRAINING_S = 0.5

FIRST_CRASH_S = 0.7
CRASH_INTERVAL_S = 0.5
DOWN_S = 0.45
"""Only one of the six servers is down at a time, for 0.45 s: the pages allow a share of
0.17, for 4.5 s."""

CONTACT_S = 3.0
LEFT_LYING_S = 5.0
"""Bounds of the rule: `contact_ms`, and the time at no server."""

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "rank",
            "host": HOST_NAME,
            "path_prefix": "/rank/",
            "kind": "rollout",
            "service": "rankgen",
            "timeout_ms": 10000,
            "target_latency_ms": 400,
            "result_target_ms": 7500,
            "max_attempts": 3,
            "retention_s": 40,
            "priority": 0,
            "resumable": True,
            "session_affinity": True,
        }
    ],
    "services": [
        {
            "name": "rankgen",
            "max_connections": 170,
            "engine": {"models": [{"name": MODEL}]},
        }
    ],
    "limits": {},
}


class Presence:
    """When items were at servers, and which ones a server has finished."""

    def __init__(self):
        self.begun = set()
        self.finished = set()
        self.at_server = {}
        self.last_seen = {}

    def begin(self, item):
        """Note that a server has got an item."""
        self.begun.add(item)
        self.at_server[item] = self.at_server.get(item, 0) + 1

    def end(self, item):
        """Note that an item has left a server."""
        self.at_server[item] -= 1
        self.last_seen[item] = time.monotonic()

    def away_s(self, item):
        """Return for how long an item has been at no server."""
        if self.at_server.get(item):
            return 0.0
        return time.monotonic() - self.last_seen.get(item, float("-inf"))


class Engine(Server):
    """A model server that streams, loads versions, and may crash."""

    def __init__(self, number, record, presence):
        super().__init__(number, "rankgen", SLOTS)
        self.is_down = False
        self._record = record
        self._presence = presence
        self._version = 1
        self._orders_taken = 0
        self._is_loading = False
        self._loading = None
        self._writers = set()

    def entry(self):
        """Return the entry of the list of servers."""
        models = [{"name": MODEL, "version": self._version}]
        return {**super().entry(), "models": models}

    async def crash(self):
        """Reset all channels, refuse new ones, and start again after `DOWN_S`."""
        self._record.note(f"{self.id} crashes with {self.running} items")
        self.is_down = True
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        await asyncio.sleep(DOWN_S)
        self._born = int(time.time() * 1000)
        self._orders_taken = 0
        self._is_loading = False
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.is_down = False
        self._record.note(f"{self.id} is back")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def control(self, writer, request):
        """Answer the query of the state, or an order."""
        if request.target == "/bankrudder/order":
            self.answer(writer, request, self._order(json.loads(request.body)), b"")
            return
        state = {
            "stage": "both",
            "models": [{"name": MODEL, "version": self._version, "adapters": []}],
            "busy": self._is_loading,
            "sequence": self._orders_taken,
            "num_waiting": 0,
            "num_running": self.running,
            "kv_used": 0,
            "kv_total": 83311,
            "handles": 0,
            "born": self._born,
        }
        self.answer(writer, request, 200, json.dumps(state).encode())

    def _order(self, order):
        if order["version"] == self._version:
            return 200
        if self._is_loading or order["precondition"] != self._orders_taken:
            return 409
        self._orders_taken += 1
        self._is_loading = True
        self._loading = asyncio.ensure_future(self._load(order["version"], self._born))
        return 202

    async def _load(self, version, born):
        await asyncio.sleep(LOAD_S)
        if born == self._born:
            self._is_loading = False
            self._version = version

    async def run(self, writer, request):
        """Stream the item's output from the event after `Last-Event-Id`."""
        if self._is_loading:
            self.answer(writer, request, 503, b"", not_run=True)
            return
        item = request.id
        first = int(request.headers.get("last-event-id", -1)) + 1
        self._presence.begin(item)
        try:
            await self._stream(writer, request, item, first)
        finally:
            self._presence.end(item)

    async def _stream(self, writer, request, item, first):
        version = self._version
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {item}",
            f"X-Response-Stamp: {self.stamp(request)}",
            f"X-Weight-Versions: {version}",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(first, event_count(item)):
            await asyncio.sleep(EVENT_GAP_S)
            if writer.is_closing():
                raise ConnectionResetError
            change = ""
            if self._version != version:
                version = self._version
                change = f"x-weight-versions: {version}\n"
            event = f"{change}id: {number}\ndata: {item}.{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        self._presence.finished.add(item)
        writer.write(b"0\r\n\r\n")


def event_count(item):
    """Return the number of events of an item's output."""
    return EVENT_COUNTS[int(item[-3:]) % len(EVENT_COUNTS)]


def new_groups(step, count):
    """Return new groups of items, as a dictionary by group."""
    return {
        f"s{step}g{group}": [
            f"s{step}i{group * GROUP_SIZE + number:03d}" for number in range(GROUP_SIZE)
        ]
        for group in range(count)
    }


def submission(step, groups):
    """Return the body that submits a step."""
    items = [
        {
            "id": item,
            "path": f"/rank/{item}",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Counts": f"16,{event_count(item)}",
                "X-Prompt-Prefix": f"{int(item[-3:]):x}:16",
                "X-Length-Hint": str(event_count(item)),
            },
            "body": base64.b64encode(item.encode()).decode(),
            "tokens": 16 + event_count(item),
            "group": group,
        }
        for group, members in groups.items()
        for item in members
    ]
    document = {
        "step": step,
        "model": MODEL,
        "min_version": max(step, 1),
        "target_groups": TARGET_GROUP_COUNT,
        "items": items,
    }
    return json.dumps(document).encode()


class Trainer:
    """A trainer that asks one step after the other, at the daemons in turn."""

    def __init__(self, site, presence, record):
        self.violations = []
        self.disturbed_until = 0.0
        self._site = site
        self._presence = presence
        self._record = record
        self._call_count = 0

    async def train(self):
        """Ask all steps."""
        carried = {}
        for step in range(STEP_COUNT):
            groups = carried | new_groups(step, GROUP_COUNT - len(carried))
            missing = await self._step(step, groups, set(carried))
            carried = dict(list(missing.items())[: TARGET_GROUP_COUNT // 2])
            await asyncio.sleep(TRAINING_S)
            named = {"model": MODEL, "version": step + 2}
            self._site.rows.put("op", f"version/{MODEL}", named)

    async def _step(self, step, groups, awaited):
        """Ask one step; return the groups that were not complete."""
        name = f"step{step}"
        began = time.monotonic()
        headers = {"X-Request-Id": name, "Content-Type": "application/json"}
        body = submission(step, groups)
        status, _ = await self._call("POST", "/rank/all", headers, body)
        if status != 202:
            raise CaseError(f"{name} was answered {status}")
        self._record.note(f"{name} accepted, comes again: {sorted(awaited)}")
        listed = set()
        while True:
            path = f"/bankrudder/lots/{name}?after={len(listed)}"
            status, answer = await self._call("GET", path, {"X-Max-Wait": "1000"})
            if status == 200:
                listed |= {each["id"] for each in json.loads(answer)["results"]}
            missing = {
                group: members
                for group, members in groups.items()
                if not listed.issuperset(members)
            }
            took_s = time.monotonic() - began
            is_whole = len(groups) - len(missing) >= TARGET_GROUP_COUNT
            if is_whole and not awaited & missing.keys():
                break
            if took_s >= TIME_BUDGET_S:
                self._judge(name, groups, listed)
                break
        self._record.note(f"{name} ended after {took_s:.1f} s, missing: {missing}")
        await self._call("DELETE", f"/bankrudder/lots/{name}", {})
        return missing

    def _judge(self, name, groups, listed):
        """Note the items left lying of a step that runs out of time."""
        steady_s = time.monotonic() - self.disturbed_until - CONTACT_S
        servers = self._site.servers
        is_half_full = 2 * sum(each.running for each in servers) >= SLOTS * len(servers)
        items = [item for members in groups.values() for item in members]
        if steady_s < LEFT_LYING_S or is_half_full:
            return
        if not any(item in self._presence.begun for item in items):
            return
        for item in items:
            is_done = item in listed or item in self._presence.finished
            if not is_done and self._presence.away_s(item) >= LEFT_LYING_S:
                away_s = min(self._presence.away_s(item), 1000.0)
                self.violations.append(
                    f"LOST: {name} runs out of time; {item} is unfinished and was at no"
                    f" server for {away_s:.1f} s, {steady_s:.1f} s of steady state"
                )

    async def _call(self, method, path, headers, body=b""):
        daemons = self._site.daemons
        self._call_count += 1
        port = daemons[self._call_count % len(daemons)].port
        status, _, answer = await exchange(port, method, path, headers, body)
        return status, answer


async def crash_in_turn(engines, trainer):
    """Crash each server once, one after the other."""
    await asyncio.sleep(FIRST_CRASH_S)
    crashes = []
    for engine in engines:
        crashes.append(asyncio.ensure_future(engine.crash()))
        await asyncio.sleep(CRASH_INTERVAL_S)
    await asyncio.gather(*crashes)
    trainer.disturbed_until = time.monotonic()


async def case(folder, record, with_disruption):
    """Return the violations of rule LOST."""
    presence = Presence()
    engines = [Engine(number, record, presence) for number in range(SERVER_COUNT)]
    site = Site(folder, DAEMON_COUNT, engines, CONFIGURATION)
    trainer = Trainer(site, presence, record)
    try:
        await site.start()
        crashing = asyncio.ensure_future(
            crash_in_turn(engines if with_disruption else [], trainer)
        )
        await trainer.train()
        await crashing
    finally:
        await site.stop()
    return trainer.violations


if __name__ == "__main__":
    main(case, FOLDER)

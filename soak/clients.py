"""Trainers and callers of the soak."""

import asyncio
import base64
import itertools
import json
import time
from contextlib import suppress

import aiohttp

from outside.crashing import CRASHING
from outside.site import HOST_NAME, batch
from outside.trainer_calls import ending, reading, submission
from soak.history import BatchSeen, CallSeen

READ_PAUSE_S = 0.1
STEP_LIMIT_S = 12.0
"""Time after which a trainer ends a step that is not whole."""

CALL_PAUSE_S = 0.05

CLAIMING_SHARE = 0.2
"""Share of the requests that claim to be of another workspace."""

GONE = (aiohttp.ClientError, TimeoutError, OSError)


class Trainer:
    """Submits steps, reads them, ends them, names versions."""

    def __init__(self, site, history, rng, name, samples, names_versions):
        self._site = site
        self._history = history
        self._rng = rng
        self._name = name
        self._samples = samples
        self._names_versions = names_versions
        self.steps_done = 0
        self.steps_cut = 0
        self._crashes_next = False

    def crash_next(self):
        """Let a sample of the next step crash the engines which run it."""
        self._crashes_next = True

    async def run(self, over):
        """Train until an event is set."""
        for step in itertools.count():
            if over.is_set():
                return
            await self._step(step, over)
            if self._names_versions:
                self._site.name_version(step + 2)
            await asyncio.sleep(0.2)

    async def _step(self, step, over):
        min_version = max(step, 1) if self._names_versions else 1
        document = batch(f"{self._name}{step}", self._samples, min_version)
        if self._crashes_next:
            self._crashes_next = False
            document["items"][0]["body"] = base64.b64encode(CRASHING).decode()
            # The path tells it from crashing samples of other steps.
            document["items"][0]["path"] += f"-{self._name}{step}"
        seen = BatchSeen(
            f"{self._name}{step}",
            min_version,
            [item["id"] for item in document["items"]],
        )
        self._history.batches[seen.batch_id] = seen
        if not await self._submit(seen, document, over):
            return
        began = time.monotonic()
        while len(seen.positions) < self._samples:
            if time.monotonic() > began + STEP_LIMIT_S:
                self.steps_cut += 1
                break
            await self._read(seen)
            await asyncio.sleep(READ_PAUSE_S)
        else:
            self.steps_done += 1
        await self._end(seen)

    async def _submit(self, seen, document, over):
        body = json.dumps(document).encode()
        while not over.is_set():
            status, _ = await self._ask(submission(seen.batch_id, body))
            if status == 202:
                seen.was_accepted = True
                return True
            if status != 503:
                seen.was_refused_always = False
            await asyncio.sleep(0.1)
        return False

    async def _read(self, seen):
        # Now and then from an earlier position, which must not have changed.
        after = len(seen.positions)
        if after and self._rng.random() < 0.2:
            after = self._rng.randrange(after)
        status, body = await self._ask(reading(seen.batch_id, after, wait_ms=300))
        if status == 200:
            page = json.loads(body)
            if page["total_count"] != self._samples:
                seen.lost.append(f"total {page['total_count']}")
            seen.note_page(after, page)
        elif status == 404:
            seen.lost.append("not found after it was accepted")

    async def _end(self, seen):
        for _ in range(200):
            status, _ = await self._ask(ending(seen.batch_id))
            if status == 200:
                seen.ended_at = time.monotonic()
                return
            await asyncio.sleep(0.1)

    async def check_kept(self):
        """Read every batch of this trainer once more, whole."""
        for seen in self._history.batches.values():
            if not seen.batch_id.startswith(self._name) or not seen.was_accepted:
                continue
            status, body = await self._ask(reading(seen.batch_id))
            if status != 200:
                seen.lost.append(f"status {status} at the end")
                continue
            page = json.loads(body)
            known = len(seen.positions)
            seen.note_page(0, page)
            if page["next"] < known:
                seen.lost.append(f"{page['next']} of {known} results at the end")

    async def _ask(self, call):
        host = self._rng.choice(self._site.hosts)
        try:
            return await self._site.ask(host, call)
        except GONE:
            return 0, b""


class Caller:
    """Makes requests on a connection that it keeps while it can."""

    def __init__(self, site, history, rng, name, key=""):
        self._site = site
        self._history = history
        self._rng = rng
        self._name = name
        self._key = key
        self.served = []
        self.failed = []

    async def run(self, over):
        """Call until an event is set."""
        for number in itertools.count():
            if over.is_set():
                return
            host = self._rng.choice(self._site.hosts)
            async with aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=3.0)
            ) as session:
                for turn in range(self._rng.randint(1, 20)):
                    request_id = f"{self._name}-{number}-{turn}"
                    is_served = await self._call(session, host, request_id)
                    await asyncio.sleep(CALL_PAUSE_S)
                    if not is_served:
                        break

    def _credentials(self):
        if self._key:
            return {"Authorization": f"Bearer {self._key}"}
        return self._site.credentials()

    async def _call(self, session, host, request_id):
        path = self._rng.choice(["/once/x", "/score/x"])
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Request-Deadline": "1500",
            **self._credentials(),
        }
        if self._site.key and self._rng.random() < CLAIMING_SHARE:
            headers["X-Tenant"] = "somebody-else"
        status, body = 0, b""
        try:
            async with session.post(
                f"http://{host.address}{path}",
                data=request_id.encode(),
                headers=headers,
            ) as response:
                status, body = response.status, await response.read()
        except GONE:
            status, body = 0, b""
        self._history.calls.append(CallSeen(request_id, path, status, body))
        moments = self.served if status == 200 else self.failed
        moments.append(time.monotonic())
        return status == 200


class CrashingCaller:
    """Makes one request again and again, as callers do who get no answer.

    A series is an attempt and one repeat, each at another host; the next series comes
    some seconds later.
    """

    def __init__(self, site, rng, content):
        self._site = site
        self._rng = rng
        self._content = content

    async def run(self, over):
        """Call until an event is set."""
        for number in itertools.count():
            for attempt in range(2):
                if over.is_set():
                    return
                await self._ask(f"{self._content.decode()} {number}.{attempt}")
                await asyncio.sleep(self._rng.uniform(0.05, 0.2))
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    async def _ask(self, request_id):
        headers = {"X-Request-Id": request_id, "X-Request-Deadline": "1500"}
        host = self._rng.choice(self._site.hosts)
        with suppress(*GONE):
            await self._site.call(
                host, "POST", "/score/x", body=self._content, headers=headers
            )


__all__ = ["Caller", "CrashingCaller", "Trainer"]

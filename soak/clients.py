"""Trainers and callers of the soak test."""

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
from soak.history import BatchObservation, CallObservation

READ_PAUSE_S = 0.1
STEP_TIMEOUT_S = 12.0
"""Time after which a trainer ends an incomplete step."""

CALL_PAUSE_S = 0.05

FOREIGN_TENANT_SHARE = 0.2
"""Share of the requests with an ``X-Tenant`` header that claims another workspace."""

CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class Trainer:
    """Submits steps, reads and ends them, and publishes versions of the weights."""

    def __init__(self, site, history, rng, name, samples, publishes_versions):
        self._site = site
        self._history = history
        self._rng = rng
        self._name = name
        self._samples = samples
        self._publishes_versions = publishes_versions
        self.completed_step_count = 0
        self.timed_out_step_count = 0
        self._crashes_next_step = False

    def crash_next_step(self):
        """Let a sample of the next step crash the engines which run it."""
        self._crashes_next_step = True

    async def run(self, stop_event):
        """Train until `stop_event` is set."""
        for step in itertools.count():
            if stop_event.is_set():
                return
            await self._step(step, stop_event)
            if self._publishes_versions:
                self._site.name_version(step + 2)
            await asyncio.sleep(0.2)

    async def _step(self, step, stop_event):
        min_version = max(step, 1) if self._publishes_versions else 1
        document = batch(f"{self._name}{step}", self._samples, min_version)
        if self._crashes_next_step:
            self._crashes_next_step = False
            document["items"][0]["body"] = base64.b64encode(CRASHING).decode()
            # The path distinguishes the sample from crashing samples of other steps.
            document["items"][0]["path"] += f"-{self._name}{step}"
        record = BatchObservation(
            f"{self._name}{step}",
            min_version,
            [item["id"] for item in document["items"]],
        )
        self._history.batches[record.batch_id] = record
        if not await self._submit(record, document, stop_event):
            return
        began = time.monotonic()
        while len(record.positions) < self._samples:
            if time.monotonic() > began + STEP_TIMEOUT_S:
                self.timed_out_step_count += 1
                break
            await self._read(record)
            await asyncio.sleep(READ_PAUSE_S)
        else:
            self.completed_step_count += 1
        await self._end(record)

    async def _submit(self, record, document, stop_event):
        body = json.dumps(document).encode()
        while not stop_event.is_set():
            status, _ = await self._ask(submission(record.batch_id, body))
            if status == 202:
                record.was_accepted = True
                return True
            if status != 503:
                record.was_refused_always = False
            await asyncio.sleep(0.1)
        return False

    async def _read(self, record):
        # Some reads start at an earlier position, whose result must not have changed.
        after = len(record.positions)
        if after and self._rng.random() < 0.2:
            after = self._rng.randrange(after)
        status, body = await self._ask(reading(record.batch_id, after, wait_ms=300))
        if status == 200:
            page = json.loads(body)
            if page["total_count"] != self._samples:
                record.lost.append(
                    f"total count {page['total_count']}, expected {self._samples}"
                )
            record.note_page(after, page)
        elif status == 404:
            record.lost.append("not found after it was accepted")

    async def _end(self, record):
        for _ in range(200):
            status, _ = await self._ask(ending(record.batch_id))
            if status == 200:
                record.ended_at = time.monotonic()
                return
            await asyncio.sleep(0.1)

    async def check_results_kept(self):
        """Read all results of every batch of this trainer once more."""
        for record in self._history.batches.values():
            if not record.batch_id.startswith(self._name) or not record.was_accepted:
                continue
            status, body = await self._ask(reading(record.batch_id))
            if status != 200:
                record.lost.append(f"status {status} for the last read")
                continue
            page = json.loads(body)
            known = len(record.positions)
            record.note_page(0, page)
            if page["next"] < known:
                record.lost.append(
                    f"{page['next']} of {known} results left at the last read"
                )

    async def _ask(self, call):
        host = self._rng.choice(self._site.hosts)
        try:
            return await self._site.ask(host, call)
        except CONNECTION_ERRORS:
            return 0, b""


class Caller:
    """Makes requests over a connection that is reused until a request fails."""

    def __init__(self, site, history, rng, name, key=""):
        self._site = site
        self._history = history
        self._rng = rng
        self._name = name
        self._key = key
        self.served = []
        self.failed = []

    async def run(self, stop_event):
        """Make requests until `stop_event` is set."""
        for number in itertools.count():
            if stop_event.is_set():
                return
            host = self._rng.choice(self._site.hosts)
            async with aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=3.0)
            ) as session:
                for turn in range(self._rng.randint(1, 20)):
                    request_id = f"{self._name}-{number}-{turn}"
                    was_served = await self._call(session, host, request_id)
                    await asyncio.sleep(CALL_PAUSE_S)
                    if not was_served:
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
        if self._site.key and self._rng.random() < FOREIGN_TENANT_SHARE:
            headers["X-Tenant"] = "somebody-else"
        status, body = 0, b""
        try:
            async with session.post(
                f"http://{host.address}{path}",
                data=request_id.encode(),
                headers=headers,
            ) as response:
                status, body = response.status, await response.read()
        except CONNECTION_ERRORS:
            status, body = 0, b""
        self._history.calls.append(CallObservation(request_id, path, status, body))
        times = self.served if status == 200 else self.failed
        times.append(time.monotonic())
        return status == 200


class CrashingCaller:
    """Repeats one request, as callers do that get no answer.

    A series consists of an attempt and one retry, each at a random host. The next
    series starts 0.5 to 2 s later.
    """

    def __init__(self, site, rng, content):
        self._site = site
        self._rng = rng
        self._content = content

    async def run(self, stop_event):
        """Make requests until `stop_event` is set."""
        for number in itertools.count():
            for attempt in range(2):
                if stop_event.is_set():
                    return
                await self._ask(f"{self._content.decode()} {number}.{attempt}")
                await asyncio.sleep(self._rng.uniform(0.05, 0.2))
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    async def _ask(self, request_id):
        headers = {"X-Request-Id": request_id, "X-Request-Deadline": "1500"}
        host = self._rng.choice(self._site.hosts)
        with suppress(*CONNECTION_ERRORS):
            await self._site.call(
                host, "POST", "/score/x", body=self._content, headers=headers
            )


__all__ = ["Caller", "CrashingCaller", "Trainer"]

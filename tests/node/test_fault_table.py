"""Each fault at each step of the life cycle of a batch and of an order.

Each test runs one fault at all steps. The observations of trainers and endpoints show
whether a rule is violated.
"""

import asyncio
import json
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest
from soak.history import BatchObservation, History, violations

from outside.site import PAUSE_SIGNAL, RESUME_SIGNAL, Site, batch, until
from outside.store import GateMode
from outside.trainer_calls import ending, reading, submission

EVENTS = 16
EVENT_GAP_S = 0.04
SAMPLES = 6
FAULT_S = 2.0
LIMIT_S = 20.0

CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


async def kill(site, host):
    await host.kill()
    await host.start()


async def freeze(site, host):
    host.signal(PAUSE_SIGNAL)
    await asyncio.sleep(FAULT_S)
    host.signal(RESUME_SIGNAL)


async def stop(site, host):
    await host.stop()
    await host.start()


async def power_loss(site, host):
    for each in site.hosts:
        await each.kill()
    for each in site.hosts:
        await each.start()


async def store_refuses(site, host):
    host.gate.mode = GateMode.BUSY
    await asyncio.sleep(FAULT_S)
    host.gate.mode = GateMode.OPEN


async def store_silent(site, host):
    host.gate.mode = GateMode.SILENT
    await asyncio.sleep(FAULT_S)
    host.gate.mode = GateMode.OPEN


async def replies_lost(site, host):
    host.gate.lose_replies = 4
    await asyncio.sleep(FAULT_S)


async def commits_late(site, host):
    host.gate.late_share = 0.5
    await asyncio.sleep(FAULT_S)
    host.gate.late_share = 0.0
    host.gate.apply_delayed()


async def history_lost(site, host):
    site.rows.discard_history()


FAULTS = {
    each.__name__: each
    for each in (
        kill,
        freeze,
        stop,
        power_loss,
        store_refuses,
        store_silent,
        replies_lost,
        commits_late,
        history_lost,
    )
}

BATCH_STEPS = ("submitted", "accepted", "running", "listing", "ending")
ORDER_STEPS = ("named", "ordered", "loaded")


@asynccontextmanager
async def running_site(folder):
    """Start a separate site for one fault at one step."""
    folder.mkdir()
    site = Site(folder, hosts=3, engines=2, events=EVENTS)
    try:
        await site.start()
        for engine in site.engines:
            engine.event_gap_s = EVENT_GAP_S
            engine.appends_version = True
        yield site
    finally:
        await site.stop()


def owner_of(site):
    """Return the host that owns the batch, None without an owner."""
    for key, row in site.rows.rows.items():
        if key[0] == "owners":
            name = json.loads(row[1])["host"]
            return next((host for host in site.hosts if host.name == name), None)
    return None


class BatchClient:
    """A trainer with one batch, which retries each call until it succeeds."""

    def __init__(self, site):
        self._site = site
        self._call_count = 0
        document = batch("b1", SAMPLES)
        self._body = json.dumps(document).encode()
        ids = [item["id"] for item in document["items"]]
        self.seen = BatchObservation("b1", 1, ids)

    async def submit(self):
        await self._until(202, submission("b1", self._body))

    async def read(self, count):
        deadline = time.monotonic() + LIMIT_S
        while len(self.seen.positions) < count:
            assert time.monotonic() < deadline, f"{len(self.seen.positions)} in time"
            after = len(self.seen.positions)
            status, body = await self._ask(reading("b1", after, wait_ms=200))
            if status == 200:
                self.seen.note_page(after, json.loads(body))
            elif status == 404:
                self.seen.lost.append("not found")
            await asyncio.sleep(0.02)

    async def end(self):
        await self._until(200, ending("b1"))
        self.seen.ended_at = time.monotonic()

    async def read_again(self):
        page = json.loads(await self._until(200, reading("b1")))
        if page["next"] < len(self.seen.positions):
            self.seen.lost.append(f"{page['next']} results are left")
        self.seen.note_page(0, page)

    async def _until(self, wanted, call):
        deadline = time.monotonic() + LIMIT_S
        while time.monotonic() < deadline:
            status, body = await self._ask(call)
            if status == wanted:
                return body
            await asyncio.sleep(0.05)
        raise AssertionError(f"no {wanted} in time")

    async def _ask(self, call):
        self._call_count += 1
        host = self._site.hosts[self._call_count % len(self._site.hosts)]
        try:
            async with asyncio.timeout(1.5):
                return await self._site.ask(host, call)
        except CONNECTION_ERRORS:
            return 0, b""


async def advance_to(step, site, trainer):
    """Advance the batch to a step; return the call that is still in progress."""
    submitting = asyncio.ensure_future(trainer.submit())
    if step == "submitted":
        return submitting
    await submitting
    if step == "running":
        await until(lambda: any(engine.arrivals for engine in site.engines))
    if step in ("listing", "ending"):
        await trainer.read(1)
    if step == "ending":
        return asyncio.ensure_future(trainer.end())
    return submitting


async def batch_violations(folder, fault, step):
    """Return the rules that a batch violates under a fault at a step."""
    async with running_site(folder / step) as site:
        trainer = BatchClient(site)
        pending = await advance_to(step, site, trainer)
        host = owner_of(site) or site.hosts[0]
        await asyncio.gather(fault(site, host), pending)
        if step != "ending":
            await trainer.read(SAMPLES)
            await trainer.end()
        await trainer.read_again()
        history = History(batches={"b1": trainer.seen})
        for engine in site.engines:
            history.arrivals += engine.arrival_times
        return violations(history, EVENTS)


async def order_violations(folder, fault, step):
    """Return the rules that orders violate under a fault at a step."""
    async with running_site(folder / step) as site:
        for engine in site.engines:
            engine.load_s = 0.4
        site.name_version(2)
        await until(lambda: all(engine.version == 2 for engine in site.engines))
        site.name_version(3)
        if step == "ordered":
            await until(lambda: any(each.orders_taken == 2 for each in site.engines))
        if step == "loaded":
            await until(lambda: all(each.version == 3 for each in site.engines))
            site.name_version(4)
        last = 4 if step == "loaded" else 3
        holder = site.engines[0].order_times[-1][1]
        await fault(site, next(each for each in site.hosts if each.name == holder))
        await until(lambda: all(each.version == last for each in site.engines), LIMIT_S)
        found = violations(History(orders=orders_of(site)), EVENTS)
        taken = [engine.orders_taken for engine in site.engines]
        if taken != [last - 1] * 2:
            found.append(f"orders taken: {taken}")
        return found


def orders_of(site):
    return [
        (at, engine.id, name, fence)
        for engine in site.engines
        for at, name, fence in engine.order_times
    ]


async def violations_by_step(find_violations, folder, fault, steps):
    """Run one fault at all steps concurrently; return the violations by step."""
    outcomes = await asyncio.gather(
        *(find_violations(folder, FAULTS[fault], step) for step in steps),
        return_exceptions=True,
    )
    return {step: found for step, found in zip(steps, outcomes, strict=True) if found}


@pytest.mark.faults
@pytest.mark.parametrize("fault", FAULTS)
async def test_a_batch_survives_a_fault_at_every_step(tmp_path, fault):
    assert (
        await violations_by_step(batch_violations, tmp_path, fault, BATCH_STEPS) == {}
    )


@pytest.mark.faults
@pytest.mark.parametrize("fault", FAULTS)
async def test_orders_survive_a_fault_at_every_step(tmp_path, fault):
    assert (
        await violations_by_step(order_violations, tmp_path, fault, ORDER_STEPS) == {}
    )

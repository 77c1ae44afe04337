"""Sends the heartbeats of this host, and notes whether the store takes them."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import msgspec

from bankrudder.presence._values import HOSTS_TABLE, Heartbeat
from bankrudder.store import Committed, Put, RowKey, Store, Transaction
from bankrudder.world import Clock, HostId

RESEND_S = 0.2
"""A busy host whose heartbeat is not answered within this time sends another: one that
the store carries out late would be missed. Forty times a usual answer."""

FIRST_RETRY_S = 0.5
"""Pause after a heartbeat that was not written; doubled up to the usual interval. Until
one is written this host takes nobody for dead, so in a fleet whose idle hosts send one
each three seconds a single failure would hide a lost owner for as long."""

MAX_UNANSWERED = 6
"""Heartbeats that may be on their way at once: one whose reply is lost must not hold
up the next, and an outage must not pile them up."""


@dataclass(frozen=True)
class Rhythm:
    """How often a host sends heartbeats just now."""

    interval_s: float
    """Seconds from one to the next."""

    is_resent: bool
    """Whether one that is not answered soon is followed by another at once."""


class HeartbeatSender:
    """Writes the heartbeats of one host to its row.

    Parameters
    ----------
    store : Store
        Where the row is.
    host : HostId
        Key of the row.
    clock : Clock
        Steady clock for `works_since`.
    compose : callable
        Returns the heartbeat of a number, counted from one in each run.
    rhythm : callable
        Returns how often heartbeats are sent; asked before each wait.
    on_written : callable, optional
        Told the steady time at which a heartbeat was sent, and the store's time in the
        answer, for each that was written.
    """

    def __init__(
        self,
        store: Store,
        host: HostId,
        clock: Clock,
        compose: Callable[[int], Heartbeat],
        rhythm: Callable[[], Rhythm],
        on_written: Callable[[float, float], None] = lambda *_: None,
    ):
        self._store = store
        self._host = host
        self._clock = clock
        self._compose = compose
        self._rhythm = rhythm
        self._on_written = on_written
        self._count = 0
        self._was_answered = False
        self._failures = 0
        self._works_since = 0.0
        self._hurried = asyncio.Event()
        self._pausing: asyncio.Timeout | None = None
        self._unanswered: set[asyncio.Task[None]] = set()

    @property
    def count(self) -> int:
        """Heartbeats that were sent in this run."""
        return self._count

    @property
    def fails(self) -> bool:
        """Whether the last answer was that the heartbeat was not written."""
        return self._failures > 0

    @property
    def was_answered(self) -> bool:
        """Whether the store took a heartbeat of this run, or said that it did not."""
        return self._was_answered

    @property
    def works_since(self) -> float:
        """Steady time at which writes worked again; zero if they never failed."""
        return self._works_since

    def hurry(self) -> None:
        """Send the next heartbeat at once."""
        self._hurried.set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        try:
            while True:
                self._hurried.clear()
                was_answered = await self._send_and_wait()
                rhythm = self._rhythm()
                if rhythm.is_resent and not was_answered:
                    continue
                await self._pause(rhythm)
        finally:
            for task in self._unanswered:
                task.cancel()

    async def send(self) -> None:
        """Send one heartbeat now, and wait for the answer."""
        self._count += 1
        key = RowKey(HOSTS_TABLE, "", self._host)
        put = Put(key, msgspec.json.encode(self._compose(self._count)))
        sent_at = self._clock.monotonic()
        outcome = await self._store.commit(Transaction(puts=(put,)))
        was_written = isinstance(outcome, Committed)
        if isinstance(outcome, Committed):
            self._on_written(sent_at, outcome.store_time_s)
        self._was_answered = True
        if self._failures and was_written:
            self._works_since = self._clock.monotonic()
        self._failures = 0 if was_written else self._failures + 1
        if not was_written:
            self._shorten_pause()

    async def _pause(self, rhythm: Rhythm) -> None:
        """Wait until the next heartbeat is due."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s(rhythm)) as self._pausing:
                await self._hurried.wait()
        self._pausing = None

    def _shorten_pause(self) -> None:
        """Send the next heartbeat soon if a failure shows while it is waited for.

        Until one is written this host takes nobody for dead; an idle one of a large
        fleet would have waited seconds for the next.
        """
        pausing = self._pausing
        if pausing is None or pausing.expired():
            return
        pause_s = self._pause_s(self._rhythm())
        soon = asyncio.get_running_loop().time() + pause_s
        due = pausing.when()
        if due is None or due > soon:
            pausing.reschedule(soon)

    def _pause_s(self, rhythm: Rhythm) -> float:
        """Return the seconds until the next heartbeat."""
        if not self._failures:
            return rhythm.interval_s
        retry_s: float = FIRST_RETRY_S * 2 ** (self._failures - 1)
        return min(rhythm.interval_s, retry_s)

    async def _send_and_wait(self) -> bool:
        """Send a heartbeat; return whether it was answered soon."""
        if len(self._unanswered) >= MAX_UNANSWERED:
            await asyncio.sleep(RESEND_S)
            return False
        task = asyncio.ensure_future(self.send())
        self._unanswered.add(task)
        task.add_done_callback(self._unanswered.discard)
        done, _ = await asyncio.wait({task}, timeout=RESEND_S)
        return bool(done)

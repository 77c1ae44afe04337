"""Sends the heartbeats of this host, and tracks whether the store accepts them."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import msgspec

from bankrudder.presence._values import HOSTS_TABLE, Heartbeat
from bankrudder.store import Committed, Put, RowKey, Store, Transaction
from bankrudder.world import Clock, HostId

RESEND_AFTER_S = 0.2
"""A busy host whose heartbeat is not answered within this time sends another one,
because other hosts would miss a heartbeat that the store applies late. This is forty
times the usual duration of an answer."""

FIRST_RETRY_PAUSE_S = 0.5
"""Pause after a heartbeat that was not written, doubled for each further one up to the
usual interval. Until a heartbeat is written this host considers no host dead. In a
fleet whose idle hosts send one every three seconds, a single failure would otherwise
hide a lost owner of a batch for that long."""

MAX_UNANSWERED = 6
"""Maximum number of unanswered heartbeats. A lost reply must not delay the next
heartbeat, and heartbeats must not accumulate in an outage."""


@dataclass(frozen=True)
class HeartbeatSchedule:
    """How often a host currently sends heartbeats."""

    interval_s: float
    """Seconds from one heartbeat to the next."""

    should_resend: bool
    """Whether the next heartbeat is sent early if one is not answered in time."""


class HeartbeatSender:
    """Writes the heartbeats of one host to its row.

    Parameters
    ----------
    host : HostId
        Key of the row.
    clock : Clock
        Monotonic clock for `recovered_at`.
    make_heartbeat : callable
        Returns the heartbeat with a given number, counted from one in each run.
    schedule : callable
        Returns how often heartbeats are sent; called before each wait.
    on_written : callable, optional
        Called for each heartbeat that was written, with the monotonic time at which it
        was sent and the store's time in the answer.
    """

    def __init__(
        self,
        store: Store,
        host: HostId,
        clock: Clock,
        make_heartbeat: Callable[[int], Heartbeat],
        schedule: Callable[[], HeartbeatSchedule],
        on_written: Callable[[float, float], None] = lambda *_: None,
    ):
        self._store = store
        self._host = host
        self._clock = clock
        self._make_heartbeat = make_heartbeat
        self._get_schedule = schedule
        self._on_written = on_written
        self._count = 0
        self._was_answered = False
        self._failure_count = 0
        self._recovered_at = 0.0
        self._send_requested = asyncio.Event()
        self._pause_timeout: asyncio.Timeout | None = None
        self._unanswered: set[asyncio.Task[None]] = set()

    @property
    def count(self) -> int:
        """Number of heartbeats sent in this run."""
        return self._count

    @property
    def is_failing(self) -> bool:
        """Whether the last heartbeat whose write has ended was not written."""
        return self._failure_count > 0

    @property
    def was_answered(self) -> bool:
        """Whether the write of a heartbeat of this run has ended, with any outcome."""
        return self._was_answered

    @property
    def recovered_at(self) -> float:
        """Monotonic time at which writes last recovered; 0 if they never failed."""
        return self._recovered_at

    def request_send(self) -> None:
        """Let the next heartbeat be sent without waiting for the interval."""
        self._send_requested.set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        try:
            while True:
                self._send_requested.clear()
                was_answered = await self._send_and_wait()
                schedule = self._get_schedule()
                if schedule.should_resend and not was_answered:
                    continue
                await self._pause(schedule)
        finally:
            for task in self._unanswered:
                task.cancel()

    async def send(self) -> None:
        """Send one heartbeat now and wait for the answer."""
        self._count += 1
        key = RowKey(HOSTS_TABLE, "", self._host)
        put = Put(key, msgspec.json.encode(self._make_heartbeat(self._count)))
        sent_at = self._clock.monotonic()
        outcome = await self._store.commit(Transaction(puts=(put,)))
        was_written = isinstance(outcome, Committed)
        if isinstance(outcome, Committed):
            self._on_written(sent_at, outcome.store_time_s)
        self._was_answered = True
        if self._failure_count and was_written:
            self._recovered_at = self._clock.monotonic()
        self._failure_count = 0 if was_written else self._failure_count + 1
        if not was_written:
            self._shorten_pause()

    async def _pause(self, schedule: HeartbeatSchedule) -> None:
        """Wait until the next heartbeat is due."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s(schedule)) as self._pause_timeout:
                await self._send_requested.wait()
        self._pause_timeout = None

    def _shorten_pause(self) -> None:
        """Bring the next heartbeat forward if a failure is found during the pause.

        Until a heartbeat is written this host considers no host dead, and an idle host
        of a large fleet would otherwise wait seconds for the next one.
        """
        pause_timeout = self._pause_timeout
        if pause_timeout is None or pause_timeout.expired():
            return
        pause_s = self._pause_s(self._get_schedule())
        retry_at = asyncio.get_running_loop().time() + pause_s
        next_send_at = pause_timeout.when()
        if next_send_at is None or next_send_at > retry_at:
            pause_timeout.reschedule(retry_at)

    def _pause_s(self, schedule: HeartbeatSchedule) -> float:
        """Return the number of seconds until the next heartbeat."""
        if not self._failure_count:
            return schedule.interval_s
        retry_s: float = FIRST_RETRY_PAUSE_S * 2 ** (self._failure_count - 1)
        return min(schedule.interval_s, retry_s)

    async def _send_and_wait(self) -> bool:
        """Send a heartbeat; return whether it was answered within `RESEND_AFTER_S`."""
        if len(self._unanswered) >= MAX_UNANSWERED:
            await asyncio.sleep(RESEND_AFTER_S)
            return False
        task = asyncio.ensure_future(self.send())
        self._unanswered.add(task)
        task.add_done_callback(self._unanswered.discard)
        done, _ = await asyncio.wait({task}, timeout=RESEND_AFTER_S)
        return bool(done)

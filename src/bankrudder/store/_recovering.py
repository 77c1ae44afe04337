"""A store wrapper that holds calls back during an outage, like a circuit breaker.

During an outage calls are not sent but wait, while small reads probe the store. On the
first answer all waiting calls are sent, and calls that still hang on connections from
the outage are abandoned, so that their callers retry at once. A call that waits too
long fails as not carried out, which is certain; had it been sent without getting a
reply, its outcome would be unknown.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import TypeVar

import structlog

from bankrudder.store._errors import HistoryLostError, StoreUnavailableError
from bankrudder.store._outages import OutageBegan, OutageDetector, OutageEnded
from bankrudder.store._port import Store
from bankrudder.store._values import (
    Changes,
    CommitOutcome,
    CommitUnknown,
    NotCommitted,
    Page,
    RowVersion,
    StoreErrorKind,
    Transaction,
)
from bankrudder.world import Clock

Result = TypeVar("Result")

PROBE_PAUSE_S = 0.1
"""Shortest pause between two probes. It bounds the delay of waiting calls after the
store's return; with it ten hosts make 100 small reads per second during an outage."""

PROBE_SHARE = 0.1
"""Share of the reads that `ReadPace` allows, for the probes of all hosts."""

PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe: twice the duration of a read when the store is sixty times slower
than usual."""

MAX_PROBES = 4
"""Probes in flight at once; while the store is silent each hangs until its timeout."""

MAX_WAIT_S = 0.8
"""Longest wait of a call for the end of an outage, equal to the wait for a reply."""

HUNG_CALL_GRACE_S = 0.1
"""Time after an outage in which calls sent during it may still be answered, about the
duration of ten transactions. After it they fail and their callers retry."""

_PROBE_TABLE = "leases"
_OUTAGE_ERRORS = frozenset(
    {StoreErrorKind.BUSY, StoreErrorKind.UNREACHABLE, StoreErrorKind.NO_REPLY}
)

_NOT_SERVED_ERRORS = _OUTAGE_ERRORS | {StoreErrorKind.RATE_LIMITED}

NOT_SERVED_PROBE_PAUSE_S = 0.5
"""Pause between two probes while the store refuses this host: half of the interval of
the load balancer's health checks."""

_log = structlog.get_logger("store")


class RecoveringStore:
    """Forwards calls to `store`, and holds them back during an outage.

    Parameters
    ----------
    probe_pause_s : callable
        Seconds between two probes, so that the probes of all hosts stay within their
        share of the store's read capacity.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        probe_pause_s: Callable[[], float] = lambda: PROBE_PAUSE_S,
    ):
        self._store = store
        self._clock = clock
        self._probe_pause_s = probe_pause_s
        self._detector = OutageDetector()
        self._last_error_kind = StoreErrorKind.NO_REPLY
        self._outage_ended = asyncio.Event()
        self._in_flight: dict[asyncio.Timeout, float] = {}
        self._outage_probe_task: asyncio.Task[None] | None = None
        self._failing_since: float | None = None
        self._not_served_probe_task: asyncio.Task[None] | None = None

    @property
    def failing_since(self) -> float | None:
        """Monotonic time since when calls are not served, None if the last one was.

        Unlike an outage this includes calls that are refused by a rate limit, as when
        the store serves other hosts but not this one.
        """
        return self._failing_since

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if all of its expectations hold."""
        return await self._run_write(lambda: self._store.commit(transaction))

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write a new object."""
        return await self._run_write(lambda: self._store.put_object(name, body))

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object; succeeds if it does not exist."""
        return await self._run_write(lambda: self._store.drop_object(name))

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows of one part in the order of their keys."""
        return await self._run_read(
            lambda: self._store.read(table, part, start, end, limit)
        )

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self._run_read(lambda: self._store.parts(table))

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return the changes after a version; wait for one for at most `wait_s`."""
        return await self._run_read(lambda: self._store.follow(table, after, wait_s))

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        return await self._run_read(lambda: self._store.get_object(name))

    async def _run_write(
        self, call: Callable[[], Awaitable[CommitOutcome]]
    ) -> CommitOutcome:
        if not await self._wait_until_available():
            return NotCommitted(self._last_error_kind)
        began = self._clock.monotonic()
        outcome: CommitOutcome = CommitUnknown(StoreErrorKind.NO_REPLY)
        with suppress(TimeoutError):
            async with self._timeout_after_outage(began):
                outcome = await call()
        match outcome:
            case (
                CommitUnknown(error_kind=error_kind)
                | NotCommitted(error_kind=error_kind)
            ):
                self._note_outcome(error_kind)
                self._note_error(began, error_kind)
            case _:
                self._note_outcome(None)
                self._note_answer(began)
        return outcome

    async def _run_read(self, call: Callable[[], Awaitable[Result]]) -> Result:
        if not await self._wait_until_available():
            raise StoreUnavailableError(self._last_error_kind)
        began = self._clock.monotonic()
        try:
            async with self._timeout_after_outage(began):
                result = await call()
        except HistoryLostError:
            self._note_outcome(None)
            self._note_answer(began)
            raise
        except StoreUnavailableError as error:
            self._note_outcome(error.error_kind)
            self._note_error(began, error.error_kind)
            raise
        except TimeoutError:
            raise StoreUnavailableError(StoreErrorKind.NO_REPLY) from None
        self._note_outcome(None)
        self._note_answer(began)
        return result

    async def _wait_until_available(self) -> bool:
        """Wait for the end of an outage; return False if it lasts too long."""
        if not self._detector.is_out:
            return True
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT_S):
                await self._outage_ended.wait()
        return not self._detector.is_out

    @asynccontextmanager
    async def _timeout_after_outage(self, began: float) -> AsyncIterator[None]:
        """Raise `TimeoutError` if the call hangs beyond the end of an outage."""
        async with asyncio.timeout(None) as scope:
            self._in_flight[scope] = began
            try:
                yield
            finally:
                del self._in_flight[scope]

    def _note_outcome(self, error_kind: StoreErrorKind | None) -> None:
        """Record how a call of this host ended; None for an answer."""
        if error_kind not in _NOT_SERVED_ERRORS:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            self._not_served_probe_task = asyncio.ensure_future(
                self._probe_until_served()
            )

    async def _probe_until_served(self) -> None:
        """Probe until calls succeed again, in case this host makes no other calls."""
        while self._failing_since is not None:
            await asyncio.sleep(NOT_SERVED_PROBE_PAUSE_S)
            # In an outage `_probe_until_outage_ends` probes, and more often.
            if self._failing_since is not None and not self._detector.is_out:
                await self._probe()

    def _note_answer(self, began: float) -> None:
        ended = self._detector.note_answer(began)
        if ended is not None:
            self._resume_calls(ended)

    def _note_error(self, began: float, error_kind: StoreErrorKind) -> None:
        if error_kind not in _OUTAGE_ERRORS:
            self._note_answer(began)
            return
        self._last_error_kind = error_kind
        match self._detector.note_failure(began):
            case OutageBegan():
                _log.warning("store: outage, calls wait", reason=error_kind.value)
                self._outage_ended.clear()
                self._outage_probe_task = asyncio.ensure_future(
                    self._probe_until_outage_ends()
                )

    def _resume_calls(self, ended: OutageEnded) -> None:
        _log.info("store: outage ended, calls resume", hanging=len(self._in_flight))
        self._outage_ended.set()
        resume_deadline = asyncio.get_running_loop().time() + HUNG_CALL_GRACE_S
        for scope, began in self._in_flight.items():
            # A timeout that has expired cannot be rescheduled.
            if began < ended.answered_call_began and not scope.expired():
                scope.reschedule(resume_deadline)

    async def _probe_until_outage_ends(self) -> None:
        probes: set[asyncio.Task[None]] = set()
        try:
            while self._detector.is_out:
                if len(probes) < MAX_PROBES:
                    probe = asyncio.ensure_future(self._probe())
                    probes.add(probe)
                    probe.add_done_callback(probes.discard)
                with suppress(TimeoutError):
                    async with asyncio.timeout(self._probe_pause_s()):
                        await self._outage_ended.wait()
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe(self) -> None:
        began = self._clock.monotonic()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.read(_PROBE_TABLE, "", limit=1)
        except (StoreUnavailableError, TimeoutError):
            return  # the store still does not serve this host; the next probe follows
        self._note_outcome(None)
        self._note_answer(began)

"""A store whose calls go on in the moment in which it returns from an outage.

While the store is away, calls are not sent into it: they wait, and one small read
after the other asks whether it is back. With the first answer all waiting calls are
sent, and those that still hang on connections of the outage are given up, so that their
callers try again at once. A call that has waited long enough ends as not done, which is
true and more than an unanswered one could say.
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
    StoreTrouble,
    Transaction,
)
from bankrudder.world import Clock

Result = TypeVar("Result")

PROBE_PAUSE_S = 0.1
"""Shortest pause between two probes. It bounds how much later than the store the
waiting calls go on; ten hosts then make 100 small reads a second in an outage."""

PROBE_SHARE = 0.1
"""Share of the store's reads that probes of all hosts may take."""

PROBE_TIMEOUT_S = 0.6
"""A probe that hangs for so long is given up; twice what a read takes when the store is
sixty times slower than usual."""

MAX_PROBES = 4
"""Probes that may be on their way at once: on a silent store each hangs."""

MAX_WAIT_S = 0.8
"""Longest time for which a call waits for the store's return, as long as one that is
sent waits for its reply."""

ABANDON_S = 0.1
"""Time after the store's return for which calls of the outage may still be answered:
some ten transactions. They are sent again after it."""

_PROBE_TABLE = "leases"
_OUTAGE = frozenset(
    {StoreTrouble.BUSY, StoreTrouble.UNREACHABLE, StoreTrouble.NO_REPLY}
)

_TURNED_AWAY = _OUTAGE | {StoreTrouble.RATE_LIMITED}

ASK_PAUSE_S = 0.5
"""Pause between two questions whether the store takes calls of this host again, while
it turns them away: half of the time between two questions of the balancer."""

_log = structlog.get_logger("store")


class RecoveringStore:
    """Passes calls on to `store` while it is there.

    Parameters
    ----------
    probe_pause_s : callable
        Seconds between two probes; the fleet's share of reads bounds it.
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
        self._trouble = StoreTrouble.NO_REPLY
        self._returned = asyncio.Event()
        self._in_flight: dict[asyncio.Timeout, float] = {}
        self._probing: asyncio.Task[None] | None = None
        self._fails_since: float | None = None
        self._asking: asyncio.Task[None] | None = None

    @property
    def fails_since(self) -> float | None:
        """Monotonic time of the first failed call in a row, None if calls succeed.

        Unlike an outage it also begins when the store turns this host away while it
        serves others.
        """
        return self._fails_since

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if all of its expectations hold."""
        return await self._written(lambda: self._store.commit(transaction))

    async def put_object(self, name: str, body: bytes) -> CommitOutcome:
        """Write an object that does not exist yet."""
        return await self._written(lambda: self._store.put_object(name, body))

    async def drop_object(self, name: str) -> CommitOutcome:
        """Remove an object, also one that does not exist."""
        return await self._written(lambda: self._store.drop_object(name))

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> Page:
        """Return rows of one part in the order of their keys."""
        return await self._was_read(
            lambda: self._store.read(table, part, start, end, limit)
        )

    async def parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self._was_read(lambda: self._store.parts(table))

    async def follow(self, table: str, after: RowVersion, wait_s: float) -> Changes:
        """Return what changed after a version, at the latest after `wait_s`."""
        return await self._was_read(lambda: self._store.follow(table, after, wait_s))

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        return await self._was_read(lambda: self._store.get_object(name))

    async def _written(
        self, call: Callable[[], Awaitable[CommitOutcome]]
    ) -> CommitOutcome:
        if not await self._is_there():
            return NotCommitted(self._trouble)
        began = self._clock.monotonic()
        outcome: CommitOutcome = CommitUnknown(StoreTrouble.NO_REPLY)
        with suppress(TimeoutError):
            async with self._abandoned_after_outage(began):
                outcome = await call()
        match outcome:
            case CommitUnknown(trouble=trouble) | NotCommitted(trouble=trouble):
                self._note_outcome(trouble)
                self._note_trouble(began, trouble)
            case _:
                self._note_outcome(None)
                self._note_answer(began)
        return outcome

    async def _was_read(self, call: Callable[[], Awaitable[Result]]) -> Result:
        if not await self._is_there():
            raise StoreUnavailableError(self._trouble)
        began = self._clock.monotonic()
        try:
            async with self._abandoned_after_outage(began):
                result = await call()
        except HistoryLostError:
            self._note_outcome(None)
            self._note_answer(began)
            raise
        except StoreUnavailableError as error:
            self._note_outcome(error.trouble)
            self._note_trouble(began, error.trouble)
            raise
        except TimeoutError:
            raise StoreUnavailableError(StoreTrouble.NO_REPLY) from None
        self._note_outcome(None)
        self._note_answer(began)
        return result

    async def _is_there(self) -> bool:
        """Wait for the store's return; False if it does not come in time."""
        if not self._detector.is_out:
            return True
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT_S):
                await self._returned.wait()
        return not self._detector.is_out

    @asynccontextmanager
    async def _abandoned_after_outage(self, began: float) -> AsyncIterator[None]:
        """Raise `TimeoutError` if the store returned while the call hung."""
        async with asyncio.timeout(None) as scope:
            self._in_flight[scope] = began
            try:
                yield
            finally:
                del self._in_flight[scope]

    def _note_outcome(self, trouble: StoreTrouble | None) -> None:
        """Note how a call of this host ended; None for an answer."""
        if trouble not in _TURNED_AWAY:
            self._fails_since = None
        elif self._fails_since is None:
            self._fails_since = self._clock.monotonic()
            self._asking = asyncio.ensure_future(self._ask_until_taken())

    async def _ask_until_taken(self) -> None:
        """Find out when calls succeed again, also where this host makes none."""
        while self._fails_since is not None:
            await asyncio.sleep(ASK_PAUSE_S)
            # In an outage it is asked anyway, and more often.
            if self._fails_since is not None and not self._detector.is_out:
                await self._probe()

    def _note_answer(self, began: float) -> None:
        ended = self._detector.note_answer(began)
        if ended is not None:
            self._go_on(ended)

    def _note_trouble(self, began: float, trouble: StoreTrouble) -> None:
        if trouble not in _OUTAGE:
            self._note_answer(began)
            return
        self._trouble = trouble
        match self._detector.note_failure(began):
            case OutageBegan():
                _log.warning("store: outage, calls wait", reason=trouble.value)
                self._returned.clear()
                self._probing = asyncio.ensure_future(self._probe_until_back())

    def _go_on(self, ended: OutageEnded) -> None:
        _log.info("store: back, calls go on", hanging=len(self._in_flight))
        self._returned.set()
        until = asyncio.get_running_loop().time() + ABANDON_S
        for scope, began in self._in_flight.items():
            # One that is being given up cannot be given another time.
            if began < ended.since and not scope.expired():
                scope.reschedule(until)

    async def _probe_until_back(self) -> None:
        probes: set[asyncio.Task[None]] = set()
        try:
            while self._detector.is_out:
                if len(probes) < MAX_PROBES:
                    probe = asyncio.ensure_future(self._probe())
                    probes.add(probe)
                    probe.add_done_callback(probes.discard)
                with suppress(TimeoutError):
                    async with asyncio.timeout(self._probe_pause_s()):
                        await self._returned.wait()
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe(self) -> None:
        began = self._clock.monotonic()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.read(_PROBE_TABLE, "", limit=1)
        except (StoreUnavailableError, TimeoutError):
            return  # the outage goes on; its begin was logged
        self._note_outcome(None)
        self._note_answer(began)

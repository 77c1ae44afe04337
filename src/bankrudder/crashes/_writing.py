"""Writing of strikes to the store, beside the requests that brought them."""

import asyncio

import structlog

from bankrudder.crashes._records import row_key, row_of
from bankrudder.crashes._values import Strike
from bankrudder.store import Committed, Put, RowKey, Store, Transaction

MAX_WAITING = 2000
"""Rows that wait for the store; the oldest are given up beyond that."""

MAX_AT_ONCE = 50
"""Rows of one transaction, half of what the store takes."""

RETRY_PAUSE_S = 0.2
"""Pause after a write that was not done for sure. Writes wait by themselves while the
store is away for everybody."""

_log = structlog.get_logger("crashes")


class StrikeWriter:
    """Puts and removes rows, the latest wish for each, until the store has done so."""

    def __init__(self, store: Store):
        self._store = store
        self._waiting: dict[RowKey, Put | None] = {}
        self._is_due = asyncio.Event()

    def put(self, strike: Strike) -> None:
        """Have a strike kept."""
        self._want(row_key(strike), row_of(strike))

    def remove(self, strike: Strike) -> None:
        """Have a strike forgotten."""
        self._want(row_key(strike), None)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._is_due.wait()
            if not self._waiting:
                self._is_due.clear()
                continue
            if not await self._write_some():
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _write_some(self) -> bool:
        some = dict(list(self._waiting.items())[:MAX_AT_ONCE])
        transaction = Transaction(
            puts=tuple(put for put in some.values() if put is not None),
            removals=tuple(key for key, put in some.items() if put is None),
        )
        outcome = await self._store.commit(transaction)
        if not isinstance(outcome, Committed):
            _log.info("crashes: strikes not written yet", rows=len(some))
            return False
        for key, put in some.items():
            # What was wished meanwhile stays due.
            if self._waiting.get(key, put) is put:
                self._waiting.pop(key, None)
        return True

    def _want(self, key: RowKey, put: Put | None) -> None:
        self._waiting.pop(key, None)
        self._waiting[key] = put
        if len(self._waiting) > MAX_WAITING:
            oldest = next(iter(self._waiting))
            del self._waiting[oldest]
            _log.warning("crashes: strike not written", row=oldest.key)
        self._is_due.set()

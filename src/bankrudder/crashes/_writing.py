"""Asynchronous writing of strikes to the store."""

import asyncio

import structlog

from bankrudder.crashes._records import encode_strike, row_key
from bankrudder.crashes._values import Strike
from bankrudder.store import Committed, Put, RowKey, Store, Transaction

MAX_PENDING_ROWS = 2000
"""Maximum number of rows that wait to be written; the oldest are dropped."""

MAX_ROWS_PER_WRITE = 50
"""Maximum number of rows in a transaction, half of what the store accepts."""

RETRY_PAUSE_S = 0.2
"""Pause after a write that may have failed. During a store outage, the store client
itself delays writes."""

_log = structlog.get_logger("crashes")


class StrikeWriter:
    """Writes and removes rows, retrying until the store has committed the change.

    Only the latest change of each row is written.
    """

    def __init__(self, store: Store):
        self._store = store
        self._pending: dict[RowKey, Put | None] = {}
        self._has_pending = asyncio.Event()

    def put(self, strike: Strike) -> None:
        """Schedule the writing of a strike's row."""
        self._enqueue(row_key(strike), encode_strike(strike))

    def remove(self, strike: Strike) -> None:
        """Schedule the removal of a strike's row."""
        self._enqueue(row_key(strike), None)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._has_pending.wait()
            if not self._pending:
                self._has_pending.clear()
                continue
            if not await self._write_batch():
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _write_batch(self) -> bool:
        batch = dict(list(self._pending.items())[:MAX_ROWS_PER_WRITE])
        transaction = Transaction(
            puts=tuple(put for put in batch.values() if put is not None),
            removals=tuple(key for key, put in batch.items() if put is None),
        )
        outcome = await self._store.commit(transaction)
        if not isinstance(outcome, Committed):
            _log.info("crashes: strikes not written yet", rows=len(batch))
            return False
        for key, put in batch.items():
            # A row that was changed during the commit stays pending.
            if self._pending.get(key, put) is put:
                self._pending.pop(key, None)
        return True

    def _enqueue(self, key: RowKey, put: Put | None) -> None:
        self._pending.pop(key, None)
        self._pending[key] = put
        if len(self._pending) > MAX_PENDING_ROWS:
            oldest = next(iter(self._pending))
            del self._pending[oldest]
            _log.warning("crashes: strike dropped, queue full", row=oldest.key)
        self._has_pending.set()

"""Storage of the progress of unfinished samples.

The table ``progress`` has one part for each model, so that a new owner of a batch, or a
later batch with the same sample, finds the rows. Writes are unconditional: text that is
lost or too old is generated again.
"""

from collections.abc import Iterable, Sequence
from contextlib import suppress

import msgspec
import structlog

from bankrudder.batches._repository import MAX_TRANSACTION_BYTES, ROW_MARGIN_BYTES
from bankrudder.batches._values import Progress
from bankrudder.decoding import decode_msgpack
from bankrudder.routing import ModelName
from bankrudder.store import (
    MAX_TRANSACTION_ROWS,
    Committed,
    Put,
    RowKey,
    Store,
    Transaction,
    UnreadableRowError,
    decoding_row,
    read_all,
)
from bankrudder.world import SampleId

PROGRESS_TABLE = "progress"

_log = structlog.get_logger("batches")


class ProgressStore:
    """Reads and writes the progress of samples in the store."""

    def __init__(self, store: Store, row_bytes: int):
        self._store = store
        self._max_value_bytes = row_bytes - ROW_MARGIN_BYTES

    async def save(
        self, model: ModelName, progress: Iterable[tuple[SampleId, Progress]]
    ) -> bool:
        """Save the progress of samples; progress too large for a row is skipped.

        Returns
        -------
        bool
            Whether all other progress was saved.
        """
        is_saved = True
        puts: list[Put] = []
        transaction_bytes = 0
        for sample_id, each in progress:
            value = msgspec.msgpack.encode(each)
            if len(value) > self._max_value_bytes:
                continue
            if (
                transaction_bytes + len(value) > MAX_TRANSACTION_BYTES
                or len(puts) >= MAX_TRANSACTION_ROWS
            ):
                is_saved &= await self._put_rows(puts)
                puts, transaction_bytes = [], 0
            puts.append(Put(RowKey(PROGRESS_TABLE, model, sample_id), value))
            transaction_bytes += len(value)
        if puts:
            is_saved &= await self._put_rows(puts)
        return is_saved

    async def of_model(self, model: ModelName) -> dict[SampleId, Progress]:
        """Return all saved progress of a model."""
        progress: dict[SampleId, Progress] = {}
        for row in await read_all(self._store, PROGRESS_TABLE, model):
            with suppress(UnreadableRowError), decoding_row(row.key):
                progress[SampleId(row.key.key)] = decode_msgpack(row.value, Progress)
        return progress

    async def drop(self, model: ModelName, samples: Iterable[SampleId]) -> None:
        """Remove progress that is no longer needed, ignoring failures."""
        keys = [RowKey(PROGRESS_TABLE, model, sample) for sample in samples]
        for start in range(0, len(keys), MAX_TRANSACTION_ROWS):
            key_chunk = tuple(keys[start : start + MAX_TRANSACTION_ROWS])
            await self._store.commit(Transaction(removals=key_chunk))

    async def _put_rows(self, puts: Sequence[Put]) -> bool:
        outcome = await self._store.commit(Transaction(puts=tuple(puts)))
        if not isinstance(outcome, Committed):
            _log.warning("batches: progress not saved", rows=len(puts))
            return False
        return True

"""Reads and removes all rows of one part, and decodes the values of rows."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import structlog

from bankrudder.decoding import UnreadableDocumentError
from bankrudder.store._errors import UnreadableRowError
from bankrudder.store._port import Store
from bankrudder.store._values import Row, RowKey, Transaction

MAX_TRANSACTION_ROWS = 90
"""Maximum number of rows in one transaction, below the store's limit."""

_log = structlog.get_logger("store")


@contextmanager
def decoding_row(key: RowKey) -> Iterator[None]:
    """Log that a row could not be decoded in the ``with`` block.

    Raises
    ------
    UnreadableRowError
        If the block raises `UnreadableDocumentError`.
    """
    try:
        yield
    except UnreadableDocumentError as error:
        _log.warning(
            "store: row not understood",
            table=key.table,
            part=key.part,
            row=key.key,
            reason=error.reason,
        )
        raise UnreadableRowError from None


async def read_all(store: Store, table: str, part: str, end: str = "") -> list[Row]:
    """Return the rows of one part with keys below `end`; all rows if it is empty."""
    rows: list[Row] = []
    start = ""
    while True:
        page = await store.read(table, part, start, end)
        rows += page.rows
        if not page.has_more or not page.rows:
            return rows
        start = page.rows[-1].key.key + "\0"


async def remove_all(store: Store, keys: Sequence[RowKey]) -> None:
    """Remove rows of one part unconditionally, whether or not they exist."""
    for start in range(0, len(keys), MAX_TRANSACTION_ROWS):
        batch_keys = tuple(keys[start : start + MAX_TRANSACTION_ROWS])
        await store.commit(Transaction(removals=batch_keys))

"""All rows of one part: reading and removing them in as many calls as it takes."""

from collections.abc import Sequence

from bankrudder.store._port import Store
from bankrudder.store._values import Row, RowKey, Transaction

MAX_TRANSACTION_ROWS = 90
"""Rows of one transaction at most, below the store's bound."""


async def read_all(store: Store, table: str, part: str, end: str = "") -> list[Row]:
    """Return all rows of one part whose keys are below `end`; all if it is empty."""
    rows: list[Row] = []
    start = ""
    while True:
        page = await store.read(table, part, start, end)
        rows += page.rows
        if not page.has_more or not page.rows:
            return rows
        start = page.rows[-1].key.key + "\0"


async def remove_all(store: Store, keys: Sequence[RowKey]) -> None:
    """Remove rows of one part, whatever is there and without a condition."""
    for start in range(0, len(keys), MAX_TRANSACTION_ROWS):
        some = tuple(keys[start : start + MAX_TRANSACTION_ROWS])
        await store.commit(Transaction(removals=some))

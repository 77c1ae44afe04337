"""Rows, transactions and the possible outcomes of a transaction."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.decoding import NonNegativeInt

RowVersion = NewType("RowVersion", NonNegativeInt)
"""Number of the transaction that wrote a row; increases across the whole store."""

ABSENT = RowVersion(0)
"""Expected version of a row that must not exist."""


class RowKey(msgspec.Struct, frozen=True, order=True):
    """Key of one row. All rows of a transaction have the same ``part``."""

    table: str
    part: str
    key: str


class Row(msgspec.Struct, frozen=True):
    """One row with the value that it had at a version."""

    key: RowKey
    version: RowVersion
    value: bytes


class RemovedRow(msgspec.Struct, frozen=True):
    """The removal of a row, at a version."""

    key: RowKey
    version: RowVersion


class Expectation(msgspec.Struct, frozen=True):
    """The version that a row must have; `ABSENT` if it must not exist."""

    key: RowKey
    version: RowVersion


class Put(msgspec.Struct, frozen=True):
    """The new value of a row."""

    key: RowKey
    value: bytes


class Transaction(msgspec.Struct, frozen=True):
    """Changes that take effect together, if all expectations hold."""

    expectations: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    removals: tuple[RowKey, ...] = ()


class Committed(msgspec.Struct, frozen=True):
    """The changes took effect; all rows that were put now have ``version``.

    Attributes
    ----------
    store_time_s : float
        Time of the store's own monotonic clock, which has no fixed origin.
    """

    version: RowVersion
    store_time_s: float = 0.0


class Conflict(msgspec.Struct, frozen=True):
    """Nothing was changed; ``rows`` are the existing rows of the expectations."""

    rows: tuple[Row, ...]

    def holds(self, value: bytes) -> bool:
        """Whether one of the rows has this value."""
        return any(row.value == value for row in self.rows)

    def row(self, key: RowKey) -> Row | None:
        """Return the row with this key, None if it does not exist."""
        return next((row for row in self.rows if row.key == key), None)


class StoreErrorKind(Enum):
    """Why the store gave no result."""

    BUSY = "busy"
    """The store temporarily refused the call."""

    RATE_LIMITED = "rate_limited"
    FULL = "full"
    UNREACHABLE = "unreachable"
    """No connection could be made; nothing was sent."""

    NO_REPLY = "no_reply"
    """The call was sent; no reply or an unreadable one came back."""

    UNREADABLE = "unreadable"
    """A row was read whose value is not of the expected kind."""

    REJECTED = "rejected"
    """The store considers the call invalid; a retry will fail again."""


class NotCommitted(msgspec.Struct, frozen=True):
    """The changes did not take effect and will not."""

    error_kind: StoreErrorKind


class CommitUnknown(msgspec.Struct, frozen=True):
    """The changes may have taken effect, or may still do so."""

    error_kind: StoreErrorKind


CommitOutcome = Committed | Conflict | NotCommitted | CommitUnknown


class Page(msgspec.Struct, frozen=True):
    """Rows of one part, read at a single version."""

    rows: tuple[Row, ...]
    version: RowVersion
    has_more: bool


class Changes(msgspec.Struct, frozen=True):
    """Changes of a table, in order; the next read continues from ``version``."""

    changes: tuple[Row | RemovedRow, ...]
    version: RowVersion

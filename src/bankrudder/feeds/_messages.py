"""Messages from a reader to the other hosts of its data centre."""

import msgspec

from bankrudder.decoding import decode_msgpack
from bankrudder.store import RowKey, RowVersion


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row that is new or whose significant content changed."""

    key: RowKey
    version: RowVersion
    value: bytes


class RowReference(msgspec.Struct, frozen=True, array_like=True):
    """The key and version of a row, without its value."""

    key: RowKey
    version: RowVersion


class FeedChanges(msgspec.Struct, frozen=True, array_like=True, tag="changes"):
    """Changes of a table after the version ``after`` up to ``version``.

    Attributes
    ----------
    number : int
        Increases by one with each message of a reader, to detect lost messages.
    touched : tuple of RowReference
        Rows that were written again with the same significant content.
    """

    number: int
    table: str
    after: RowVersion
    version: RowVersion
    rows: tuple[RelayedRow, ...] = ()
    touched: tuple[RowReference, ...] = ()
    removed: tuple[RowReference, ...] = ()


class FeedHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A sign of life of the reader, with the seconds since it last read each table."""

    number: int
    ages: dict[str, float]


FeedMessage = FeedChanges | FeedHeartbeat


def encode(message: FeedMessage) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> FeedMessage:
    """Decode a message; raises `UnreadableDocumentError`."""
    message: FeedMessage = decode_msgpack(data, FeedMessage)
    return message

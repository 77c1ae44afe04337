"""Messages of a reader to the hosts of its data centre."""

import msgspec

from bankrudder.store import RowKey, RowVersion


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row that is new or means something else than before."""

    key: RowKey
    version: RowVersion
    value: bytes


class TouchedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row that was written again and means the same."""

    key: RowKey
    version: RowVersion


class FeedChanges(msgspec.Struct, frozen=True, array_like=True, tag="changes"):
    """What changed in a table between two versions.

    Attributes
    ----------
    number : int
        Grows by one with each message of a reader, so that a lost one is noticed.
    """

    number: int
    table: str
    after: RowVersion
    version: RowVersion
    rows: tuple[RelayedRow, ...] = ()
    touched: tuple[TouchedRow, ...] = ()
    removed: tuple[TouchedRow, ...] = ()


class FeedBeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """The reader lives; ``ages`` tells when it last read each table, in seconds."""

    number: int
    ages: dict[str, float]


FeedMessage = FeedChanges | FeedBeat


def encode(message: FeedMessage) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> FeedMessage:
    """Decode a message; raises `msgspec.DecodeError`."""
    return msgspec.msgpack.decode(data, type=FeedMessage)

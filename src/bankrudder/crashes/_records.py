"""Encoding of strikes as rows of the store, which shares them among all hosts.

Table ``crashes`` has a row for each strike, all in one part. A doubtful strike and the
strike that confirms it have the same key. Rows are written and
removed without conditions: two hosts that observe the same crash write the same row,
and a write that the store executes late restores at most one removed strike.
"""

import hashlib

import msgspec

from bankrudder.crashes._content import ContentId
from bankrudder.crashes._values import Strike, UnixTime
from bankrudder.decoding import NonNegativeInt, decode_json
from bankrudder.fleet import EndpointId, EndpointRun, StartTime
from bankrudder.routing import ServiceName
from bankrudder.store import Put, RowKey

CRASHES_TABLE = "crashes"

RUN_DIGEST_BYTES = 8
"""Length of the digest of a run in a row key. A digest is used because the names of
endpoints may be long."""


class _CrashRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Encoded form of a `Strike`.

    Attributes
    ----------
    began : UnixTime
        `Strike.sent_at`.
    at : UnixTime
        `Strike.lost_at`.
    doubt : bool
        `Strike.is_doubtful`.
    request : str
        `Strike.request`.
    service : ServiceName
        `Strike.service`.
    first, next : int
        `Strike.first_event` and `Strike.next_event`.
    """

    content: ContentId
    endpoint: EndpointId
    began: UnixTime
    at: UnixTime
    born: StartTime | None = None
    doubt: bool = False
    request: str = ""
    service: ServiceName = ServiceName("")
    first: NonNegativeInt = 0
    next: NonNegativeInt = 0


def row_key(strike: Strike) -> RowKey:
    """Return the row key of a strike."""
    name = f"{strike.run.endpoint}/{strike.run.born}".encode()
    run = hashlib.blake2b(name, digest_size=RUN_DIGEST_BYTES).hexdigest()
    return RowKey(CRASHES_TABLE, "", f"{strike.content}/{run}")


def encode_strike(strike: Strike) -> Put:
    """Return the write of a strike's row."""
    run = strike.run
    row = _CrashRow(
        strike.content,
        run.endpoint,
        strike.sent_at,
        strike.lost_at,
        run.born,
        strike.is_doubtful,
        strike.request,
        strike.service,
        strike.first_event,
        strike.next_event,
    )
    return Put(row_key(strike), msgspec.json.encode(row))


def decode_strike(value: bytes) -> Strike:
    """Return the strike in the value of a row.

    Raises
    ------
    UnreadableDocumentError
        If the value is not a valid strike.
    """
    row = decode_json(value, _CrashRow)
    run = EndpointRun(row.endpoint, row.born)
    return Strike(
        row.content,
        run,
        row.began,
        row.at,
        row.doubt,
        row.request,
        row.service,
        row.first,
        row.next,
    )

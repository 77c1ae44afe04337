"""Strikes as rows of the store, where all hosts find them and none can lose them.

A row for each strike, in table ``crashes``, all in one part. Rows are written and
removed without conditions: two hosts that see the same end write the same row, and a
write that the store carries out late brings back one strike at most.
"""

import hashlib

import msgspec

from bankrudder.crashes._content import ContentId
from bankrudder.crashes._values import Strike, UnixTime
from bankrudder.fleet import Birth, EndpointId, EndpointRun
from bankrudder.store import Put, RowKey

CRASHES_TABLE = "crashes"

RUN_DIGEST_BYTES = 8
"""Length of the digest of a run in a row's key: names of endpoints may be long."""


class _CrashRow(msgspec.Struct, frozen=True, omit_defaults=True):
    content: ContentId
    endpoint: EndpointId
    began: UnixTime
    at: UnixTime
    born: Birth | None = None


def row_key(strike: Strike) -> RowKey:
    """Return where a strike is kept."""
    name = f"{strike.run.endpoint}/{strike.run.born}".encode()
    run = hashlib.blake2b(name, digest_size=RUN_DIGEST_BYTES).hexdigest()
    return RowKey(CRASHES_TABLE, "", f"{strike.content}/{run}")


def row_of(strike: Strike) -> Put:
    """Return the row that keeps a strike."""
    run = strike.run
    row = _CrashRow(strike.content, run.endpoint, strike.began, strike.at, run.born)
    return Put(row_key(strike), msgspec.json.encode(row))


def strike_in(value: bytes) -> Strike:
    """Return the strike in a row.

    Raises
    ------
    msgspec.DecodeError
        If it holds none.
    """
    row = msgspec.json.decode(value, type=_CrashRow)
    return Strike(row.content, EndpointRun(row.endpoint, row.born), row.began, row.at)

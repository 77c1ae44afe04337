"""Idempotency keys: their form, their age, and the fingerprint of a request."""

import uuid

import msgspec
import xxhash

from bankrudder.exceptions import InvalidError, OutcomeUnknownError
from bankrudder.failures import FailureReason
from bankrudder.world import CallerName, CallKey, DataClassName, PoolName

KEY_VERSION = 7
TIME_SHIFT = 80
"""Bits of a UUID of version 7 below its time of minting."""

MS_PER_S = 1000

CLOCK_BOUND_S = 5.0
"""Most seconds by which the wall clocks of a host and of a caller may differ; the
platform's own bound on the difference of two clocks."""


class RequestIdentity(msgspec.Struct, frozen=True, array_like=True):
    """What makes two requests the same."""

    caller: CallerName
    data_class: DataClassName
    pool: PoolName
    method: str
    payload: bytes


def fingerprint_of(request: RequestIdentity) -> bytes:
    """Return the 16-byte hash that a repeat of the same request shares."""
    return xxhash.xxh3_128_digest(msgspec.msgpack.encode(request))


def minted_at(key: CallKey) -> float:
    """Return the wall time in seconds at which `key` was minted.

    Raises
    ------
    InvalidError
        If the key is absent or is not a UUID of version 7.
    """
    if not key:
        raise InvalidError(
            FailureReason.KEY_MISSING, "this pool needs a key", field="key"
        )
    return (_parse(key).int >> TIME_SHIFT) / MS_PER_S


def check_window(minted: float, now: float, retry_window_s: float) -> None:
    """Check that a key minted at `minted` may still be used at wall time `now`.

    Raises
    ------
    InvalidError
        If it was minted later than any clock within the bound could show.
    OutcomeUnknownError
        If it is older than the retry window, when its record may be gone.
    """
    if minted > now + CLOCK_BOUND_S:
        raise InvalidError(
            FailureReason.KEY_FROM_FUTURE, "the key is from the future", field="key"
        )
    if minted < now - retry_window_s:
        raise OutcomeUnknownError(
            FailureReason.KEY_EXPIRED, "the key is older than the retry window"
        )


def record_name(caller: CallerName, key: CallKey) -> str:
    """Return the name of a key's record; it begins with the key's time.

    A caller's keys are its own: another caller's equal key is another record.
    """
    scope = xxhash.xxh3_64_hexdigest(caller.encode())
    return f"{round(minted_at(key) * MS_PER_S):013d}.{scope}.{key}"


def minted_in(name: str) -> float:
    """Return the wall time in seconds that a record's name begins with."""
    return int(name.partition(".")[0]) / MS_PER_S


def _parse(key: CallKey) -> uuid.UUID:
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        raise _malformed() from None
    if parsed.version != KEY_VERSION or str(parsed) != key:
        raise _malformed()
    return parsed


def _malformed() -> InvalidError:
    return InvalidError(
        FailureReason.KEY_MALFORMED,
        "the key is not a hyphenated lower-case UUID of version 7",
        field="key",
    )

"""Idempotency keys: format, age, record names, and the fingerprint of a request."""

import uuid

import msgspec
import xxhash

from bankrudder.decoding import decode_decimal
from bankrudder.exceptions import InvalidError, OutcomeUnknownError
from bankrudder.failures import FailureReason
from bankrudder.world import CallerName, CallKey, DataClassName, PoolName

KEY_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
"""Number of bits below the millisecond timestamp in a UUID of version 7."""

MS_PER_S = 1000

MAX_CLOCK_SKEW_S = 5.0
"""Largest difference between the wall clocks of a host and of a caller; the platform
guarantees this bound for any two clocks."""


class RequestIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The fields by which two requests count as the same."""

    caller: CallerName
    data_class: DataClassName
    pool: PoolName
    method: str
    payload: bytes


def fingerprint_of(request: RequestIdentity) -> bytes:
    """Return the 16-byte hash of a request; a retry has the same hash."""
    return xxhash.xxh3_128_digest(msgspec.msgpack.encode(request))


def key_timestamp(key: CallKey) -> float:
    """Return the wall time in seconds at which `key` was generated.

    Raises
    ------
    InvalidError
        If the key is absent or is not a UUID of version 7.
    """
    if not key:
        raise InvalidError(
            FailureReason.KEY_MISSING,
            "the pool requires an idempotency key",
            field="key",
        )
    return (_parse(key).int >> TIMESTAMP_SHIFT_BITS) / MS_PER_S


def check_retry_window(
    key_timestamp_s: float, now: float, retry_window_s: float
) -> None:
    """Check that a key generated at `key_timestamp_s` is valid at wall time `now`.

    Raises
    ------
    InvalidError
        If the timestamp is ahead of `now` by more than the largest clock skew.
    OutcomeUnknownError
        If the key is older than the retry window: its record may be removed.
    """
    if key_timestamp_s > now + MAX_CLOCK_SKEW_S:
        raise InvalidError(
            FailureReason.KEY_FROM_FUTURE,
            "the timestamp of the key is in the future",
            field="key",
        )
    if key_timestamp_s < now - retry_window_s:
        raise OutcomeUnknownError(
            FailureReason.KEY_EXPIRED, "the key is older than the retry window"
        )


def record_name(caller: CallerName, key: CallKey) -> str:
    """Return the name of a key's record; it begins with the timestamp of the key.

    Keys are scoped to a caller: equal keys of two callers have separate records.
    """
    scope = xxhash.xxh3_64_hexdigest(caller.encode())
    return f"{round(key_timestamp(key) * MS_PER_S):013d}.{scope}.{key}"


def record_timestamp(name: str) -> float | None:
    """Return the key's timestamp, in seconds, from the name of its record.

    None if it is not the name of a record.
    """
    timestamp_ms = decode_decimal(name.partition(".")[0])
    return None if timestamp_ms is None else timestamp_ms / MS_PER_S


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

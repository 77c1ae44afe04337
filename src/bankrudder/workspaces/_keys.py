"""Keys of callers: secrets that are only ever compared by their digests."""

import hashlib
from collections.abc import Sequence
from typing import NewType

KeyDigest = NewType("KeyDigest", bytes)
"""SHA-256 of a key. Keys are long random texts, so the digest alone gives none away."""

_SCHEME = "bearer"


class ApiKey:
    """A key as a caller sent it; no text of it ever shows the secret."""

    __slots__ = ("_digest",)

    def __init__(self, secret: str):
        self._digest = KeyDigest(
            hashlib.sha256(secret.encode("utf-8", "surrogateescape")).digest()
        )

    def __repr__(self) -> str:
        return "ApiKey(withheld)"

    @property
    def digest(self) -> KeyDigest:
        """What it is compared by."""
        return self._digest


def parse_bearer(values: Sequence[str]) -> ApiKey | None:
    """Return the key of a request, None without one.

    Parameters
    ----------
    values : sequence of str
        All values of the header that carries credentials. More than one of them, or
        another scheme, is no key: nobody could tell whose request it is.
    """
    if len(values) != 1:
        return None
    scheme, _, secret = values[0].strip().partition(" ")
    secret = secret.strip()
    if scheme.lower() != _SCHEME or not secret:
        return None
    return ApiKey(secret)

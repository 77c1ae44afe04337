"""API keys of callers: secrets that are compared only by their digests."""

import hashlib
from collections.abc import Sequence
from typing import NewType

KeyDigest = NewType("KeyDigest", bytes)
"""SHA-256 of a key. Keys are long random strings, so a digest does not reveal one."""

_SCHEME = "bearer"


class ApiKey:
    """A key sent by a caller. Its text representations never contain the secret."""

    __slots__ = ("_digest",)

    def __init__(self, secret: str):
        self._digest = KeyDigest(
            hashlib.sha256(secret.encode("utf-8", "surrogateescape")).digest()
        )

    def __repr__(self) -> str:
        return "ApiKey(withheld)"

    @property
    def digest(self) -> KeyDigest:
        """The digest by which the key is compared."""
        return self._digest


def parse_bearer(values: Sequence[str]) -> ApiKey | None:
    """Return the key of a request, or None if the request has none.

    Parameters
    ----------
    values : sequence of str
        All values of the header that carries credentials. More than one value counts
        as no key because the workspace would be ambiguous, and so does any scheme
        other than bearer.
    """
    if len(values) != 1:
        return None
    scheme, _, secret = values[0].strip().partition(" ")
    secret = secret.strip()
    if scheme.lower() != _SCHEME or not secret:
        return None
    return ApiKey(secret)

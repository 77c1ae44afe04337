"""What a request asks, whatever name an attempt at it bears."""

import hashlib
from collections.abc import Iterable
from typing import NewType

ContentId = NewType("ContentId", str)
"""Digest of what a request asks. Each attempt of a caller has a request identifier of
its own; the content is the same at every host."""

DIGEST_BYTES = 16
"""Length of a digest: two contents share one by chance, or by intent, never."""


def content_id(
    method: str,
    host: str,
    target: str,
    body: bytes,
    identity: Iterable[str] = (),
) -> ContentId:
    """Return the digest of a request.

    Parameters
    ----------
    target : str
        Path and query as sent.
    identity : iterable of str
        What tells requests of the same path and body apart: the caller, the prompt.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.lower(), target, *identity):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    digest.update(body)
    return ContentId(digest.hexdigest())

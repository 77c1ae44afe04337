"""Identification of requests by their content, independent of request identifiers."""

import hashlib
from collections.abc import Iterable
from typing import NewType

ContentId = NewType("ContentId", str)
"""Digest of a request's content. A repeated request has a new request identifier but
the same content digest, at every host."""

DIGEST_BYTES = 16
"""Length of a digest, at which accidental and deliberate collisions are infeasible."""


def content_id(
    method: str,
    host: str,
    target: str,
    body: bytes,
    identity: Iterable[str] = (),
) -> ContentId:
    """Return the content digest of a request.

    Parameters
    ----------
    target : str
        Path and query as received.
    identity : iterable of str
        Values that distinguish requests with the same path and body: caller and prompt.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.lower(), target, *identity):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    digest.update(body)
    return ContentId(digest.hexdigest())

"""Short forms of request identifiers, for tables that outlast the requests.

Callers choose the identifiers, which may fill a whole head.
"""

from hashlib import blake2b

MAX_MARK_CHARS = 64
"""Length from which an identifier is replaced by its digest."""

DIGEST_BYTES = 16
"""Length of a digest, at which accidental and deliberate collisions are infeasible."""


def request_mark(request_id: str) -> str:
    """Return a request's identifier, or its digest in hexadecimal if it is long."""
    if len(request_id) < MAX_MARK_CHARS:
        return request_id
    encoded = request_id.encode("utf-8", "surrogateescape")
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()

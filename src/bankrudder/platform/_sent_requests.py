"""Memory of the requests that were sent to endpoints lately.

Identifiers are chosen by callers and may fill a whole head, so digests are kept.
"""

from hashlib import blake2b

from bankrudder.fleet import EndpointRun

MAX_SENT_REQUESTS = 4096
"""Number of the latest requests that are remembered: several times as many as a host
sends while a connection may stay idle."""

DIGEST_BYTES = 16
"""Size of the digest of an identifier, with which two are practically never the same.
Requests that seem to have been sent before only get a new connection."""


class SentRequests:
    """The identifiers of the latest requests, by the run of an endpoint.

    Parameters
    ----------
    limit : int
        Number of requests that are remembered.
    """

    def __init__(self, limit: int = MAX_SENT_REQUESTS) -> None:
        self._limit = limit
        self._sent: dict[tuple[EndpointRun, bytes], None] = {}

    def note(self, run: EndpointRun, request_id: str) -> bool:
        """Record a request; return whether the run has not been sent it before."""
        digest = blake2b(
            request_id.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
        ).digest()
        key = (run, digest)
        is_first = key not in self._sent
        self._sent.pop(key, None)
        self._sent[key] = None
        if len(self._sent) > self._limit:
            del self._sent[next(iter(self._sent))]
        return is_first

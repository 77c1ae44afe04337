"""Memory of the requests that were sent to endpoints lately."""

from bankrudder.fleet import EndpointRun
from bankrudder.world import request_mark

MAX_SENT_REQUESTS = 4096
"""Number of the latest requests that are remembered: several times as many as a host
sends while a connection may stay idle."""


class SentRequests:
    """The identifiers of the latest requests, by the run of an endpoint.

    Parameters
    ----------
    limit : int
        Number of requests that are remembered.
    """

    def __init__(self, limit: int = MAX_SENT_REQUESTS) -> None:
        self._limit = limit
        self._sent: dict[tuple[EndpointRun, str], None] = {}

    def note(self, run: EndpointRun, request_id: str) -> bool:
        """Record a request; return whether the run has not been sent it before."""
        key = (run, request_mark(request_id))
        is_first = key not in self._sent
        self._sent.pop(key, None)
        self._sent[key] = None
        if len(self._sent) > self._limit:
            del self._sent[next(iter(self._sent))]
        return is_first

"""What callers may make one node hold at a time."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.world import CallerName, RpcLimits

RETRY_AFTER_S = 1.0


class HeldRequests:
    """Counts the requests in progress and refuses what exceeds the bounds."""

    def __init__(self, limits: RpcLimits):
        self._limits = limits
        self._requests: Counter[CallerName] = Counter()
        self._bytes: Counter[CallerName] = Counter()
        self._all_requests = 0
        self._all_bytes = 0
        self._refused = 0

    @property
    def requests(self) -> int:
        """Requests in progress."""
        return self._all_requests

    @property
    def held_bytes(self) -> int:
        """Bytes of the requests in progress."""
        return self._all_bytes

    @property
    def refused(self) -> int:
        """Requests refused because a bound was reached."""
        return self._refused

    @contextmanager
    def holding(self, caller: CallerName, size: int) -> Iterator[None]:
        """Hold a request of `size` bytes while the block runs.

        Raises
        ------
        NotRunError
            ``OVERLOADED`` if that exceeds a bound; the detail names it.
        """
        self._check(caller, size)
        self._add(caller, 1, size)
        try:
            yield
        finally:
            self._add(caller, -1, -size)

    def _check(self, caller: CallerName, size: int) -> None:
        limits = self._limits
        if self._all_requests >= limits.max_requests:
            self._refuse(f"this node holds {limits.max_requests} requests")
        if self._requests[caller] >= limits.max_requests_per_caller:
            self._refuse(
                f"{caller} has {limits.max_requests_per_caller} requests in progress"
            )
        if self._all_bytes + size > limits.max_held_bytes:
            self._refuse(f"this node would hold over {limits.max_held_bytes} bytes")
        if self._bytes[caller] + size > limits.max_held_bytes_per_caller:
            self._refuse(
                f"{caller} would have over {limits.max_held_bytes_per_caller} "
                "bytes in progress"
            )

    def _refuse(self, detail: str) -> None:
        self._refused += 1
        raise NotRunError(FailureReason.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)

    def _add(self, caller: CallerName, requests: int, size: int) -> None:
        self._all_requests += requests
        self._all_bytes += size
        self._requests[caller] += requests
        self._bytes[caller] += size
        if not self._requests[caller]:
            del self._requests[caller], self._bytes[caller]

"""Limits on the requests in progress on a node."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.memory import MemoryBudget, TransferKind
from bankrudder.world import CallerName, RpcLimits

RETRY_AFTER_S = 1.0
"""Retry delay for a request that exceeds a limit."""


class RequestLimiter:
    """Counts requests in progress, and refuses those that exceed a limit.

    Parameters
    ----------
    budget : MemoryBudget, optional
        Memory for the requests; by default that of a process whose memory is unknown.
    """

    def __init__(self, limits: RpcLimits, budget: MemoryBudget | None = None):
        self._limits = limits
        self._budget = budget or MemoryBudget.of_unknown_process()
        self._requests_by_caller: Counter[CallerName] = Counter()
        self._bytes_by_caller: Counter[CallerName] = Counter()
        self._request_count = 0
        self._byte_count = 0
        self._refused_count = 0

    @property
    def request_count(self) -> int:
        """Number of requests in progress."""
        return self._request_count

    @property
    def byte_count(self) -> int:
        """Total size of the requests in progress, in bytes."""
        return self._byte_count

    @property
    def refused_count(self) -> int:
        """Number of requests refused because of a limit."""
        return self._refused_count

    @contextmanager
    def admit(self, caller: CallerName, size_bytes: int) -> Iterator[None]:
        """Count a request of `size_bytes` as in progress while the block runs.

        Raises
        ------
        NotRunError
            ``OVERLOADED`` if it exceeds a limit, which the detail names.
        """
        self._check_limits(caller, size_bytes)
        holding = self._budget.hold(TransferKind.REQUEST, lambda: 0, lambda: None)
        holding.note_received()
        try:
            if not holding.grow(size_bytes):
                self._refuse(f"this node has no memory for {size_bytes} more bytes")
            self._add(caller, 1, size_bytes)
            try:
                yield
            finally:
                self._add(caller, -1, -size_bytes)
        finally:
            holding.release()

    def _check_limits(self, caller: CallerName, size_bytes: int) -> None:
        limits = self._limits
        if self._request_count >= limits.max_requests:
            self._refuse(
                f"this node has reached its limit of {limits.max_requests} requests in "
                "progress"
            )
        if self._requests_by_caller[caller] >= limits.max_requests_per_caller:
            self._refuse(
                f"{caller} has reached its limit of {limits.max_requests_per_caller} "
                "requests in progress"
            )
        if self._byte_count + size_bytes > limits.max_held_bytes:
            self._refuse(
                f"a request of {size_bytes} bytes would exceed this node's limit of "
                f"{limits.max_held_bytes} bytes in progress"
            )
        if (
            self._bytes_by_caller[caller] + size_bytes
            > limits.max_held_bytes_per_caller
        ):
            self._refuse(
                f"a request of {size_bytes} bytes would exceed {caller}'s limit of "
                f"{limits.max_held_bytes_per_caller} bytes in progress"
            )

    def _refuse(self, detail: str) -> None:
        self._refused_count += 1
        raise NotRunError(FailureReason.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)

    def _add(self, caller: CallerName, request_count: int, size_bytes: int) -> None:
        self._request_count += request_count
        self._byte_count += size_bytes
        self._requests_by_caller[caller] += request_count
        self._bytes_by_caller[caller] += size_bytes
        if not self._requests_by_caller[caller]:
            del self._requests_by_caller[caller], self._bytes_by_caller[caller]

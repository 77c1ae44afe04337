"""Admission of requests by the priority of their caller class.

Each host admits its own requests, based on the load that endpoints report and on the
requests that the host itself has in flight. Priorities therefore apply among the
requests of one host; between hosts, only the slots that a class reserves take effect.

Where overload is limited, a request whose answer cannot come before its deadline is
rejected at once, at its arrival and while it waits, in place of after its time-out.
"""

import asyncio
import heapq
import itertools
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
import structlog

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.fleet import EndpointDirectory
from bankrudder.routing import ServiceName
from bankrudder.world import CallerClass, CallerClassName, Clock, DataCentreName

RECHECK_PERIOD_S = 0.02
"""Interval at which waiting requests check the load again: endpoints report a change of
load with unrelated answers, which do not wake a waiting request."""

RETRY_AFTER_S = 0.25
"""Retry delay sent with a refusal: a few times the usual answer time."""

FAST_ANSWER_SHARE = 0.5
"""Share of the mean latency that hardly any answer is faster than."""

_log = structlog.get_logger("calls")


class ClassPolicy(msgspec.Struct, frozen=True):
    """How requests of a caller class are admitted.

    Attributes
    ----------
    reserved_slot_count : int
        Slots on each endpoint that classes of higher priority reserve.
    """

    name: CallerClassName
    priority: int
    queue_limit: int
    queue_timeout_s: float
    reserved_slot_count: int = 0

    @classmethod
    def from_config(
        cls, own_class: CallerClass, classes: tuple[CallerClass, ...]
    ) -> "ClassPolicy":
        """Return the policy of `own_class`, given all caller classes."""
        reserved = sum(
            each.reserved for each in classes if each.priority < own_class.priority
        )
        return cls(
            own_class.name,
            own_class.priority,
            own_class.queue_limit,
            own_class.queue_timeout_s,
            reserved,
        )


class QueueKey(msgspec.Struct, frozen=True):
    """Service and data centres that a request may use; each key has its own queue."""

    service: ServiceName
    data_centres: tuple[DataCentreName, ...] = ()


@dataclass(order=True)
class _QueuedRequest:
    priority: int
    sequence: int
    policy: ClassPolicy = field(compare=False)
    admitted: "asyncio.Future[None]" = field(compare=False)


class _Queue:
    """Waiting and admitted requests of one queue key."""

    def __init__(self) -> None:
        self.waiting: list[_QueuedRequest] = []
        self.waiting_counts: Counter[CallerClassName] = Counter()
        self.admitted_count = 0


class AdmissionController:
    """Admits requests in the order of class priority, then of arrival.

    Parameters
    ----------
    rejects_hopeless : bool
        Whether requests whose answer cannot come before their deadline are rejected at
        once.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        clock: Clock,
        rejects_hopeless: bool = False,
    ):
        self._rejects_hopeless = rejects_hopeless
        self._directory = directory
        self._clock = clock
        self._queues: dict[QueueKey, _Queue] = {}
        self._sequence = itertools.count()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    @asynccontextmanager
    async def admitted(
        self, queue_key: QueueKey, policy: ClassPolicy, deadline: float
    ) -> AsyncIterator[None]:
        """Wait for a free endpoint slot and hold it while the block runs.

        Raises
        ------
        NotRunError
            If the queue limit of the class is reached, or its queue timeout or the
            deadline passes.
        """
        queue = self._queues.setdefault(queue_key, _Queue())
        if queue.waiting or not self._has_free_slot(queue_key, queue, policy):
            await self._wait(queue_key, queue, policy, deadline)
        else:
            queue.admitted_count += 1
        try:
            yield
        finally:
            queue.admitted_count -= 1
            self._admit_waiting(queue_key, queue)

    async def _wait(
        self, queue_key: QueueKey, queue: _Queue, policy: ClassPolicy, deadline: float
    ) -> None:
        if queue.waiting_counts[policy.name] >= policy.queue_limit:
            raise _refusal(
                FailureReason.OVERLOADED,
                f"the limit of {policy.queue_limit} waiting requests is reached",
            )
        entry = _QueuedRequest(
            policy.priority,
            next(self._sequence),
            policy,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(queue.waiting, entry)
        queue.waiting_counts[policy.name] += 1
        until = min(deadline, self._clock.monotonic() + policy.queue_timeout_s)
        try:
            await self._wait_until_admitted(queue_key, queue, entry, until, deadline)
        except BaseException:
            self._remove_entry(queue, entry)
            raise
        finally:
            queue.waiting_counts[policy.name] -= 1

    async def _wait_until_admitted(
        self,
        queue_key: QueueKey,
        queue: _Queue,
        entry: _QueuedRequest,
        until: float,
        deadline: float,
    ) -> None:
        while not entry.admitted.done():
            self._admit_waiting(queue_key, queue)
            if not entry.admitted.done():
                self._check_hope(queue_key, queue, entry, deadline)
            if self._clock.monotonic() >= until and not entry.admitted.done():
                _log.info(
                    "calls: queue timeout",
                    service=queue_key.service,
                    caller_class=entry.policy.name,
                    waiting=len(queue.waiting),
                )
                raise _refusal(
                    FailureReason.QUEUE_TIMEOUT, "no endpoint slot became free in time"
                )
            await asyncio.wait((entry.admitted,), timeout=RECHECK_PERIOD_S)

    def _check_hope(
        self,
        queue_key: QueueKey,
        queue: _Queue,
        entry: _QueuedRequest,
        deadline: float,
    ) -> None:
        """Raise `NotRunError` if the answer cannot come before the deadline."""
        latency_s = self._directory.mean_latency_s(queue_key.service)
        if not self._rejects_hopeless or latency_s is None:
            return
        usable_slots = sum(
            each.endpoint.slots
            for each in self._directory.of_service(
                queue_key.service, queue_key.data_centres
            )
        )
        place = sum(each < entry for each in queue.waiting)
        # All slots may be used by requests before it; none is known to be used longer.
        wait_s = place * latency_s / max(usable_slots, 1)
        left_s = deadline - self._clock.monotonic()
        if wait_s + FAST_ANSWER_SHARE * latency_s <= left_s:
            return
        _log.info(
            "calls: hopeless call rejected",
            service=queue_key.service,
            caller_class=entry.policy.name,
            waiting=len(queue.waiting),
            wait_s=round(wait_s, 3),
            latency_s=round(latency_s, 3),
            left_s=round(left_s, 3),
        )
        raise _refusal(
            FailureReason.OVERLOADED,
            "the answer could not be expected before the deadline",
        )

    def _remove_entry(self, queue: _Queue, entry: _QueuedRequest) -> None:
        if entry.admitted.done():
            queue.admitted_count -= 1
        elif entry in queue.waiting:
            queue.waiting.remove(entry)
            heapq.heapify(queue.waiting)

    def _admit_waiting(self, queue_key: QueueKey, queue: _Queue) -> None:
        while queue.waiting and self._has_free_slot(
            queue_key, queue, queue.waiting[0].policy
        ):
            entry = heapq.heappop(queue.waiting)
            queue.admitted_count += 1
            entry.admitted.set_result(None)

    def _has_free_slot(
        self, queue_key: QueueKey, queue: _Queue, policy: ClassPolicy
    ) -> bool:
        endpoints = self._directory.of_service(
            queue_key.service, queue_key.data_centres
        )
        if not endpoints:
            return True  # without endpoints, the forwarder refuses the request at once
        now = self._clock.monotonic()
        usable_slot_count = sum(
            each.endpoint.slots - policy.reserved_slot_count for each in endpoints
        )
        other_hosts_load = sum(each.other_hosts_load(now) for each in endpoints)
        # Admitted requests may not be sent yet, and samples of batches are in flight
        # without admission.
        own_load = max(queue.admitted_count, sum(each.in_flight for each in endpoints))
        # If all slots are reserved, a request is admitted while the endpoints are idle.
        return own_load + other_hosts_load < max(usable_slot_count, 1)


def _refusal(reason: FailureReason, detail: str) -> NotRunError:
    return NotRunError(reason, detail, retry_after_s=RETRY_AFTER_S)

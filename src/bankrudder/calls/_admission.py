"""Which caller's request goes next when the endpoints of a service are busy.

Each host admits its own requests, going by what endpoints report of their load and by
what it sends itself. So classes are kept apart on each host; between hosts only the
places that a class reserves hold.
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

RECHECK_S = 0.02
"""While requests wait, the load is looked at this often: endpoints report a change of
it with other answers, which wakes nobody here."""

RETRY_AFTER_S = 0.25
"""When to come back after a refusal: a few times a usual answer."""

_log = structlog.get_logger("calls")


class ClassTerms(msgspec.Struct, frozen=True):
    """How the requests of a class are treated.

    Attributes
    ----------
    reserved_above : int
        Places on each endpoint that more urgent classes keep for themselves.
    """

    name: CallerClassName
    priority: int
    queue_limit: int
    queue_timeout_s: float
    reserved_above: int = 0

    @classmethod
    def from_config(
        cls, own: CallerClass, classes: tuple[CallerClass, ...]
    ) -> "ClassTerms":
        """Return the terms of a class among all classes."""
        reserved = sum(
            each.reserved for each in classes if each.priority < own.priority
        )
        return cls(
            own.name, own.priority, own.queue_limit, own.queue_timeout_s, reserved
        )


class Place(msgspec.Struct, frozen=True):
    """Where a request may go; each place is a queue of its own."""

    service: ServiceName
    data_centres: tuple[DataCentreName, ...] = ()


@dataclass(order=True)
class _Waiting:
    priority: int
    sequence: int
    terms: ClassTerms = field(compare=False)
    admitted: "asyncio.Future[None]" = field(compare=False)


class _Queue:
    """The requests for one place."""

    def __init__(self) -> None:
        self.waiting: list[_Waiting] = []
        self.waiting_of: Counter[CallerClassName] = Counter()
        self.admitted = 0


class ClassAdmission:
    """Admits requests by class; tasks that wait are woken in the order of classes."""

    def __init__(self, directory: EndpointDirectory, clock: Clock):
        self._directory = directory
        self._clock = clock
        self._queues: dict[Place, _Queue] = {}
        self._sequence = itertools.count()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    @asynccontextmanager
    async def admitted(
        self, place: Place, terms: ClassTerms, deadline: float
    ) -> AsyncIterator[None]:
        """Hold a place while the block runs, after waiting for one.

        Raises
        ------
        NotRunError
            If too many of the class wait, or it waited for as long as it may.
        """
        queue = self._queues.setdefault(place, _Queue())
        if queue.waiting or not self._has_room(place, queue, terms):
            await self._wait(place, queue, terms, deadline)
        else:
            queue.admitted += 1
        try:
            yield
        finally:
            queue.admitted -= 1
            self._admit(place, queue)

    async def _wait(
        self, place: Place, queue: _Queue, terms: ClassTerms, deadline: float
    ) -> None:
        if queue.waiting_of[terms.name] >= terms.queue_limit:
            raise _refusal(FailureReason.OVERLOADED, f"{terms.queue_limit} wait")
        entry = _Waiting(
            terms.priority,
            next(self._sequence),
            terms,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(queue.waiting, entry)
        queue.waiting_of[terms.name] += 1
        until = min(deadline, self._clock.monotonic() + terms.queue_timeout_s)
        try:
            await self._until_admitted(place, queue, entry, until)
        except BaseException:
            self._leave(queue, entry)
            raise
        finally:
            queue.waiting_of[terms.name] -= 1

    async def _until_admitted(
        self, place: Place, queue: _Queue, entry: _Waiting, until: float
    ) -> None:
        while not entry.admitted.done():
            self._admit(place, queue)
            if self._clock.monotonic() >= until and not entry.admitted.done():
                _log.info(
                    "calls: waited in vain",
                    service=place.service,
                    caller_class=entry.terms.name,
                    waiting=len(queue.waiting),
                )
                raise _refusal(FailureReason.QUEUE_TIMEOUT, "no place in time")
            await asyncio.wait((entry.admitted,), timeout=RECHECK_S)

    def _leave(self, queue: _Queue, entry: _Waiting) -> None:
        if entry.admitted.done():
            queue.admitted -= 1
        elif entry in queue.waiting:
            queue.waiting.remove(entry)
            heapq.heapify(queue.waiting)

    def _admit(self, place: Place, queue: _Queue) -> None:
        while queue.waiting and self._has_room(place, queue, queue.waiting[0].terms):
            entry = heapq.heappop(queue.waiting)
            queue.admitted += 1
            entry.admitted.set_result(None)

    def _has_room(self, place: Place, queue: _Queue, terms: ClassTerms) -> bool:
        endpoints = self._directory.of_service(place.service, place.data_centres)
        if not endpoints:
            return True  # it is refused at once where it would be sent
        now = self._clock.monotonic()
        places = sum(each.endpoint.slots - terms.reserved_above for each in endpoints)
        others = sum(each.other_hosts_load(now) for each in endpoints)
        own = max(queue.admitted, sum(each.in_flight for each in endpoints))
        return own + others < max(places, 1)


def _refusal(reason: FailureReason, detail: str) -> NotRunError:
    return NotRunError(reason, detail, retry_after_s=RETRY_AFTER_S)

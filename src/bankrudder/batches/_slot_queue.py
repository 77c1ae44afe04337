"""Samples that wait for slots, ordered by ranks that may change while they wait."""

import asyncio
import heapq
import itertools
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from bankrudder.fleet import TrackedEndpoint
from bankrudder.routing import ModelName, ServiceName
from bankrudder.scheduling import Rank
from bankrudder.world import DataCentreName, GroupId, ModelVersion, SampleId

MAX_ALONE_WAIT_S = 1.0
"""Longest time for which a suspect waits for an engine that runs no other suspect. In a
series of crashes most samples become suspects, and there are far more of them than
engines; each takes seconds. Together with a refusal after crashes, the time is below
the five seconds for which a sample may be on no engine while there is room."""


@dataclass(frozen=True)
class SlotDemand:
    """What a sample requires of an engine; lower ranks are served first.

    A suspect is a sample under which engines crashed. An engine runs one suspect at a
    time, as a crash could not be attributed to one of several, unless a suspect has
    waited for `MAX_ALONE_WAIT_S` where there was room beside others.
    """

    sample: SampleId
    rank: Rank
    service: ServiceName
    model: ModelName
    min_version: ModelVersion
    group: GroupId
    data_centres: tuple[DataCentreName, ...] = ()
    is_suspect: bool = False

    @property
    def engine_demand(self) -> "EngineDemand":
        """What all samples require that can run on the same engines."""
        return EngineDemand(
            self.service,
            self.model,
            self.min_version,
            self.data_centres,
            self.is_suspect,
        )


class EngineDemand(NamedTuple):
    """What a sample requires of an engine, whichever sample it is."""

    service: ServiceName
    model: ModelName
    min_version: ModelVersion
    data_centres: tuple[DataCentreName, ...]
    is_suspect: bool


@dataclass(order=True)
class SlotRequest:
    """A sample that waits for a slot; ``granted`` resolves to the engine.

    ``blocked_since`` is the monotonic time at which only engines with other suspects
    had free slots for it, None if there was no such time.
    """

    rank: Rank
    sequence: int
    demand: SlotDemand = field(compare=False)
    granted: "asyncio.Future[TrackedEndpoint]" = field(compare=False)
    blocked_since: float | None = field(compare=False, default=None)

    def note_blocked(self, now: float) -> None:
        """Record that only engines with other suspects have free slots for it."""
        if self.blocked_since is None:
            self.blocked_since = now

    def may_share(self, now: float) -> bool:
        """Whether it may run beside a suspect, in spite of being one itself."""
        return (
            self.blocked_since is not None
            and now - self.blocked_since >= MAX_ALONE_WAIT_S
        )


class SlotQueue:
    """The waiting samples, the lowest rank first.

    A sample has the rank of its demand unless `set_ranks` gives it another one. Samples
    that can run on the same engines wait in one heap: if the first one gets no slot,
    none of the others does.
    """

    def __init__(self) -> None:
        self._heaps: dict[EngineDemand, list[SlotRequest]] = {}
        self._by_sample: dict[SampleId, SlotRequest] = {}
        self._sequence = itertools.count()
        self._ranks: Mapping[SampleId, Rank] = {}
        self._count = 0
        self._done_count = 0

    def __len__(self) -> int:
        return self._count

    def add(
        self, demand: SlotDemand, granted: "asyncio.Future[TrackedEndpoint]"
    ) -> SlotRequest:
        """Add a sample that begins to wait."""
        rank = self.rank_of(demand.sample, demand.rank)
        request = SlotRequest(rank, next(self._sequence), demand, granted)
        self._push(request)
        self._by_sample[demand.sample] = request
        return request

    def pop(self, full: Collection[EngineDemand] = frozenset()) -> SlotRequest | None:
        """Remove and return the request with the lowest rank, None if there is none.

        Parameters
        ----------
        full : collection of EngineDemand
            Demands whose requests are left out.
        """
        open_heaps = (heap for each, heap in self._heaps.items() if each not in full)
        heap = min(open_heaps, key=lambda each: each[0], default=None)
        if heap is None:
            return None
        request = heapq.heappop(heap)
        self._count -= 1
        if not heap:
            del self._heaps[request.demand.engine_demand]
        if self._by_sample.get(request.demand.sample) is request:
            del self._by_sample[request.demand.sample]
        return request

    def put_back(self, requests: Iterable[SlotRequest]) -> None:
        """Add requests again that got no slot."""
        for request in requests:
            self._push(request)
            self._by_sample[request.demand.sample] = request

    def waiting_request(self, sample: SampleId) -> SlotRequest | None:
        """Return the request of a sample that waits."""
        return self._by_sample.get(sample)

    def note_done(self) -> None:
        """Record that a waiting request was cancelled or got a slot.

        Such requests are dropped together when they are the majority, as removing a
        single one from its heap takes as long as removing all.
        """
        self._done_count += 1
        if 2 * self._done_count <= self._count:
            return
        waiting = [each for heap in self._heaps.values() for each in heap]
        self._heaps.clear()
        self._by_sample.clear()
        self._count = self._done_count = 0
        self.put_back(each for each in waiting if not each.granted.done())

    def rank_of(self, sample: SampleId, usual_rank: Rank) -> Rank:
        """Return the present rank of a sample."""
        return self._ranks.get(sample, usual_rank)

    def set_ranks(self, ranks: Mapping[SampleId, Rank]) -> None:
        """Replace the ranks of samples; those without one get their demand's."""
        if ranks == self._ranks:
            return
        self._ranks = ranks
        for heap in self._heaps.values():
            for request in heap:
                request.rank = self.rank_of(request.demand.sample, request.demand.rank)
            heapq.heapify(heap)

    def _push(self, request: SlotRequest) -> None:
        heap = self._heaps.setdefault(request.demand.engine_demand, [])
        heapq.heappush(heap, request)
        self._count += 1

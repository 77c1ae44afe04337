"""Samples that wait for slots, ordered by ranks that may change while they wait."""

import asyncio
import heapq
import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bankrudder.fleet import TrackedEndpoint
from bankrudder.routing import ModelName, ServiceName
from bankrudder.scheduling import Rank
from bankrudder.world import DataCentreName, GroupId, ModelVersion, SampleId


@dataclass(frozen=True)
class SlotDemand:
    """What a sample requires of an engine; lower ranks are served first.

    A suspect is a sample under which engines crashed. An engine runs one suspect at a
    time, as a crash could not be attributed to one of several.
    """

    sample: SampleId
    rank: Rank
    service: ServiceName
    model: ModelName
    min_version: ModelVersion
    group: GroupId
    data_centres: tuple[DataCentreName, ...] = ()
    is_suspect: bool = False


@dataclass(order=True)
class SlotRequest:
    """A sample that waits for a slot; ``granted`` resolves to the engine."""

    rank: Rank
    sequence: int
    demand: SlotDemand = field(compare=False)
    granted: "asyncio.Future[TrackedEndpoint]" = field(compare=False)


class SlotQueue:
    """The waiting samples, the lowest rank first.

    A sample has the rank of its demand unless `set_ranks` gives it another one.
    """

    def __init__(self) -> None:
        self._requests: list[SlotRequest] = []
        self._sequence = itertools.count()
        self._ranks: Mapping[SampleId, Rank] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(
        self, demand: SlotDemand, granted: "asyncio.Future[TrackedEndpoint]"
    ) -> SlotRequest:
        """Add a sample that begins to wait."""
        rank = self.rank_of(demand.sample, demand.rank)
        request = SlotRequest(rank, next(self._sequence), demand, granted)
        heapq.heappush(self._requests, request)
        return request

    def pop(self) -> SlotRequest:
        """Remove and return the request with the lowest rank."""
        return heapq.heappop(self._requests)

    def put_back(self, requests: Iterable[SlotRequest]) -> None:
        """Add requests again that got no slot."""
        for request in requests:
            heapq.heappush(self._requests, request)

    def rank_of(self, sample: SampleId, usual_rank: Rank) -> Rank:
        """Return the present rank of a sample."""
        return self._ranks.get(sample, usual_rank)

    def set_ranks(self, ranks: Mapping[SampleId, Rank]) -> None:
        """Replace the ranks of samples; those without one get their demand's."""
        if ranks == self._ranks:
            return
        self._ranks = ranks
        for request in self._requests:
            request.rank = self.rank_of(request.demand.sample, request.demand.rank)
        heapq.heapify(self._requests)

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

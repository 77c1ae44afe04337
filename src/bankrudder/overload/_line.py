"""The line of requests that wait for a slot of a service.

It answers more requests than a service has slots, from workspaces of which one is large
and many are small, with some requests more urgent than others.

The most urgent requests go first. One request in `LESS_URGENT_PERIOD` is taken from the
kind that was passed over most, so that a less urgent kind waits only while more urgent
ones fill nearly all slots, and never for good.

Requests of one priority are taken by start-time fair queueing: each workspace has a
start tag that grows by one with each request taken, and the workspace with the lowest
tag is next. A workspace that returns after a pause starts at the tag of the request
taken last, so that it neither saves up turns nor pays for earlier ones. Of n
workspaces that wait, each gets one of n turns, however many requests the others have.

The requests of one workspace are taken in the order in which they are due while all can
be answered by then, which keeps the longest wait short. Beyond that the one that is due
last goes first, and requests that can no longer be answered when due go after all
others of their priority, the one that is due first before the others. First in, first
out would answer every request just late, and so does the least time left, as it serves
the requests that are closest to missing their time. Plain last in, first out takes
callers that return for new ones.
"""

from bisect import bisect_left, insort
from dataclasses import dataclass, field

from bankrudder.overload._values import WaitingRequest
from bankrudder.world import WorkspaceName

LESS_URGENT_PERIOD = 20
"""Number of requests taken among which one is of a kind that was passed over."""

MAX_IDLE_FLOWS = 256
"""Number of workspaces without waiting requests whose tags are kept."""


@dataclass
class _Flow:
    """Waiting requests of a workspace, in the order in which they are due.

    ``start_tag`` is the tag of the request that is taken next, and ``waits_since`` the
    number of the request with which the workspace began to wait.
    """

    start_tag: int
    waits_since: int = 0
    requests: list[WaitingRequest] = field(default_factory=list)

    def pop(self, useful_due: float | None) -> WaitingRequest:
        if useful_due is None or self.requests[-1].due < useful_due:
            return self.requests.pop(0)
        return self.requests.pop()

    def in_order(self, useful_due: float | None) -> list[WaitingRequest]:
        if useful_due is None:
            return self.requests
        first_useful = bisect_left(self.requests, useful_due, key=lambda each: each.due)
        return self.requests[first_useful:][::-1] + self.requests[:first_useful]


class _Kind:
    """Waiting requests of one priority."""

    def __init__(self) -> None:
        self.count = 0
        self.passed_over = 0
        self._flows: dict[WorkspaceName, _Flow] = {}
        self._virtual_time = 0

    def push(self, request: WaitingRequest) -> None:
        flow = self._flows.get(request.workspace)
        if flow is None:
            flow = self._flows[request.workspace] = _Flow(self._virtual_time)
        if not flow.requests:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            flow.waits_since = request.number
        insort(flow.requests, request, key=_due_key)
        self.count += 1

    def put_back(self, request: WaitingRequest) -> None:
        """Return a taken request, whose turn then does not count."""
        flow = self._flows.get(request.workspace)
        start_tag = None if flow is None else flow.start_tag - 1
        self.push(request)
        if start_tag is not None:
            self._flows[request.workspace].start_tag = start_tag

    def pop(self, useful_due: float | None) -> WaitingRequest:
        waiting = [each for each in self._flows.values() if each.requests]
        if useful_due is not None:
            waiting = [
                each for each in waiting if each.requests[-1].due >= useful_due
            ] or waiting
        flow = min(waiting, key=lambda each: (each.start_tag, each.waits_since))
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += 1
        self.count -= 1
        request = flow.pop(useful_due)
        self._forget_idle_flows()
        return request

    def remove(self, request: WaitingRequest) -> bool:
        flow = self._flows.get(request.workspace)
        if flow is None or request not in flow.requests:
            return False
        flow.requests.remove(request)
        self.count -= 1
        return True

    def in_order(self, useful_due: float | None) -> list[WaitingRequest]:
        """Return the requests in the order in which `pop` takes them."""
        tagged = [
            (
                useful_due is not None and request.due < useful_due,
                flow.start_tag + turn,
                flow.waits_since,
                request,
            )
            for flow in self._flows.values()
            for turn, request in enumerate(flow.in_order(useful_due))
        ]
        tagged.sort(key=lambda each: each[:3])
        return [each[-1] for each in tagged]

    def _forget_idle_flows(self) -> None:
        if len(self._flows) <= MAX_IDLE_FLOWS:
            return
        for name, flow in list(self._flows.items()):
            if not flow.requests and flow.start_tag <= self._virtual_time:
                del self._flows[name]


class WaitingLine:
    """Waiting requests by priority, workspace and arrival."""

    def __init__(self) -> None:
        self._kinds: dict[int, _Kind] = {}

    def __len__(self) -> int:
        return sum(each.count for each in self._kinds.values())

    def push(self, request: WaitingRequest) -> None:
        """Add a request."""
        self._kind(request.priority).push(request)

    def put_back(self, request: WaitingRequest) -> None:
        """Return a taken request that was not run, to its place in line."""
        self._kind(request.priority).put_back(request)

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was in line."""
        return self._kind(request.priority).remove(request)

    def pop(self, useful_due: float | None = None) -> WaitingRequest:
        """Take the next request; the line must not be empty.

        Parameters
        ----------
        useful_due : float or None
            Monotonic time at which an answer can come at the earliest: requests that
            are due before go last, and of the others the one that is due last goes
            first. None takes the request that is due first.
        """
        urgent, *others = self._waiting_kinds()
        kind = max(others, key=lambda each: each.passed_over, default=urgent)
        if kind.passed_over < LESS_URGENT_PERIOD - 1:
            kind = urgent
        for each in others:
            each.passed_over += 1
        kind.passed_over = 0
        return kind.pop(useful_due)

    def in_order(self, useful_due: float | None = None) -> list[WaitingRequest]:
        """Return the requests in the order of `pop`, but for the turns of other kinds.

        The place of a less urgent request is therefore later than its turn, by at most
        one request in `LESS_URGENT_PERIOD`.
        """
        return [
            request
            for kind in self._waiting_kinds()
            for request in kind.in_order(useful_due)
        ]

    def _waiting_kinds(self) -> list[_Kind]:
        return [kind for _, kind in sorted(self._kinds.items()) if kind.count]

    def _kind(self, priority: int) -> _Kind:
        return self._kinds.setdefault(priority, _Kind())


def _due_key(request: WaitingRequest) -> tuple[float, int]:
    return request.due, request.number

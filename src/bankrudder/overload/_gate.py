"""Which requests of a service are sent, wait or are rejected, at one host.

It answers load of many times what a service can process, which arrives at many hosts
that do not see each other's requests.

A request is sent at once while slots are known to be free. Otherwise it waits, and the
line is sent at the pace of `SendPacer`. A request whose answer cannot be expected
before its deadline is rejected, at its arrival and whenever the estimate turns.

The rate at which the line moves is what this host was lately given, or what the slots
that are free or used by this host allow if that is more. Reports that are old or
missing count for nothing, and so make no estimate worse.
"""

import math
import random

from bankrudder.overload._budget import RepeatBudget
from bankrudder.overload._line import WaitingLine
from bankrudder.overload._pacing import SendPacer
from bankrudder.overload._rates import DecayingMean, DecayingRate
from bankrudder.overload._recent_times import RecentTimes
from bankrudder.overload._retry_after import retry_after_s
from bankrudder.overload._values import (
    Decisions,
    Estimate,
    Rejection,
    Room,
    WaitingRequest,
)

CHECK_PERIOD_S = 0.01
"""Time between checks of all requests of a long line, well below the 50 ms within which
a hopeless request is rejected."""

ALWAYS_CHECKED_LENGTH = 8
"""Length up to which a line is checked at each arrival: a check of this many requests
takes little time beside sending one."""

HOPELESS_SHARE = 0.1
"""Share of the answers that are as fast as a request needs if it is hopeless."""

TYPICAL_SHARE = 0.5
"""Share of the answers that are faster than the typical one."""

UNKNOWN_SERVICE_S = 0.0
"""Service time before the first answer: nothing is rejected for what is not known."""

MAX_TIMES_AGE_S = 2.0
"""Time after the last answer from which on earlier service times count for nothing:
endpoints that were slow may be quick again."""

ASSUMED_SERVICE_S = 0.05
"""Service time that is assumed after a refusal if there was no answer yet."""

OVERLOAD_RATIO = 1.25
"""Ratio of requests that arrive to those that are sent from which on the older ones are
not expected to be sent: below it the line may just as well be about to empty."""

MIN_RATE_PER_S = 1.0
"""Lowest rate that is expected: a host that was given nothing for a while still gets
some slots, as each host keeps sending."""

SHORTAGE_S = 1.0
"""Time after a refusal, or after requests waited, for which the service counts as
short of slots."""


class ServiceGate:
    """Decides on the requests of one service."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._line = WaitingLine()
        self._pacer = SendPacer(rng)
        self._times = RecentTimes()
        self._budget = RepeatBudget()
        self._taken = DecayingRate()
        self._own_slots = DecayingMean()
        self._arrivals: dict[int, DecayingRate] = {}
        self._granted_count = 0
        self._checked_at = -math.inf
        self._answered_at = -math.inf
        self._short_until = -math.inf
        self._refused_until = -math.inf
        self._is_behind = False

    @property
    def waiting_count(self) -> int:
        """Number of requests in line."""
        return len(self._line)

    @property
    def budget(self) -> RepeatBudget:
        """The budget for repeats and hedges."""
        return self._budget

    @property
    def next_send_at(self) -> float:
        """Monotonic time from which on a request may be sent without a free slot."""
        return self._pacer.next_at

    def is_short(self, now: float) -> bool:
        """Whether requests wait, waited or were refused a short time ago."""
        return now < self._short_until

    def arrive(self, request: WaitingRequest, now: float) -> None:
        """Add a request to the line; `decide` may grant it at once."""
        if not self._is_late(request, 0.0, now):
            self._arrivals.setdefault(request.priority, DecayingRate()).note(now)
        self._line.push(request)

    def leave(self, request: WaitingRequest) -> None:
        """Remove a request whose caller no longer waits."""
        self._line.remove(request)

    def decide(self, room: Room, now: float) -> Decisions:
        """Return the requests that may be sent now and those that are rejected."""
        # Those that are granted now may be refused at once.
        self._own_slots.note(room.in_flight, now)
        granted: list[WaitingRequest] = []
        rejected: list[Rejection] = []
        while self._line and self._may_send(room, now):
            request = self._line.pop(self._useful_due(now))
            estimate = self.estimate(request, 0.0, now)
            if room.endpoint_count and estimate.is_hopeless:
                rejected.append(self._rejection(request, estimate, room, now))
                continue
            if self._free_slots(room) <= 0:
                self._pacer.note_sent(now)
            granted.append(request)
            self._granted_count += 1
        if self._line and not self.is_short(now):
            # All requests of a burst may have been sent a moment ago.
            self._own_slots.restart(room.in_flight + self._granted_count, now)
        rejected += self._reject_hopeless(room, now)
        if self._line:
            self._short_until = now + SHORTAGE_S
        return Decisions(tuple(granted), tuple(rejected))

    def note_sent(self, is_queued: bool) -> None:
        """Record that a granted request was sent."""
        self._granted_count -= 1
        self._budget.note_first_send(is_queued)

    def note_not_sent(self) -> None:
        """Record that a granted request was not sent after all."""
        self._granted_count -= 1

    def note_answer(self, seconds: float, now: float) -> None:
        """Record an answer and the time that it took."""
        self._times.note(seconds)
        self._answered_at = now
        self._taken.note(now)
        if self.is_short(now):
            self._pacer.note_taken(self._arriving_per_s(now))

    def note_full(self, now: float) -> None:
        """Record that an endpoint refused a request for being full."""
        self._pacer.note_refused()
        self._short_until = self._refused_until = now + SHORTAGE_S

    def put_back(self, request: WaitingRequest) -> None:
        """Return a granted request that an endpoint refused, to its place in line."""
        self._line.put_back(request)

    def estimate(self, request: WaitingRequest, wait_s: float, now: float) -> Estimate:
        """Return the estimate for a request that is sent after a wait."""
        return Estimate(
            wait_s, self._service_s(HOPELESS_SHARE, now), request.deadline - now
        )

    def longest_estimate_s(self, room: Room, now: float) -> float:
        """Return the expected time to an answer of a request that arrives now."""
        wait_s = self._wait_s(len(self._line), self._rate(room, now), room, now)
        return wait_s + self._service_s(TYPICAL_SHARE, now)

    def delay_s(self, room: Room, deadline: float, priority: int, now: float) -> float:
        """Return the time after which a caller that is refused may try again."""
        rate = self._rate(room, now)
        arriving = self._arriving_per_s(now)
        length = len(self._line) + 1
        empty_after_s = length / (rate - arriving) if rate > arriving else math.inf
        return retry_after_s(empty_after_s, deadline - now, priority, self._rng)

    def _may_send(self, room: Room, now: float) -> bool:
        # Without endpoints, requests are refused by whoever finds none.
        return (
            not room.endpoint_count
            or self._free_slots(room) > 0
            or self._pacer.may_send(now)
        )

    def _arriving_per_s(self, now: float) -> float:
        return sum(each.per_s(now) for each in self._arrivals.values())

    def _free_slots(self, room: Room) -> int:
        return room.free_slots - self._granted_count

    def _reject_hopeless(self, room: Room, now: float) -> list[Rejection]:
        is_long = len(self._line) > ALWAYS_CHECKED_LENGTH
        if is_long and now < self._checked_at + CHECK_PERIOD_S:
            return []
        self._checked_at = now
        rate = self._rate(room, now)
        order = self._line.in_order()
        self._is_behind = any(
            self._is_late(each, self._wait_s(place, rate, room, now), now)
            for place, each in enumerate(order)
        )
        if self._is_behind:
            order = self._line.in_order(self._useful_due(now))
        rejected: list[Rejection] = []
        for turn, request in enumerate(order):
            place = turn - len(rejected)
            wait_s = self._wait_s(place, rate, room, now)
            if self._is_behind and self._is_late(request, wait_s, now):
                wait_s = self._late_wait_s(request, wait_s, rate, now)
            estimate = self.estimate(request, wait_s, now)
            if estimate.is_hopeless:
                self._line.remove(request)
                rejected.append(self._rejection(request, estimate, room, now))
        return rejected

    def _rejection(
        self, request: WaitingRequest, estimate: Estimate, room: Room, now: float
    ) -> Rejection:
        delay_s = self.delay_s(room, request.deadline, request.priority, now)
        return Rejection(request, estimate, len(self._line), delay_s)

    def _useful_due(self, now: float) -> float | None:
        """Return when an answer can come, None if each request can be answered then."""
        return now + self._service_s(TYPICAL_SHARE, now) if self._is_behind else None

    def _is_late(self, request: WaitingRequest, wait_s: float, now: float) -> bool:
        """Whether the answer is expected after the request is due."""
        return now + wait_s + self._service_s(TYPICAL_SHARE, now) > request.due

    def _late_wait_s(
        self, request: WaitingRequest, wait_s: float, rate: float, now: float
    ) -> float:
        """Return the wait of a late request, which goes after those that are not.

        Only requests that are not late when they arrive go before it.
        """
        arriving = sum(
            each.per_s(now)
            for priority, each in self._arrivals.items()
            if priority <= request.priority
        )
        return math.inf if arriving > OVERLOAD_RATIO * rate else wait_s

    def _wait_s(self, place: int, rate: float, room: Room, now: float) -> float:
        """Return the time until the request at a place in line is sent."""
        if self._free_slots(room) > place:
            return 0.0
        return max(self._pacer.next_at - now, 0.0) + place / rate

    def _rate(self, room: Room, now: float) -> float:
        """Return the requests per second that this host is expected to be granted."""
        own_slots = self._own_slots.value + max(room.free_slots, 0)
        typical_s = self._service_s(TYPICAL_SHARE, now)
        if not typical_s and now >= self._refused_until:
            return math.inf
        by_slots = own_slots / (typical_s or ASSUMED_SERVICE_S)
        return max(self._taken.per_s(now), by_slots, MIN_RATE_PER_S)

    def _service_s(self, share: float, now: float) -> float:
        """Return a quantile of the service time, `UNKNOWN_SERVICE_S` if it is old.

        If no request could be sent because of old times, they would never change.
        """
        if now > self._answered_at + MAX_TIMES_AGE_S:
            return UNKNOWN_SERVICE_S
        seconds = self._times.quantile_s(share)
        return UNKNOWN_SERVICE_S if seconds is None else seconds

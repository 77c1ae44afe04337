"""The line of a service at this host.

The decisions are those of `ServiceGate`; this module tells it what the directory of
endpoints and the answers show, and wakes the requests that it grants or rejects.
"""

import asyncio
import random

import msgspec

from bankrudder.fleet import (
    Answered,
    EndpointDirectory,
    EndpointId,
    RefusalReason,
    Refused,
    SendOutcome,
    TrackedEndpoint,
)
from bankrudder.overload._gate import SHORTAGE_S, ServiceGate
from bankrudder.overload._values import LineKey, Rejection, Room, WaitingRequest
from bankrudder.world import Clock

WAKE_PERIOD_S = 0.02
"""Longest time between decisions while requests wait, below the 50 ms within which a
hopeless request is rejected."""

MIN_WAKE_S = 0.001
"""Shortest time between decisions that no event calls for."""

MAX_REPORT_AGE_S = 0.05
"""Age up to which a report tells whether slots are free: about the time in which each
request of a plain service is replaced by another."""


class LineState(msgspec.Struct, frozen=True):
    """The state of a line, for metrics."""

    key: LineKey
    waiting: int
    repeat_budget: float
    estimate_s: float


class ServiceLine:
    """A gate and the requests that wait at it."""

    def __init__(
        self,
        key: LineKey,
        directory: EndpointDirectory,
        clock: Clock,
        rng: random.Random,
    ):
        self.key = key
        self.gate = ServiceGate(rng)
        self._directory = directory
        self._clock = clock
        self._waiting: dict[int, asyncio.Future[Rejection | None]] = {}
        self._reported_at: dict[EndpointId, float] = {}
        self._refused_at: dict[EndpointId, float] = {}
        self._wake_up: asyncio.TimerHandle | None = None

    def room(self) -> Room:
        """Return what is known of the slots of the service."""
        now = self._clock.monotonic()
        endpoints = self.endpoints()
        healthy = [each for each in endpoints if not each.is_suspended(now)]
        usable = healthy or endpoints
        return Room(
            len(endpoints),
            sum(max(self._free_slots(each, now), 0) for each in usable),
            sum(each.in_flight for each in endpoints),
        )

    def endpoints(self) -> list[TrackedEndpoint]:
        """Return the endpoints that the requests may use."""
        return self._directory.of_service(self.key.service, self.key.data_centres)

    def _free_slots(self, tracked: TrackedEndpoint, now: float) -> int:
        age_s = now - self._reported_at.get(tracked.endpoint.id, float("-inf"))
        if age_s <= MAX_REPORT_AGE_S:
            return tracked.free_slots(now)
        if now < self._refused_at.get(tracked.endpoint.id, float("-inf")) + SHORTAGE_S:
            return 0
        free_slots = tracked.endpoint.slots - tracked.in_flight
        # While the service is short, one request shows whether an endpoint is full too.
        return int(not tracked.in_flight) if self.gate.is_short(now) else free_slots

    async def wait(self, request: WaitingRequest, is_first: bool) -> Rejection | None:
        """Wait for the decision on a request."""
        future: asyncio.Future[Rejection | None]
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.number] = future
        if is_first:
            self.gate.arrive(request, self._clock.monotonic())
        else:
            self.gate.put_back(request)
        self.decide()
        try:
            return await future
        except asyncio.CancelledError:
            if self._waiting.pop(request.number, None) is not None:
                self.gate.leave(request)
            elif not future.cancelled() and future.result() is None:
                self.gate.note_not_sent()
            raise

    def decide(self) -> None:
        """Wake the requests that may be sent or are rejected."""
        if not self.gate.waiting_count:
            return
        now = self._clock.monotonic()
        decisions = self.gate.decide(self.room(), now)
        for request in decisions.granted:
            self._resolve(request, None)
        for rejection in decisions.rejected:
            self._resolve(rejection.request, rejection)
        self._schedule(now)

    def _resolve(self, request: WaitingRequest, result: Rejection | None) -> None:
        future = self._waiting.pop(request.number)
        if not future.done():
            future.set_result(result)
        elif result is None:
            # The caller gave up in the same iteration of the event loop.
            self.gate.note_not_sent()

    def _schedule(self, now: float) -> None:
        if not self.gate.waiting_count or self._wake_up is not None:
            return
        pause_s = min(max(self.gate.next_send_at - now, MIN_WAKE_S), WAKE_PERIOD_S)
        loop = asyncio.get_running_loop()
        self._wake_up = loop.call_later(pause_s, self._on_wake_up)

    def _on_wake_up(self) -> None:
        self._wake_up = None
        self.decide()

    def note_outcome(
        self, endpoint: EndpointId, outcome: SendOutcome, seconds: float
    ) -> None:
        """Record the outcome of a send and the time that it took."""
        now = self._clock.monotonic()
        match outcome:
            case Answered(load=load):
                if load is not None:
                    self._reported_at[endpoint] = now
                self.gate.note_answer(seconds, now)
            case Refused(reason=RefusalReason.FULL, load=load):
                if load is not None:
                    self._reported_at[endpoint] = now
                else:
                    self._reported_at.pop(endpoint, None)
                self._refused_at[endpoint] = now
                self.gate.note_full(now)
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        for times in (self._reported_at, self._refused_at):
            for endpoint in [
                each for each, at in times.items() if at < now - SHORTAGE_S
            ]:
                del times[endpoint]

    def is_queued(self) -> bool:
        """Whether an endpoint reported waiting requests a short time ago."""
        now = self._clock.monotonic()
        return any(
            each.free_slots(now) < 0 and each.other_hosts_load(now) > 0
            for each in self.endpoints()
        )

    def state(self) -> LineState:
        """Return the state for metrics."""
        now = self._clock.monotonic()
        return LineState(
            self.key,
            self.gate.waiting_count,
            self.gate.budget.tokens,
            self.gate.longest_estimate_s(self.room(), now),
        )

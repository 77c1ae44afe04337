"""Hosts that decide on requests of one service against a shared count of slots."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from bankrudder.overload import FirstSends, Room, ServiceGate, WaitingRequest

SERVICE_S = 0.035
TARGET_S = 0.17
REPORT_AGE_S = 0.05
SHORTAGE_S = 1.0
MAX_REFUSALS = 6
TICK_S = 0.02


@dataclass
class Call:
    """A caller's request, with one retry at another host."""

    at: float
    patience_s: float
    workspace: str = ""
    priority: int = 0
    route: str = "fonts"
    host: int = 0
    attempts_left: int = 2
    refusals: int = 0
    answered_at: float | None = None
    held_s: float = 0.0
    sends: int = 0


@dataclass
class Endpoint:
    """An endpoint with slots and a short queue; ``slowness`` scales its work."""

    slots: int = 6
    queue_limit: int = 3
    slowness: float = 1.0
    running: int = 0
    queue: list = field(default_factory=list)

    def is_full(self):
        return self.running >= self.slots and len(self.queue) >= self.queue_limit

    def load(self):
        return self.running + len(self.queue)


class Host:
    """What one host knows: its gate, requests in flight, and its last reports."""

    def __init__(self, rng, endpoint_count):
        self.gate = ServiceGate(rng)
        self.in_flight = [0] * endpoint_count
        self.others = [(-9.0, 0)] * endpoint_count
        self.full_at = [-9.0] * endpoint_count
        self.refused_at = [-9.0] * endpoint_count
        self.waiting = {}
        self.first_sends = FirstSends()

    def free(self, number, endpoint, now):
        at, others = self.others[number]
        known = others if now - at <= REPORT_AGE_S else 0
        return endpoint.slots - self.in_flight[number] - known

    def room(self, endpoints, now):
        free = sum(
            max(self.usable(number, each, now), 0)
            for number, each in enumerate(endpoints)
        )
        return Room(len(endpoints), free, sum(self.in_flight))

    def usable(self, number, endpoint, now):
        if now - self.others[number][0] <= REPORT_AGE_S:
            return self.free(number, endpoint, now)
        if now - self.refused_at[number] < SHORTAGE_S:
            return 0
        if self.gate.is_short(now):
            return int(not self.in_flight[number])
        return endpoint.slots - self.in_flight[number]


class Loop:
    """Plays calls on hosts; events are ordered by time."""

    def __init__(self, hosts=80, endpoints=3, seed=1, is_limited=True):
        self.rng = random.Random(seed)
        self.endpoints = [Endpoint() for _ in range(endpoints)]
        self.hosts = [Host(self.rng, endpoints) for _ in range(hosts)]
        self.is_limited = is_limited
        self.refused_sends = self.sends = 0
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()

    def at(self, when, action, *args):
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def play(self, calls, until):
        for call in calls:
            self.at(call.at, self._arrive, call)
        if self.is_limited:
            for number in range(len(self.hosts)):
                self.at(self.rng.uniform(0, TICK_S), self._tick, number, until)
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return calls

    def _arrive(self, call):
        call.attempts_left -= 1
        call.refusals = 0
        host = self.hosts[call.host]
        if not self.is_limited:
            self._send(host, call, None)
            return
        number = next(self._numbers)
        deadline = call.at + call.patience_s
        first_sent_at = host.first_sends.first_sent_at(
            call.route, call.workspace, deadline, self.now
        )
        request = WaitingRequest(
            number,
            call.priority,
            call.workspace,
            first_sent_at + TARGET_S,
            deadline,
        )
        host.waiting[number] = (call, self.now)
        host.gate.arrive(request, self.now)
        self._decide(host)

    def _tick(self, number, until):
        host = self.hosts[number]
        self._decide(host)
        pause_s = TICK_S
        if host.gate.waiting_count:
            pause_s = min(max(host.gate.next_send_at - self.now, 0.001), TICK_S)
        self.at(self.now + pause_s, self._tick, number, until)

    def _decide(self, host):
        decisions = host.gate.decide(host.room(self.endpoints, self.now), self.now)
        for each in decisions.rejected:
            call, since = host.waiting.pop(each.request.number)
            call.held_s = max(call.held_s, self.now - since)
            self._refuse(call, each.retry_after_s)
        for request in decisions.granted:
            self._send(host, host.waiting[request.number][0], request)

    def _refuse(self, call, retry_after_s):
        left_s = call.at + call.patience_s - self.now
        if call.attempts_left and left_s > 0:
            call.host = self.rng.randrange(len(self.hosts))
            self.at(
                self.now + min(retry_after_s, left_s / 3) + 0.002, self._arrive, call
            )

    def _send(self, host, call, request):
        chosen = min(
            range(len(self.endpoints)),
            key=lambda n: (
                self.now - host.full_at[n] <= 0.04,
                -host.free(n, self.endpoints[n], self.now) + self.rng.random(),
            ),
        )
        endpoint = self.endpoints[chosen]
        self.sends += 1
        call.sends += 1
        if request is not None:
            host.gate.note_sent(is_queued=False)
        if not endpoint.is_full():
            host.in_flight[chosen] += 1
            self._start(chosen, (host, call, request, self.now))
            return
        self.refused_sends += 1
        call.refusals += 1
        host.full_at[chosen] = host.refused_at[chosen] = self.now
        host.others[chosen] = (self.now, endpoint.load() - host.in_flight[chosen])
        if request is None:  # without overload control: up to six, 40 ms apart
            if call.refusals < MAX_REFUSALS and call.at + call.patience_s > self.now:
                tried_all = call.refusals >= len(self.endpoints)
                self.at(
                    self.now + (0.042 if tried_all else 0.002),
                    self._send,
                    host,
                    call,
                    None,
                )
            else:
                self._refuse(call, 0.25)
            return
        host.gate.note_full(self.now)
        if call.refusals >= MAX_REFUSALS:
            host.waiting.pop(request.number)
            delay_s = host.gate.delay_s(
                host.room(self.endpoints, self.now),
                request.deadline,
                request.priority,
                self.now,
            )
            self._refuse(call, delay_s)
        else:
            host.gate.put_back(request)

    def _start(self, chosen, sent):
        endpoint = self.endpoints[chosen]
        if endpoint.running >= endpoint.slots:
            endpoint.queue.append(sent)
            return
        endpoint.running += 1
        work_s = SERVICE_S * endpoint.slowness * self.rng.lognormvariate(-0.045, 0.3)
        self.at(self.now + work_s, self._finish, chosen, sent)

    def _finish(self, chosen, sent):
        endpoint = self.endpoints[chosen]
        host, call, request, sent_at = sent
        endpoint.running -= 1
        while endpoint.queue:
            queued = endpoint.queue.pop(0)
            if queued[1].at + queued[1].patience_s > self.now:
                self._start(chosen, queued)
                break
            queued[0].in_flight[chosen] -= 1
        host.in_flight[chosen] -= 1
        call.answered_at = self.now
        host.full_at[chosen] = -9.0
        host.others[chosen] = (self.now, endpoint.load() - host.in_flight[chosen])
        if request is not None:
            host.waiting.pop(request.number, None)
            host.gate.note_answer(self.now - sent_at, self.now)
            self._decide(host)

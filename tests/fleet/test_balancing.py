"""Many hosts with the same late report share work out by speed.

Work is counted as the time for which an endpoint's slots are taken by it without
momentary slowness: the sum of the lasting durations of its requests, over its slots.
"""

import heapq
import random
from collections import deque
from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.fleet import Endpoint, EndpointDirectory, ReportedLoad
from bankrudder.fleet._balancing import (
    SERVICE_WEIGHT,
    Contender,
    choose_contender,
    estimated_duration_s,
    relative_cost,
)

HOSTS = 86
ENDPOINTS = 24
SLOTS = 6
SPEEDS = (0.6, 1.0, 1.6)
KEEP_ALIVE_S = 9.0
REPORT_AGE_S = 0.2
SPELL_S = 0.6


def contender(**changes):
    known = {
        "slots": SLOTS,
        "load": 0,
        "duration_s": 0.03,
        "bin_count": 16,
        "slowdown": 1.0,
        "is_local": True,
        "is_connected": True,
    }
    return Contender(**(known | changes))


class Site:
    """Hosts that choose, and endpoints that process and queue what they get."""

    def __init__(self, clock, seed, work_s, share_of_capacity):
        self.clock, self.rng, self.work_s = clock, random.Random(seed), work_s
        self.speeds = [SPEEDS[number % 3] for number in range(ENDPOINTS)]
        noisy_s = [work_s * speed * (1 + 0.15 * 1.5) for speed in self.speeds]
        self.rate = share_of_capacity * sum(SLOTS / each for each in noisy_s)
        self.hosts = [
            EndpointDirectory("north", clock, random.Random(f"{seed}/{host}"))
            for host in range(HOSTS)
        ]
        for host in self.hosts:
            for number in range(ENDPOINTS):
                host.put(Endpoint(f"e{number}", "s", f"a:{number}", "north", SLOTS))
        self.running = [0] * ENDPOINTS
        self.queues = [deque() for _ in range(ENDPOINTS)]
        self.slowdowns = [1.0] * ENDPOINTS
        self.work = [0.0] * ENDPOINTS
        self.reports = None
        self.opened = 0
        self.events, self.sequence = [], count()

    def at(self, seconds, action, *arguments):
        due = self.clock.monotonic() + seconds
        heapq.heappush(self.events, (due, next(self.sequence), action, arguments))

    def run(self, seconds):
        for number in range(ENDPOINTS):
            self.at(self.rng.uniform(0, SPELL_S), self.draw_spell, number)
        self.at(0.0, self.report)
        self.at(0.0, self.arrive)
        while self.events[0][0] < seconds:
            due, _, action, arguments = heapq.heappop(self.events)
            self.clock.advance(due - self.clock.monotonic())
            action(*arguments)

    def draw_spell(self, number):
        self.slowdowns[number] = 2.5 if self.rng.random() < 0.15 else 1.0
        self.at(SPELL_S, self.draw_spell, number)

    def load_of(self, number):
        queued = len(self.queues[number])
        return ReportedLoad(self.running[number], queued, SLOTS, self.slowdowns[number])

    def report(self):
        """Deliver the report of `REPORT_AGE_S` ago to all hosts, and make the next."""
        for host in self.hosts if self.reports else ():
            for number, load in enumerate(self.reports):
                host.get(f"e{number}").note_load(load, self.clock.monotonic())
        self.reports = [self.load_of(number) for number in range(ENDPOINTS)]
        self.at(REPORT_AGE_S, self.report)

    def arrive(self):
        self.at(self.rng.expovariate(self.rate), self.arrive)
        target = self.rng.choice(self.hosts).choose("s")
        number = int(target.endpoint.id[1:])
        self.opened += not target.is_connected(self.clock.monotonic())
        seconds = self.work_s * self.rng.lognormvariate(-0.125, 0.5)
        self.work[number] += seconds * self.speeds[number] / SLOTS
        request = (number, target, target.occupy(), self.clock.monotonic(), seconds)
        if self.running[number] < SLOTS:
            self.start(request)
        else:
            self.queues[number].append(request)

    def start(self, request):
        number, *_, seconds = request
        self.running[number] += 1
        duration_s = seconds * self.speeds[number] * self.slowdowns[number]
        self.at(duration_s, self.finish, request)

    def finish(self, request):
        number, target, release, sent_at, _ = request
        now = self.clock.monotonic()
        self.running[number] -= 1
        target.note_load(self.load_of(number), now)
        target.note_answer(now - sent_at, now)
        target.note_connection(KEEP_ALIVE_S, now)
        release()
        if self.queues[number]:
            self.start(self.queues[number].popleft())

    @property
    def busiest_over_mean(self):
        return max(self.work) * ENDPOINTS / sum(self.work)


def test_work_is_shared_out_by_speed_on_late_reports(manual_clock):
    """Requests of 0.2 s need 70 % of what the endpoints can process.

    A slow endpoint gets 1,300 requests, whose unlike work alone makes the busiest one
    differ from the mean by several percent.
    """
    site = Site(manual_clock, 1, work_s=0.2, share_of_capacity=0.7)
    site.run(seconds=120.0)
    assert site.busiest_over_mean < 1.15


def test_hosts_with_few_requests_open_few_connections(manual_clock):
    """The load in the docstring of `_choice`: requests of 0.2 s, one per second."""
    hosts = [
        EndpointDirectory("north", manual_clock, random.Random(seed))
        for seed in range(100)
    ]
    rng, opened = random.Random(1), 0
    for host in hosts:
        for number in range(14):
            host.put(Endpoint(f"e{number}", "s", f"a:{number}", "north", SLOTS))
    for _ in range(20):
        for host in hosts:
            target, now = host.choose("s"), manual_clock.monotonic()
            opened += not target.is_connected(now)
            target.take_connection()
            slowdown = 2.5 if rng.random() < 0.15 else 1.0
            target.note_load(ReportedLoad(0, 0, SLOTS, slowdown), now)
            target.note_answer(0.2 * slowdown * rng.lognormvariate(0, 0.5), now)
            target.note_connection(KEEP_ALIVE_S, now)
        manual_clock.advance(1.0)
    assert opened == len(hosts)


def test_without_connections_the_own_data_centre_is_preferred():
    rng = random.Random(1)
    near = contender(is_connected=False)
    far = contender(is_connected=False, is_local=False)
    chosen = [choose_contender([far, far, near, far], rng) for _ in range(200)]
    assert set(chosen) == {2}


def test_momentarily_slow_endpoint_is_mostly_avoided():
    rng = random.Random(1)
    slow = contender(slowdown=2.5)
    usual = contender()
    chosen = [choose_contender([slow, usual, usual, usual], rng) for _ in range(1000)]
    assert chosen.count(0) < 0.1 * len(chosen)


def test_a_full_endpoint_gives_way_to_a_new_connection():
    full = contender(load=2 * SLOTS)
    idle = contender(is_connected=False)
    chosen = [choose_contender([full, idle], random.Random(n)) for n in range(100)]
    # Only the draw from all endpoints, of equal speed, finds the idle one.
    assert 0.35 * len(chosen) < chosen.count(1) < 0.65 * len(chosen)
    assert relative_cost(idle, 0.03, 0.03) < relative_cost(full, 0.03, 0.03)


def test_an_endpoint_that_takes_far_longer_gives_way_to_a_new_connection():
    """An endpoint that turns slow without reporting it would keep its few hosts."""
    slow = contender(duration_s=0.12)
    unknown = contender(is_connected=False, bin_count=0, duration_s=None)
    others = [contender(is_connected=False), unknown, unknown]
    chosen = [choose_contender([slow, *others], random.Random(n)) for n in range(200)]
    assert chosen.count(0) < 0.15 * len(chosen)
    mild = contender(duration_s=0.05)
    chosen = [
        choose_contender([mild, contender(is_connected=False)], random.Random(n))
        for n in range(200)
    ]
    assert chosen.count(0) == len(chosen)


def test_few_observations_weigh_as_much_as_the_service():
    slow = contender(duration_s=0.12, bin_count=int(SERVICE_WEIGHT))
    assert estimated_duration_s(slow, 0.03) == pytest.approx(0.06)
    assert estimated_duration_s(contender(duration_s=None, bin_count=0), 0.03) == 0.03


def test_requests_sent_since_the_report_count_as_load(manual_clock):
    host = EndpointDirectory("north", manual_clock)
    host.put(Endpoint("e", "s", "a:1", "north", SLOTS))
    tracked = host.get("e")
    tracked.occupy()
    tracked.note_load(ReportedLoad(5, 0, SLOTS, 1.0), manual_clock.monotonic())
    tracked.occupy()
    assert tracked.load(manual_clock.monotonic()) == 6


positive = st.floats(1e-4, 1e4)
contenders = st.builds(
    Contender,
    slots=st.integers(1, 64),
    load=st.integers(0, 1000),
    duration_s=st.none() | positive,
    bin_count=st.integers(0, 16),
    slowdown=st.floats(0.01, 100),
    is_local=st.booleans(),
    is_connected=st.booleans(),
)


@given(st.lists(contenders, min_size=1, max_size=12), st.randoms())
def test_any_contenders_give_a_choice_among_them(given_contenders, rng):
    assert 0 <= choose_contender(given_contenders, rng) < len(given_contenders)


@given(contenders, positive)
def test_estimate_lies_between_the_endpoints_and_the_services(each, usual_s):
    own_s = usual_s if each.duration_s is None else each.duration_s
    estimate_s = estimated_duration_s(each, usual_s)
    assert min(own_s, usual_s) * (1 - 1e-9) <= estimate_s
    assert estimate_s <= max(own_s, usual_s) * (1 + 1e-9)

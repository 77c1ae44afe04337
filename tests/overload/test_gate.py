"""Which requests are granted, wait or are rejected, at one host."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.overload import (
    LESS_URGENT_PERIOD,
    MAX_LEFT_SHARE,
    FirstSends,
    RepeatBudget,
    Room,
    ServiceGate,
    WaitingLine,
    WaitingRequest,
    retry_after_s,
)

FULL = Room(endpoint_count=2, free_slots=0, in_flight=2)
SERVICE_S = 0.03
SHARES = st.floats(0.0, 1.0)


def request(number, workspace="w", priority=0, due=0.15, deadline=1.0):
    return WaitingRequest(number, priority, workspace, due, deadline)


@pytest.fixture
def gate():
    """A gate that knows the service time and was refused just now."""
    gate = ServiceGate(random.Random(1))
    for _ in range(10):
        gate.note_answer(SERVICE_S, 0.0)
    return gate


def test_requests_are_sent_at_once_while_slots_are_free(gate):
    for number in range(3):
        gate.arrive(request(number), 0.0)
    decisions = gate.decide(Room(1, 3, 0), 0.0)
    assert len(decisions.granted) == 3
    assert gate.waiting_count == 0


def test_a_request_without_the_time_for_an_answer_is_rejected_at_arrival(gate):
    gate.arrive(request(1, deadline=SERVICE_S / 2), 0.0)
    (rejection,) = gate.decide(FULL, 0.0).rejected
    assert rejection.estimate.is_hopeless
    assert 0 < rejection.retry_after_s <= max(SERVICE_S / 6, 0.02)


def test_a_waiting_request_is_rejected_when_the_estimate_turns(gate):
    gate.arrive(request(0), 0.0)
    gate.arrive(request(1), 0.0)
    assert not gate.decide(FULL, 0.0).rejected
    rejected_at = None
    now = 0.0
    while rejected_at is None and now < 1.0:
        now += 0.02
        gate.note_full(now)
        for each in gate.decide(FULL, now).granted:
            gate.note_sent(is_queued=True)
            gate.put_back(each)
        if gate.waiting_count < 2:
            rejected_at = now
    assert rejected_at is not None
    assert rejected_at <= 1.0 - SERVICE_S * 0.9 + 0.02


def test_old_or_missing_reports_reject_nothing():
    gate = ServiceGate(random.Random(1))
    for number in range(200):
        gate.arrive(request(number), 0.0)
    assert not gate.decide(Room(2, 0, 0), 0.0).rejected


def test_a_service_that_was_slow_is_tried_again(gate):
    for _ in range(200):
        gate.note_answer(2.0, 0.0)
    gate.arrive(request(1), 0.0)
    assert len(gate.decide(FULL, 0.0).rejected) == 1
    gate.arrive(request(2, due=3.2, deadline=4.0), 3.0)
    assert len(gate.decide(FULL, 3.0).granted) == 1


def test_without_endpoints_no_request_waits(gate):
    gate.arrive(request(1), 0.0)
    assert len(gate.decide(Room(0, 0, 0), 0.0).granted) == 1


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.05), st.floats(0.05, 1.5), st.integers(0, 2), st.booleans()
        ),
        min_size=1,
        max_size=80,
    )
)
def test_no_request_waits_past_hopelessness(arrivals):
    gate = ServiceGate(random.Random(1))
    for _ in range(10):
        gate.note_answer(SERVICE_S, 0.0)
    now, waiting = 0.0, {}
    for number, (pause_s, patience_s, priority, is_refused) in enumerate(arrivals):
        now += pause_s
        each = request(number, f"w{number % 5}", priority, now + 0.15, now + patience_s)
        waiting[number] = each
        gate.arrive(each, now)
        decisions = gate.decide(FULL, now)
        for granted in decisions.granted:
            gate.note_sent(is_queued=False)
            if is_refused:
                gate.note_full(now)
                gate.put_back(granted)
            else:
                del waiting[granted.number]
        for rejection in decisions.rejected:
            del waiting[rejection.request.number]
        gate.decide(FULL, now + 0.02)
    end = now + 2.0
    settled = gate.decide(FULL, end)
    ended = {each.request.number for each in settled.rejected}
    assert gate.waiting_count == 0
    assert not settled.granted
    assert ended <= set(waiting)


@given(
    st.lists(st.tuples(st.integers(0, 4), st.booleans()), min_size=60, max_size=120),
    st.one_of(st.none(), st.floats(0.0, 2.0)),
)
def test_each_workspace_that_waits_has_its_turn(pushes, useful_due):
    line = WaitingLine()
    for number, (workspace, is_late) in enumerate(pushes):
        due = 1.0 if is_late else 3.0
        line.push(request(number, f"w{workspace}", due=due))
    in_order = line.in_order(useful_due)
    popped = [line.pop(useful_due) for _ in range(len(pushes))]
    assert popped == in_order
    useful = [
        each.workspace
        for each in popped
        if useful_due is None or each.due >= useful_due
    ]
    waiting = {name: useful.count(name) for name in set(useful)}
    turns = min(waiting.values(), default=0)
    # While all wait, no workspace is more than one turn ahead of another.
    first = useful[: turns * len(waiting)]
    assert {first.count(name) for name in waiting} <= {turns}


@given(st.integers(1, 3), st.integers(1, 200))
def test_a_less_urgent_kind_is_not_passed_over_for_ever(kinds, urgent_count):
    line = WaitingLine()
    for kind in range(1, kinds + 1):
        line.push(request(kind, priority=kind))
    taken = []
    for number in range(100, 100 + urgent_count):
        line.push(request(number, priority=0))
        taken.append(line.pop().priority)
    bound = LESS_URGENT_PERIOD + kinds
    if urgent_count >= bound:
        assert set(taken[:bound]) == set(range(kinds + 1))
    assert taken[: LESS_URGENT_PERIOD - 1] == [0] * min(
        urgent_count, LESS_URGENT_PERIOD - 1
    )


@given(st.lists(st.sampled_from(("first", "queued", "repeat", "short")), max_size=400))
def test_the_budget_for_repeats_is_never_exceeded(events):
    budget = RepeatBudget()
    first_sends = repeats = 0
    for event in events:
        match event:
            case "first" | "queued":
                first_sends += 1
                budget.note_first_send(is_queued=event == "queued")
            case _:
                if budget.allows(is_short=event == "short"):
                    assert event == "repeat"
                    repeats += 1
                    budget.spend()
    assert repeats <= 5 + 0.1 * first_sends + 1e-6


@given(SHARES, st.integers(0, 9), st.floats(0.1, 10.0))
def test_refused_callers_return_within_what_they_wait_for(share, priority, left_s):
    rng = random.Random(share)
    delays = [retry_after_s(math.inf, left_s, priority, rng) for _ in range(20)]
    assert max(delays) <= max(MAX_LEFT_SHARE * left_s, 0.02)
    assert len(set(delays)) > 10
    urgent = [retry_after_s(math.inf, left_s, 0, rng) for _ in range(20)]
    lowest = [retry_after_s(math.inf, left_s, 9, rng) for _ in range(20)]
    assert sum(urgent) < sum(lowest)


def test_a_caller_that_returns_with_less_time_is_told_by_its_deadline():
    sends = FirstSends()
    for number in range(10):
        assert sends.first_sent_at("r", "w", number + 1.5, float(number)) == number
    first_sent_at = sends.first_sent_at("r", "w", 21.0, 20.0)
    assert first_sent_at == pytest.approx(19.5, abs=0.1)


def test_a_workspace_whose_callers_wait_less_than_others_is_taken_for_new():
    sends = FirstSends()
    for number in range(30):
        sends.first_sent_at("r", "patient", number + 1.5, float(number))
    for number in range(8):
        sends.first_sent_at("r", "hasty", 50.0 + number + 0.5, 50.0 + number)
    assert sends.first_sent_at("r", "hasty", 60.5, 60.0) == 60.0

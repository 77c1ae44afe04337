"""What an answer tells of its endpoint, and of the latency that delays hedges."""

import pytest

from bankrudder.fleet import Answered, Endpoint, EndpointDirectory, ReportedLoad
from bankrudder.relay._outcomes import note_outcome


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    directory.put(Endpoint("e", "s", "a:1", "north", 6))
    return directory


def note_answer(directory, clock, latency_s, load, status=200):
    clock.advance(latency_s)
    now = clock.monotonic()
    answer = Answered(status, (), b"", load)
    note_outcome(directory.get("e"), answer, now - latency_s, now)


def test_momentary_slowness_does_not_delay_hedges(directory, manual_clock):
    """All answers of a spell are slow, so that a hanging one is noticed late."""
    for _ in range(10):
        note_answer(directory, manual_clock, 0.05, ReportedLoad(1, 0, 6, 1.0))
    for _ in range(4):
        note_answer(directory, manual_clock, 0.125, ReportedLoad(1, 0, 6, 2.5))
    assert directory.mean_latency_s("s") == pytest.approx(0.05)


def test_a_reported_queue_delays_hedges(directory, manual_clock):
    """Hedges would add to the work of endpoints that are late because of it."""
    for _ in range(10):
        note_answer(directory, manual_clock, 0.1, ReportedLoad(6, 6, 6, 1.0))
    assert directory.mean_latency_s("s") == pytest.approx(0.1)
    manual_clock.advance(2.0)
    assert directory.mean_latency_s("s") == pytest.approx(0.05)


def test_without_slowdown_the_mean_latency_is_the_moving_average(
    directory, manual_clock
):
    for latency_s in (0.05, 0.1):
        note_answer(directory, manual_clock, latency_s, ReportedLoad(1, 0, 6))
    assert directory.mean_latency_s("s") == pytest.approx(0.06)


def test_early_errors_do_not_make_an_endpoint_look_fast(directory, manual_clock):
    """An endpoint that fails part of its requests would get more of them."""
    load = ReportedLoad(1, 0, 6, 1.0)
    note_answer(directory, manual_clock, 0.05, load)
    for _ in range(10):
        note_answer(directory, manual_clock, 0.001, load, status=500)
    assert directory.get("e").lasting_latency_s == pytest.approx(0.05)


def test_an_answer_without_duration_gives_a_choice_all_the_same(
    directory, manual_clock
):
    directory.put(Endpoint("e2", "s", "a:2", "north", 6))
    note_answer(directory, manual_clock, 0.0, ReportedLoad(1, 0, 6, 1.0))
    assert directory.choose("s") is not None

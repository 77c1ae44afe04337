"""The delay of a hedge follows the route's target and the service's mean latency."""

import math
import random
from datetime import timedelta

import pytest

from bankrudder.relay._hedging import MIN_HEDGE_DELAY, hedge_delay

TARGET = timedelta(seconds=0.8)
SPREAD = 0.5


def answers_s(mean_s, count=4000):
    """Return latencies that are spread by a factor of 1.6 around the mean."""
    rng = random.Random(1)
    mu = math.log(mean_s) - SPREAD**2 / 2
    return [rng.lognormvariate(mu, SPREAD) for _ in range(count)]


def sent_twice(mean_s, target):
    after = hedge_delay(target, timedelta(seconds=mean_s))
    times = answers_s(mean_s)
    return sum(each > after.total_seconds() for each in times) / len(times)


def test_few_requests_with_ordinary_latency_are_hedged():
    # Half of the target alone, without the mean latency, sends 5 % twice.
    by_target = sum(each > 0.4 for each in answers_s(0.2)) / 4000
    assert by_target > 0.04
    assert sent_twice(0.2, TARGET) < 0.015


@pytest.mark.parametrize("factor", [0.25, 1, 4])
def test_hedge_delay_is_a_multiple_of_the_mean_latency(factor):
    target = 20 * timedelta(seconds=factor * 0.1)
    mean_latency = timedelta(seconds=factor * 0.4)
    assert hedge_delay(target, mean_latency) == 3 * mean_latency


def test_hedge_delay_is_at_least_half_of_the_target():
    target = timedelta(seconds=0.15)
    assert hedge_delay(target, timedelta(seconds=0.02)) == target / 2


def test_hedge_delay_is_bounded_by_the_target():
    assert hedge_delay(TARGET, timedelta(seconds=5)) == 0.9 * TARGET


def test_hedge_delay_without_mean_latency_follows_the_target():
    assert hedge_delay(TARGET, None) == TARGET / 2
    assert hedge_delay(timedelta(0), None) == MIN_HEDGE_DELAY

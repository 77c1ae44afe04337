"""A second endpoint is asked when the first one is late, by what is usual."""

import math
import random
from datetime import timedelta

import pytest

from bankrudder.relay._hedging import LEAST, hedge_after

TARGET = timedelta(seconds=0.8)
SPREAD = 0.5


def answers_s(usual_s, count=4000):
    """Return times of answers, spread by a factor of 1.6 around the usual time."""
    rng = random.Random(1)
    mu = math.log(usual_s) - SPREAD**2 / 2
    return [rng.lognormvariate(mu, SPREAD) for _ in range(count)]


def sent_twice(usual_s, target):
    after = hedge_after(target, timedelta(seconds=usual_s))
    times = answers_s(usual_s)
    return sum(each > after.total_seconds() for each in times) / len(times)


def test_long_answers_are_not_sent_twice_as_a_rule():
    # Half of the target alone, which knows nothing of what is usual, sends 5 % twice.
    by_target = sum(each > 0.4 for each in answers_s(0.2)) / 4000
    assert by_target > 0.04
    assert sent_twice(0.2, TARGET) < 0.015


@pytest.mark.parametrize("factor", [0.25, 1, 4])
def test_the_bound_follows_what_is_usual(factor):
    target = 20 * timedelta(seconds=factor * 0.1)
    usual = timedelta(seconds=factor * 0.4)
    assert hedge_after(target, usual) == 3 * usual


def test_quick_answers_are_waited_for_as_the_target_allows():
    target = timedelta(seconds=0.15)
    assert hedge_after(target, timedelta(seconds=0.02)) == target / 2


def test_there_is_a_bound_where_other_requests_take_longer():
    assert hedge_after(TARGET, timedelta(seconds=5)) == 0.9 * TARGET


def test_before_any_answer_the_target_decides():
    assert hedge_after(TARGET, None) == TARGET / 2
    assert hedge_after(timedelta(0), None) == LEAST

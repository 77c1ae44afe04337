"""Samples go to quick engines, and among these over connections that are there."""

import random

import pytest

from bankrudder.scheduling import EngineView, placement_order

SLOTS = 8


def view(
    *,
    pace=1.0,
    taken=0,
    is_home=False,
    is_connected=False,
    is_trusted=True,
    has_suspects=False,
):
    return EngineView(
        pace=pace,
        occupied=taken / SLOTS,
        is_home=is_home,
        is_connected=is_connected,
        is_trusted=is_trusted,
        has_suspects=has_suspects,
    )


def chosen(engines, idle, taken):
    """Return the engine for the next sample, of engines with a free slot."""
    free = [each for each in engines if taken[each] < SLOTS]
    return min(
        free,
        key=lambda each: placement_order(
            view(taken=taken[each], is_connected=idle[each] > 0)
        ),
    )


@pytest.mark.parametrize("samples", [24, 96, 384])
@pytest.mark.parametrize("engine_count", [100, 400])
def test_later_steps_use_the_connections_of_the_first(samples, engine_count):
    """The engines are several times as many as a step fills."""
    engines = range(engine_count)
    shuffled = random.Random(7)
    idle = dict.fromkeys(engines, 0)
    opened = []
    for _ in range(4):
        taken = dict.fromkeys(engines, 0)
        opened.append(0)
        for _ in range(samples):
            order = shuffled.sample(engines, engine_count)
            engine = chosen(order, idle, taken)
            opened[-1] += idle[engine] == 0
            idle[engine] -= idle[engine] > 0
            taken[engine] += 1
        for engine, count in taken.items():
            idle[engine] += count
    assert opened == [samples, 0, 0, 0]


def test_a_connection_is_no_reason_to_crowd_an_engine():
    crowded = view(taken=5, is_connected=True)
    assert placement_order(view(taken=0)) < placement_order(crowded)
    roomy = view(taken=3, is_connected=True)
    assert placement_order(roomy) < placement_order(view(taken=0))


def test_a_connection_is_no_reason_to_take_a_slow_engine():
    slow = view(pace=1.3, is_connected=True)
    assert placement_order(view()) < placement_order(slow)


@pytest.mark.parametrize("pace", [0.8, 1.0, 4.0])
def test_an_engine_that_read_the_prompt_goes_first_among_the_quick(pace):
    home = view(pace=pace, is_home=True)
    assert placement_order(home) < placement_order(view(pace=pace))


@pytest.mark.parametrize("doubt", [{"is_trusted": False}, {"has_suspects": True}])
def test_an_engine_in_doubt_comes_last(doubt):
    doubtful = view(is_home=True, is_connected=True, **doubt)
    assert placement_order(view(pace=4.0, taken=7)) < placement_order(doubtful)

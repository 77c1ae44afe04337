"""Samples go to fast engines, and among these to engines with idle connections."""

import random

import pytest

from bankrudder.scheduling import EngineView, placement_order

SLOTS = 8


def view(
    *,
    pace=1.0,
    taken=0,
    has_cached_prompt=False,
    is_connected=False,
    is_trusted=True,
    is_suspect=False,
):
    return EngineView(
        pace=pace,
        occupied_share=taken / SLOTS,
        has_cached_prompt=has_cached_prompt,
        is_connected=is_connected,
        is_trusted=is_trusted,
        runs_suspect_sample=is_suspect,
    )


def chosen(engines, idle, taken):
    """Return the engine for the next sample, among engines with a free slot."""
    free = [each for each in engines if taken[each] < SLOTS]
    return min(
        free,
        key=lambda each: placement_order(
            view(taken=taken[each], is_connected=idle[each] > 0)
        ),
    )


@pytest.mark.parametrize("samples", [24, 96, 384])
@pytest.mark.parametrize("engine_count", [100, 400])
def test_later_steps_reuse_the_connections_of_the_first(samples, engine_count):
    """There are several times as many engines as a step fills."""
    engines = range(engine_count)
    shuffled = random.Random(7)
    idle = dict.fromkeys(engines, 0)
    opened_counts = []
    for _ in range(4):
        taken = dict.fromkeys(engines, 0)
        opened_counts.append(0)
        for _ in range(samples):
            order = shuffled.sample(engines, engine_count)
            engine = chosen(order, idle, taken)
            opened_counts[-1] += idle[engine] == 0
            idle[engine] -= idle[engine] > 0
            taken[engine] += 1
        for engine, count in taken.items():
            idle[engine] += count
    assert opened_counts == [samples, 0, 0, 0]


def test_an_idle_connection_outweighs_less_than_half_of_the_slots():
    crowded = view(taken=5, is_connected=True)
    assert placement_order(view(taken=0)) < placement_order(crowded)
    roomy = view(taken=3, is_connected=True)
    assert placement_order(roomy) < placement_order(view(taken=0))


def test_an_idle_connection_does_not_outweigh_a_slow_engine():
    slow = view(pace=1.3, is_connected=True)
    assert placement_order(view()) < placement_order(slow)


@pytest.mark.parametrize("pace", [0.8, 1.0, 4.0])
def test_an_engine_with_the_cached_prompt_goes_first_among_equals(pace):
    cached = view(pace=pace, has_cached_prompt=True)
    assert placement_order(cached) < placement_order(view(pace=pace))


@pytest.mark.parametrize("flag", [{"is_trusted": False}, {"is_suspect": True}])
def test_an_untrusted_or_suspect_engine_comes_last(flag):
    suspect = view(has_cached_prompt=True, is_connected=True, **flag)
    assert placement_order(view(pace=4.0, taken=7)) < placement_order(suspect)

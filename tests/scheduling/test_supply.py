"""How many engines are ordered, and where: several trainers ask at the same moment."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.scheduling import (
    HeldNeed,
    PlacePrice,
    engines_needed,
    spread_engines,
)

FOUR_TRAINERS = {"m0": 96, "m1": 80, "m2": 96, "m3": 80}
PLACES = {
    "a": PlacePrice(1, 11, 1.0),
    "b": PlacePrice(1, 11, 0.8),
    "c": PlacePrice(1, 11, 1.25),
    "d": PlacePrice(1, 11, 0.9),
}


def test_all_samples_that_four_trainers_ask_at_once_have_places():
    assert engines_needed(FOUR_TRAINERS, 8) == 12 + 10 + 12 + 10 + 2


@pytest.mark.parametrize("factor", [0.25, 1, 4])
def test_the_need_follows_the_samples_and_the_slots(factor):
    usual = engines_needed(FOUR_TRAINERS, 8) - 2
    samples = {model: int(count * factor) for model, count in FOUR_TRAINERS.items()}
    assert engines_needed(samples, 8) - 2 == pytest.approx(usual * factor, abs=2)
    assert engines_needed(FOUR_TRAINERS, int(8 * factor)) - 2 == pytest.approx(
        usual / factor, abs=2
    )


@pytest.mark.parametrize("samples", [{}, {"m0": 0}])
def test_without_any_work_nothing_is_known_of_the_need(samples):
    assert engines_needed(samples, 8) == 0


def test_engines_are_spread_over_the_data_centres():
    counts = spread_engines(22, PLACES)
    assert sorted(counts.values()) == [5, 5, 6, 6]
    assert counts["b"] == counts["d"] == 6


def test_no_data_centre_gets_more_than_it_may():
    assert spread_engines(100, PLACES) == dict.fromkeys(PLACES, 11)


def test_no_data_centre_gets_less_than_it_must():
    assert spread_engines(0, PLACES) == dict.fromkeys(PLACES, 1)


def test_what_one_data_centre_cannot_give_others_do():
    counts = spread_engines(22, PLACES, unavailable=["b"])
    assert counts["b"] == 1
    assert sum(counts.values()) == 22


@given(
    st.integers(0, 200),
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.tuples(st.integers(0, 5), st.integers(0, 20), st.floats(0, 10)),
        max_size=6,
    ),
    st.sets(st.sampled_from("abcdef")),
)
def test_bounds_hold_and_no_more_is_ordered_than_needed(needed, bounds, unavailable):
    places = {
        name: PlacePrice(least, least + more, price)
        for name, (least, more, price) in bounds.items()
    }
    counts = spread_engines(needed, places, unavailable)
    assert counts.keys() == places.keys()
    assert all(
        places[name].least <= counts[name] <= places[name].most for name in counts
    )
    least = sum(place.least for place in places.values())
    assert sum(counts.values()) <= max(needed, least)


def test_engines_stay_between_two_steps():
    held = HeldNeed(timedelta(seconds=60))
    assert held.note(0.0, 40) == 40
    assert held.note(30.0, 10) == 40
    assert held.note(59.0, 10) == 40
    assert held.note(61.0, 10) == 10


def test_a_greater_need_counts_at_once():
    held = HeldNeed(timedelta(seconds=60))
    assert held.note(0.0, 10) == 10
    assert held.note(1.0, 20) == 20
    assert held.note(62.0, 5) == 5


@given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 50)), min_size=1))
def test_what_counts_is_the_largest_need_of_the_time(steps):
    held = HeldNeed(timedelta(seconds=60))
    now, seen = 0.0, []
    for pause, needed in steps:
        now += pause
        seen.append((now, needed))
        assert held.note(now, needed) == max(n for at, n in seen if at > now - 60)

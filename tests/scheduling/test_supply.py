"""Number of engines ordered in each data centre for simultaneous steps of trainers."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.scheduling import (
    EngineOffer,
    PeakNeed,
    engines_needed,
    spread_engines,
)

FOUR_TRAINERS = {"m0": 96, "m1": 80, "m2": 96, "m3": 80}
OFFERS = {
    "a": EngineOffer(1, 11, 1.0),
    "b": EngineOffer(1, 11, 0.8),
    "c": EngineOffer(1, 11, 1.25),
    "d": EngineOffer(1, 11, 0.9),
}


def test_samples_of_four_simultaneous_steps_all_have_slots():
    assert engines_needed(FOUR_TRAINERS, 8) == 12 + 10 + 12 + 10 + 2


@pytest.mark.parametrize("factor", [0.25, 1, 4])
def test_the_need_is_proportional_to_samples_and_slots(factor):
    usual = engines_needed(FOUR_TRAINERS, 8) - 2
    samples = {model: int(count * factor) for model, count in FOUR_TRAINERS.items()}
    assert engines_needed(samples, 8) - 2 == pytest.approx(usual * factor, abs=2)
    assert engines_needed(FOUR_TRAINERS, int(8 * factor)) - 2 == pytest.approx(
        usual / factor, abs=2
    )


@pytest.mark.parametrize("samples", [{}, {"m0": 0}])
def test_without_samples_no_engines_are_needed(samples):
    assert engines_needed(samples, 8) == 0


def test_engines_are_spread_evenly_with_the_rest_where_cheapest():
    counts = spread_engines(22, OFFERS)
    assert sorted(counts.values()) == [5, 5, 6, 6]
    assert counts["b"] == counts["d"] == 6


def test_no_data_centre_gets_more_than_its_upper_bound():
    assert spread_engines(100, OFFERS) == dict.fromkeys(OFFERS, 11)


def test_no_data_centre_gets_less_than_its_lower_bound():
    assert spread_engines(0, OFFERS) == dict.fromkeys(OFFERS, 1)


def test_other_data_centres_replace_an_unavailable_one():
    counts = spread_engines(22, OFFERS, unavailable=["b"])
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
    offers = {
        name: EngineOffer(least, least + more, price)
        for name, (least, more, price) in bounds.items()
    }
    counts = spread_engines(needed, offers, unavailable)
    assert counts.keys() == offers.keys()
    assert all(
        offers[name].least <= counts[name] <= offers[name].most for name in counts
    )
    least = sum(offer.least for offer in offers.values())
    assert sum(counts.values()) <= max(needed, least)


def test_a_past_need_counts_for_the_period():
    peak = PeakNeed(timedelta(seconds=60))
    assert peak.note(0.0, 40) == 40
    assert peak.note(30.0, 10) == 40
    assert peak.note(59.0, 10) == 40
    assert peak.note(61.0, 10) == 10


def test_a_greater_need_counts_at_once():
    peak = PeakNeed(timedelta(seconds=60))
    assert peak.note(0.0, 10) == 10
    assert peak.note(1.0, 20) == 20
    assert peak.note(62.0, 5) == 5


@given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 50)), min_size=1))
def test_the_largest_need_of_the_period_counts(steps):
    peak = PeakNeed(timedelta(seconds=60))
    now, seen = 0.0, []
    for pause, needed in steps:
        now += pause
        seen.append((now, needed))
        assert peak.note(now, needed) == max(n for at, n in seen if at > now - 60)

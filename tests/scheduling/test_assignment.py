"""Engines are assigned to models by their work, and seldom change their model."""

import pytest

from bankrudder.scheduling import assign_engines, followed_models

ENGINES = ["e1", "e2", "e3", "e4", "e5"]
SIX_ENGINES = [*ENGINES, "e6"]


def counts(assigned):
    models = list(assigned.values())
    return {model: models.count(model) for model in set(models)}


def test_engines_are_assigned_by_share_of_work():
    assigned = assign_engines(ENGINES, {"a": 276.0, "b": 126.0}, {})
    assert counts(assigned) == {"a": 3, "b": 2}


def test_one_model_gets_all_engines():
    assert counts(assign_engines(ENGINES, {"a": 0.0}, {})) == {"a": 5}


def test_models_without_known_work_get_equal_shares():
    assigned = assign_engines(ENGINES[:4], {"a": 0.0, "b": 0.0}, {})
    assert counts(assigned) == {"a": 2, "b": 2}


def test_every_model_keeps_an_engine():
    assigned = assign_engines(ENGINES, {"a": 1000.0, "b": 1.0}, {})
    assert counts(assigned) == {"a": 4, "b": 1}


def test_small_changes_of_work_move_no_engine():
    before = assign_engines(ENGINES, {"a": 276.0, "b": 126.0}, {})
    assert assign_engines(ENGINES, {"a": 240.0, "b": 140.0}, before) == before


def test_an_engine_moves_to_a_model_that_lost_its_last_engine():
    before = {"e1": "a", "e2": "a", "e3": "b"}
    after = assign_engines(["e1", "e2"], {"a": 1.0, "b": 1.0}, before)
    assert counts(after) == {"a": 1, "b": 1}


def test_an_added_engine_goes_to_the_model_that_lacks_most():
    before = {"e1": "a", "e2": "a", "e3": "b"}
    after = assign_engines(["e1", "e2", "e3", "e9"], {"a": 1.0, "b": 1.0}, before)
    assert after["e9"] == "b"
    assert {key: after[key] for key in before} == before


def test_fewer_engines_than_models_serve_the_busiest():
    assert counts(assign_engines(["e1"], {"a": 1.0, "b": 5.0}, {})) == {"b": 1}


def test_engines_that_no_model_can_use_are_left_out():
    engines = [f"e{number}" for number in range(20)]
    assigned = assign_engines(engines, {"a": 1.0, "b": 1.0}, {}, {"a": 4, "b": 6})
    assert counts(assigned) == {"a": 4, "b": 6}


def test_engines_are_released_only_from_far_too_many():
    before = {f"e{number}": "a" for number in range(20)}
    after = assign_engines(list(before), {"a": 1.0}, before, {"a": 8})
    assert counts(after) == {"a": 8}
    assert assign_engines(list(before), {"a": 1.0}, after, {"a": 7}) == after


def test_a_model_that_grows_gets_more_engines():
    before = {"e1": "a", "e2": "a"}
    after = assign_engines(ENGINES, {"a": 1.0}, before, {"a": 4})
    assert counts(after) == {"a": 4}


def test_the_versions_of_engines_tell_which_model_they_followed():
    named = {"a": 9, "b": 8}
    versions = {
        "e1": {"a": 9, "b": 1},
        "e2": {"a": 7, "b": 8},
        "e3": {"a": 8, "b": 1},
    }
    followed = followed_models(versions, named)
    assert followed == {"e1": "a", "e2": "b", "e3": "a"}


def test_engines_with_ambiguous_versions_are_left_out():
    # An engine that was added later has the newest version of every model. Before any
    # version is named, all engines have the first version.
    assert followed_models({"e1": {"a": 9, "b": 8}}, {"a": 9, "b": 8}) == {}
    assert followed_models({"e1": {"a": 1, "b": 1}}, {}) == {}


def test_engines_without_the_first_named_version_are_left_out():
    versions = {name: {"a": 1, "b": 1, "c": 1} for name in SIX_ENGINES}
    assert followed_models(versions, {"a": 2}) == {}
    versions["e1"] = {"a": 2, "b": 1, "c": 1}
    assert followed_models(versions, {"a": 2}) == {"e1": "a"}


def test_a_new_lease_holder_keeps_the_assignment():
    named = {"a": 9, "b": 8}
    versions = {
        "e1": {"a": 1, "b": 8},
        "e2": {"a": 1, "b": 7},
        "e3": {"a": 9, "b": 1},
        "e4": {"a": 9, "b": 1},
    }
    followed = followed_models(versions, named)
    shares = {"a": 1.0, "b": 1.0}
    assert assign_engines(list(versions), shares, followed) == followed


EQUAL_SHARES = {"a": 1.0, "b": 1.0, "c": 1.0}
TWO_ENGINES_PER_MODEL = {
    "e1": "a",
    "e2": "a",
    "e3": "b",
    "e4": "b",
    "e5": "c",
    "e6": "c",
}


@pytest.mark.parametrize("unit", [0.25, 1.0, 4.0])
def test_slow_engines_are_spread_over_models(unit):
    event_gaps = dict.fromkeys(SIX_ENGINES, 0.038 * unit) | {
        "e3": 0.05 * unit,
        "e4": 0.05 * unit,
    }
    after = assign_engines(
        SIX_ENGINES, EQUAL_SHARES, TWO_ENGINES_PER_MODEL, event_gaps=event_gaps
    )
    slow = [after["e3"], after["e4"]]
    assert len(set(slow)) == 2
    assert counts(after) == counts(TWO_ENGINES_PER_MODEL)


def test_fast_engines_that_are_spread_evenly_are_not_exchanged():
    event_gaps = dict.fromkeys(SIX_ENGINES, 0.038) | {"e1": 0.05, "e3": 0.05}
    assert (
        assign_engines(
            SIX_ENGINES, EQUAL_SHARES, TWO_ENGINES_PER_MODEL, event_gaps=event_gaps
        )
        == TWO_ENGINES_PER_MODEL
    )


def test_engines_of_unknown_or_similar_speed_are_not_exchanged():
    assert (
        assign_engines(
            SIX_ENGINES,
            EQUAL_SHARES,
            TWO_ENGINES_PER_MODEL,
            event_gaps={"e3": 0.05, "e4": 0.05},
        )
        == TWO_ENGINES_PER_MODEL
    )
    event_gaps = {
        name: 0.038 + 0.001 * position for position, name in enumerate(SIX_ENGINES)
    }
    assert (
        assign_engines(
            SIX_ENGINES, EQUAL_SHARES, TWO_ENGINES_PER_MODEL, event_gaps=event_gaps
        )
        == TWO_ENGINES_PER_MODEL
    )


SLOW_OF_A_AND_B = dict.fromkeys(SIX_ENGINES, 0.038) | {"e1": 0.05, "e3": 0.05}


@pytest.mark.parametrize("unit", [0.25, 1.0, 4.0])
def test_fast_engines_go_to_the_models_with_the_longest_open_batches(unit):
    open_times = {"a": 8.4 * unit, "b": 6.0 * unit, "c": 3.5 * unit}
    after = assign_engines(
        SIX_ENGINES,
        EQUAL_SHARES,
        TWO_ENGINES_PER_MODEL,
        event_gaps=SLOW_OF_A_AND_B,
        open_times=open_times,
    )
    assert counts(after) == counts(TWO_ENGINES_PER_MODEL)
    assert {after["e1"], after["e3"]} == {"c"}


def test_an_exchange_is_not_undone_by_its_effect():
    open_times = {"a": 8.4, "b": 6.0, "c": 3.5}
    after = assign_engines(
        SIX_ENGINES,
        EQUAL_SHARES,
        TWO_ENGINES_PER_MODEL,
        event_gaps=SLOW_OF_A_AND_B,
        open_times=open_times,
    )
    later = {"a": 7.3, "b": 5.2, "c": 4.7}
    again = assign_engines(
        SIX_ENGINES, EQUAL_SHARES, after, event_gaps=SLOW_OF_A_AND_B, open_times=later
    )
    assert again == after


def test_models_with_similar_open_times_keep_their_engines():
    open_times = {"a": 5.0, "b": 4.5, "c": 4.0}
    after = assign_engines(
        SIX_ENGINES,
        EQUAL_SHARES,
        TWO_ENGINES_PER_MODEL,
        event_gaps=SLOW_OF_A_AND_B,
        open_times=open_times,
    )
    assert after == TWO_ENGINES_PER_MODEL

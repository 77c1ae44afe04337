"""Engines are shared among models by work, and seldom change hands."""

import pytest

from bankrudder.scheduling import assign_engines, followed_models

ENGINES = ["e1", "e2", "e3", "e4", "e5"]
SIX = [*ENGINES, "e6"]


def counts(assigned):
    models = list(assigned.values())
    return {model: models.count(model) for model in set(models)}


def test_engines_go_by_share_of_work():
    assigned = assign_engines(ENGINES, {"a": 276.0, "b": 126.0}, {})
    assert counts(assigned) == {"a": 3, "b": 2}


def test_one_model_gets_all_engines():
    assert counts(assign_engines(ENGINES, {"a": 0.0}, {})) == {"a": 5}


def test_models_without_known_work_share_alike():
    assigned = assign_engines(ENGINES[:4], {"a": 0.0, "b": 0.0}, {})
    assert counts(assigned) == {"a": 2, "b": 2}


def test_every_model_keeps_an_engine():
    assigned = assign_engines(ENGINES, {"a": 1000.0, "b": 1.0}, {})
    assert counts(assigned) == {"a": 4, "b": 1}


def test_small_changes_of_work_move_nothing():
    before = assign_engines(ENGINES, {"a": 276.0, "b": 126.0}, {})
    assert assign_engines(ENGINES, {"a": 240.0, "b": 140.0}, before) == before


def test_an_engine_moves_when_a_model_loses_its_last():
    before = {"e1": "a", "e2": "a", "e3": "b"}
    after = assign_engines(["e1", "e2"], {"a": 1.0, "b": 1.0}, before)
    assert counts(after) == {"a": 1, "b": 1}


def test_a_returning_engine_goes_to_the_model_that_lacks_most():
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


def test_engines_are_given_up_once_there_are_far_too_many():
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


def test_versions_that_tell_nothing_are_passed_over():
    # An engine that was added has the newest of all, and before the first is named
    # all have the first.
    assert followed_models({"e1": {"a": 9, "b": 8}}, {"a": 9, "b": 8}) == {}
    assert followed_models({"e1": {"a": 1, "b": 1}}, {}) == {}


def test_the_first_version_that_is_named_tells_nothing_of_engines_that_lack_it():
    versions = {name: {"a": 1, "b": 1, "c": 1} for name in SIX}
    assert followed_models(versions, {"a": 2}) == {}
    versions["e1"] = {"a": 2, "b": 1, "c": 1}
    assert followed_models(versions, {"a": 2}) == {"e1": "a"}


def test_who_begins_to_give_orders_changes_no_model():
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


THREE = {"a": 1.0, "b": 1.0, "c": 1.0}
PAIRS = {"e1": "a", "e2": "a", "e3": "b", "e4": "b", "e5": "c", "e6": "c"}


@pytest.mark.parametrize("unit", [0.25, 1.0, 4.0])
def test_no_model_has_slow_engines_only_while_another_has_none(unit):
    gaps = dict.fromkeys(SIX, 0.038 * unit) | {"e3": 0.05 * unit, "e4": 0.05 * unit}
    after = assign_engines(SIX, THREE, PAIRS, gaps=gaps)
    slow = [after["e3"], after["e4"]]
    assert len(set(slow)) == 2
    assert counts(after) == counts(PAIRS)


def test_quick_engines_that_are_shared_well_stay():
    gaps = dict.fromkeys(SIX, 0.038) | {"e1": 0.05, "e3": 0.05}
    assert assign_engines(SIX, THREE, PAIRS, gaps=gaps) == PAIRS


def test_engines_of_unknown_or_like_speed_stay():
    assert assign_engines(SIX, THREE, PAIRS, gaps={"e3": 0.05, "e4": 0.05}) == PAIRS
    gaps = {name: 0.038 + 0.001 * place for place, name in enumerate(SIX)}
    assert assign_engines(SIX, THREE, PAIRS, gaps=gaps) == PAIRS


SLOW_OF_A_AND_B = dict.fromkeys(SIX, 0.038) | {"e1": 0.05, "e3": 0.05}


@pytest.mark.parametrize("unit", [0.25, 1.0, 4.0])
def test_quick_engines_go_to_the_models_whose_batches_last_longest(unit):
    lasting = {"a": 8.4 * unit, "b": 6.0 * unit, "c": 3.5 * unit}
    after = assign_engines(SIX, THREE, PAIRS, gaps=SLOW_OF_A_AND_B, lasting=lasting)
    assert counts(after) == counts(PAIRS)
    assert {after["e1"], after["e3"]} == {"c"}


def test_an_exchange_is_not_undone_by_what_it_brings_about():
    lasting = {"a": 8.4, "b": 6.0, "c": 3.5}
    after = assign_engines(SIX, THREE, PAIRS, gaps=SLOW_OF_A_AND_B, lasting=lasting)
    later = {"a": 7.3, "b": 5.2, "c": 4.7}
    again = assign_engines(SIX, THREE, after, gaps=SLOW_OF_A_AND_B, lasting=later)
    assert again == after


def test_models_whose_batches_last_alike_keep_their_engines():
    lasting = {"a": 5.0, "b": 4.5, "c": 4.0}
    after = assign_engines(SIX, THREE, PAIRS, gaps=SLOW_OF_A_AND_B, lasting=lasting)
    assert after == PAIRS

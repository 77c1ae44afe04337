"""Engines are shared among models by work, and seldom change hands."""

from bankrudder.scheduling._assignment import assign_engines

ENGINES = ["e1", "e2", "e3", "e4", "e5"]


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

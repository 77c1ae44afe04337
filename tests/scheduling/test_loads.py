"""Engines with usable weights take turns in loading versions in quick succession."""

from datetime import timedelta

import pytest

from bankrudder.scheduling import EngineLoad, ModelDemand, choose_loads

USUAL_LOAD = timedelta(seconds=1)
JUST_NAMED_AGE = timedelta(seconds=0.05)
PLACED_AGE = timedelta(seconds=0.2)
SETTLED_AGE = timedelta(seconds=3)
OVERDUE_AGE = timedelta(seconds=4)


def engine(name, version, model="m", is_loading=False):
    return EngineLoad(name, model, version, is_loading)


def demand(newest_version, needed, newest_age=PLACED_AGE):
    return ModelDemand(newest_version, needed, newest_age)


def choose(engines, most=2, load=USUAL_LOAD, **demands):
    chosen = choose_loads(engines, demands, most, load)
    return [each.engine for each in chosen]


def test_an_unusable_engine_loads_before_a_usable_one():
    # The first engine has just loaded version 2 when version 3 is named.
    engines = [engine("a", 2), engine("b", 1)]
    assert choose(engines, m=demand(3, 2)) == ["b"]


def test_a_usable_engine_takes_samples_of_the_step_before_it_loads():
    engines = [engine("a", 1), engine("b", 1)]
    assert choose(engines, m=demand(2, 1, JUST_NAMED_AGE)) == []
    assert choose(engines, m=demand(3, 2, JUST_NAMED_AGE)) == ["a", "b"]


def test_one_of_two_usable_engines_loads_at_once():
    assert choose([engine("a", 1), engine("b", 1)], m=demand(2, 1)) == ["a"]
    loading = [engine("a", 1, is_loading=True), engine("b", 1)]
    assert choose(loading, m=demand(2, 1)) == []
    assert choose([engine("a", 2), engine("b", 1)], m=demand(2, 1)) == []


def test_the_other_engine_loads_once_the_version_has_settled():
    engines = [engine("a", 2), engine("b", 1)]
    assert choose(engines, m=demand(2, 1, SETTLED_AGE)) == ["b"]


@pytest.mark.parametrize("factor", [0.25, 1.0, 4.0])
def test_the_settling_time_is_proportional_to_the_load_time(factor):
    engines = [engine("a", 2), engine("b", 1)]
    load = factor * USUAL_LOAD
    assert choose(engines, load=load, m=demand(2, 1, 1.4 * load)) == []
    assert choose(engines, load=load, m=demand(2, 1, 1.6 * load)) == ["b"]


def test_only_loads_that_no_batch_needs_yet_may_wait():
    engines = [engine("a", 2), engine("b", 1)]
    [settled] = choose_loads(engines, {"m": demand(2, 1, SETTLED_AGE)}, 2, USUAL_LOAD)
    [needed] = choose_loads(engines, {"m": demand(3, 2)}, 2, USUAL_LOAD)
    engines = [engine("a", 1), engine("b", 1)]
    [following] = choose_loads(engines, {"m": demand(2, 1)}, 2, USUAL_LOAD)
    assert settled.may_wait
    assert not needed.may_wait
    assert not following.may_wait


def test_a_full_engine_waits_unless_it_is_unusable():
    full = EngineLoad("b", "m", 1, is_loading=False, is_full=True)
    engines = [engine("a", 2), full]
    assert choose(engines, m=demand(2, 1, SETTLED_AGE)) == []
    assert choose(engines, m=demand(3, 2)) == ["b"]


@pytest.mark.parametrize("factor", [0.25, 1.0, 4.0])
def test_an_engine_that_is_always_full_loads_once_the_version_is_overdue(factor):
    full = EngineLoad("b", "m", 1, is_loading=False, is_full=True)
    engines = [engine("a", 2), full]
    demands = {"m": demand(2, 1, factor * OVERDUE_AGE)}
    [chosen] = choose_loads(engines, demands, 2, factor * USUAL_LOAD)
    assert chosen.engine == "b"
    assert not chosen.may_wait


def test_a_single_engine_keeps_the_previous_version_while_it_is_usable():
    assert choose([engine("a", 1)], m=demand(2, 1)) == []
    assert choose([engine("a", 1)], m=demand(3, 2)) == ["a"]
    assert choose([engine("a", 1)], m=demand(2, 1, SETTLED_AGE)) == ["a"]


def test_a_model_without_a_usable_engine_goes_before_others():
    engines = [
        engine("a", 3, "x"),
        engine("b", 1, "x"),
        engine("c", 2, "y"),
        engine("d", 2, "y"),
    ]
    assert choose(engines, most=2, x=demand(3, 2), y=demand(4, 3)) == ["c", "d"]


def test_no_more_engines_load_than_the_service_limit():
    engines = [engine(name, 1) for name in "abcdef"]
    assert len(choose(engines, most=2, m=demand(3, 2))) == 2
    loading = [engine("z", 1, is_loading=True), *engines]
    assert len(choose(loading, most=2, m=demand(3, 2))) == 1
    assert choose(loading, most=1, m=demand(3, 2)) == []


@pytest.mark.parametrize(("count", "at_once"), [(2, 1), (8, 2), (32, 10)])
def test_a_third_of_usable_engines_loads_at_once(count, at_once):
    engines = [engine(f"e{number:02}", 1) for number in range(count)]
    assert len(choose(engines, most=count, m=demand(2, 1))) == at_once


@pytest.mark.parametrize("count", [2, 8, 32])
def test_at_most_half_load_before_the_version_has_settled(count):
    half = count // 2
    engines = [engine(f"a{number:02}", 2) for number in range(half)]
    engines += [engine(f"b{number:02}", 1) for number in range(half)]
    assert choose(engines, most=count, m=demand(2, 1)) == []


def test_engines_with_the_newest_or_no_named_version_do_not_load():
    engines = [engine("a", 2), engine("b", 2), engine("c", 1, "unnamed")]
    assert choose(engines, m=demand(2, 1, SETTLED_AGE)) == []


def test_engines_take_turns_over_pairs_of_versions():
    """Each version costs one load, and one engine is always usable."""
    versions = {"a": 1, "b": 1}
    loads = 0
    for newest_version in range(2, 12):
        engines = [engine(name, version) for name, version in versions.items()]
        assert any(version >= newest_version - 1 for version in versions.values())
        for name in choose(engines, m=demand(newest_version, newest_version - 1)):
            versions[name] = newest_version
            loads += 1
    assert loads == 10

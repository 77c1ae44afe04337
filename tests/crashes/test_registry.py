"""Which strikes the registry keeps, and that their number stays bounded."""

import pytest

from bankrudder.crashes import Admission, Strike, StrikeRegistry
from bankrudder.crashes._registry import MAX_CONTENTS, MAX_RUNS
from bankrudder.fleet import EndpointRun

HOUR_S = 3600.0


def strike(content="a", run=1, lost_at=0.0):
    return Strike(content, EndpointRun(f"endpoint-{run}"), lost_at, lost_at)


@pytest.fixture
def registry():
    return StrikeRegistry()


def test_run_counts_once_however_often_it_is_reported(registry):
    for _ in range(5):
        registry.add(strike())
    assert registry.decision("a", 0.0).strikes == 1


def test_each_run_of_one_endpoint_counts(registry):
    for born in (1, 2, 3):
        registry.add(Strike("a", EndpointRun("endpoint", born), 0.0, 0.0))
    assert registry.decision("a", 0.0).admission is Admission.REFUSED


def test_clear_removes_all_strikes_of_a_content(registry):
    for run in range(5):
        registry.add(strike(run=run))
    assert len(registry.clear("a")) == 5
    assert "a" not in registry
    assert registry.decision("a", 0.0).admission is Admission.FREE


def test_single_strike_can_be_removed(registry):
    registry.add(strike())
    assert registry.remove("a", EndpointRun("endpoint-1"))
    assert not registry.remove("a", EndpointRun("endpoint-1"))
    assert len(registry) == 0


def test_oldest_contents_are_evicted_first(registry):
    evicted = [
        each
        for number in range(MAX_CONTENTS + 2)
        for each in registry.add(strike(number))
    ]
    assert len(registry) == MAX_CONTENTS
    assert [each.content for each in evicted] == [0, 1]


def test_oldest_strikes_of_a_content_are_evicted_first(registry):
    for run in range(MAX_RUNS + 3):
        registry.add(strike(run=run, lost_at=float(run)))
    kept = {each.lost_at for each in registry.strikes("a")}
    assert kept == {float(run) for run in range(3, MAX_RUNS + 3)}


def test_strikes_of_refused_contents_are_kept_longer(registry):
    registry.add(strike("few"))
    for run in range(3):
        registry.add(strike("many", run))
    assert registry.clear_outdated(5 * HOUR_S) == []
    assert {each.content for each in registry.clear_outdated(7 * HOUR_S)} == {"few"}
    assert {each.content for each in registry.clear_outdated(25 * HOUR_S)} == {"many"}
    assert len(registry) == 0

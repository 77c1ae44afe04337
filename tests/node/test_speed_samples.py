"""Operators see lasting speed, slowdown and age of the endpoints in use."""

import pytest

from bankrudder.fleet import Endpoint, ReportedLoad, TrackedEndpoint
from bankrudder.node._speed_samples import speed_samples


def tracked(name):
    return TrackedEndpoint(Endpoint(name, "s", "a:1", "north", 6))


def test_only_endpoints_in_use_that_report_a_slowdown_have_samples():
    used, silent, unused = tracked("used"), tracked("silent"), tracked("unused")
    used.note_load(ReportedLoad(1, 0, 6, 2.5), 10.0)
    used.note_answer(0.05, 10.0)
    silent.note_load(ReportedLoad(1, 0, 6), 10.0)
    silent.note_answer(0.05, 10.0)
    samples = list(speed_samples([used, silent, unused], 10.0))
    assert {sample.labels["endpoint"] for sample in samples} == {"used"}
    assert {sample.name: sample.value for sample in samples} == {
        "bankrudder_endpoint_lasting_seconds": pytest.approx(0.02),
        "bankrudder_endpoint_lasting_bins": 1,
        "bankrudder_endpoint_slowdown": 2.5,
        "bankrudder_endpoint_report_age_seconds": 0.0,
    }


def test_gaps_of_engines_are_told_from_latencies():
    engine = tracked("engine")
    engine.note_load(ReportedLoad(1, 0, 6, 1.0), 10.0)
    engine.note_event_gap(0.04, 10.1)
    samples = list(speed_samples([engine], 12.0))
    [lasting] = [each for each in samples if each.name.endswith("lasting_seconds")]
    assert lasting.labels["measured"] == "gap"
    assert lasting.value == pytest.approx(0.04)

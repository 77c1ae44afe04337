"""A closed connection is no evidence for a crash; a refused connection may be one."""

import pytest

from bankrudder.crashes import Evidence, first_evidence, later_evidence
from bankrudder.crashes._evidence import (
    LISTED_ALIVE_S,
    RESTART_DETECTION_S,
    UNLISTED_ENDED_S,
)
from bankrudder.fleet import Endpoint, ProbeResult, Readiness, TrackedEndpoint

ENTRY = Endpoint("e", "desk", "127.0.0.1:1", "north", slots=4)


def tracked(readiness=Readiness.READY):
    return TrackedEndpoint(
        Endpoint("e", "desk", "127.0.0.1:1", "north", slots=4, readiness=readiness)
    )


@pytest.fixture
def target():
    return tracked()


@pytest.mark.parametrize(
    ("probe_result", "expected"),
    [
        (ProbeResult.NOT_LISTENING, Evidence.PROBABLY_ENDED),
        (ProbeResult.LISTENING, Evidence.OPEN),
        (ProbeResult.UNKNOWN, Evidence.OPEN),
    ],
)
def test_only_a_refused_connection_is_evidence_for_a_crash(
    target, probe_result, expected
):
    assert first_evidence(target, probe_result) is expected


def test_later_run_proves_that_the_earlier_one_ended(target):
    target.mark_ended()
    assert first_evidence(target, ProbeResult.LISTENING) is Evidence.ENDED
    assert later_evidence(target, Evidence.OPEN, 0.1, None) is Evidence.ENDED


def test_planned_stop_is_no_crash():
    leaving = tracked(Readiness.DRAINING)
    assert first_evidence(leaving, ProbeResult.NOT_LISTENING) is Evidence.LIVES


@pytest.mark.parametrize("before", [Evidence.OPEN, Evidence.PROBABLY_ENDED])
def test_planned_restart_under_the_same_name_is_no_crash(before):
    leaving = tracked(Readiness.DRAINING)
    leaving.mark_ended()
    assert first_evidence(leaving, ProbeResult.LISTENING) is Evidence.LIVES
    assert later_evidence(leaving, before, 1.0, True) is Evidence.LIVES


def test_end_of_an_unlisted_endpoint_is_no_crash(target):
    target.mark_unlisted()
    assert first_evidence(target, ProbeResult.NOT_LISTENING) is Evidence.LIVES


def later(target, before, age_s, is_listed):
    return later_evidence(target, before, age_s, is_listed)


def test_endpoint_that_stays_listed_is_alive_despite_a_refused_connection(target):
    before = Evidence.PROBABLY_ENDED
    assert later(target, before, LISTED_ALIVE_S - 1, True) is before
    assert later(target, before, LISTED_ALIVE_S, True) is Evidence.LIVES


def test_evidence_is_not_withdrawn_while_the_list_is_unreadable(target):
    before = Evidence.PROBABLY_ENDED
    assert later(target, before, LISTED_ALIVE_S, None) is before
    assert later(target, before, UNLISTED_ENDED_S, None) is Evidence.ENDED


def test_endpoint_removed_from_the_list_has_ended_after_the_final_wait(target):
    before = Evidence.PROBABLY_ENDED
    assert later(target, before, LISTED_ALIVE_S, False) is before
    assert later(target, before, UNLISTED_ENDED_S - 1, True) is Evidence.LIVES
    assert later(target, before, UNLISTED_ENDED_S, False) is Evidence.ENDED


@pytest.mark.parametrize("is_listed", [True, False, None])
def test_lost_answer_alone_is_no_evidence_for_a_crash(target, is_listed):
    assert later(target, Evidence.OPEN, 1.0, is_listed) is Evidence.OPEN
    assert (
        later(target, Evidence.OPEN, RESTART_DETECTION_S, is_listed) is Evidence.LIVES
    )


def test_endpoint_that_starts_to_drain_after_the_loss_is_alive(target):
    target.update(
        Endpoint("e", "d", "127.0.0.1:1", "n", slots=4, readiness=Readiness.DRAINING)
    )
    assert later(target, Evidence.PROBABLY_ENDED, 1.0, True) is Evidence.LIVES

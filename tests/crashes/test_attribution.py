"""Which crashes of a series are attributed to a request that was in progress."""

import msgspec
import pytest

from bankrudder.crashes import CRASH_LIMIT, Admission, Strike, decide_admission
from bankrudder.crashes._admission import BASE_PAUSE_S, SERIES_PAUSE_S
from bankrudder.crashes._attribution import SERIES_GAP_S
from bankrudder.crashes._crash_log import MAX_CRASHES, CrashLog
from bankrudder.crashes._values import Crash
from bankrudder.fleet import EndpointRun

NOW = 10_000.0

MAX_STEADY_PAUSE_S = 5.0
"""Time for which a sample may be on no engine while no endpoint crashes."""


def run(number):
    return EndpointRun(f"endpoint-{number}")


def strikes_of(content, *positions, lost_at=NOW, first_run=0):
    """Return sequential strikes of attempts that each went on after the one before.

    ``positions`` are the numbers of events that were received when they ended.
    """
    first_events = (0, *positions)
    return {
        run(first_run + number): Strike(
            content,
            run(first_run + number),
            lost_at,
            lost_at,
            service="engines",
            first_event=first_events[number],
            next_event=position,
        )
        for number, position in enumerate(positions)
    }


def crashes_at(*numbers, at=NOW, service="engines"):
    return {run(number): Crash(service, at) for number in numbers}


def decide(strikes, crashes=None, now=NOW, **others):
    return decide_admission("a", {"a": strikes, **others}, now, crashes=crashes or {})


def test_request_that_got_further_each_time_may_run_once_more_after_a_short_pause():
    """Guards against a sample that is held back for longer than its step has."""
    strikes = strikes_of("a", 3, 26, 31)
    decision = decide(strikes)
    assert decision.admission is Admission.REFUSED
    assert decision.retry_after_s == SERIES_PAUSE_S < MAX_STEADY_PAUSE_S
    assert decide(strikes, now=NOW + SERIES_PAUSE_S).admission is Admission.ALONE


def test_it_is_refused_if_the_last_attempt_crashes_as_well():
    decision = decide(strikes_of("a", 3, 26, 31, 60))
    assert decision.admission is Admission.REFUSED
    assert decision.retry_after_s == BASE_PAUSE_S


@pytest.mark.parametrize("positions", [(0, 0, 0), (1, 2, 3), (2, 4, 6), (0, 1, 3)])
def test_request_that_crashes_endpoints_at_one_point_gets_no_further_attempt(positions):
    """Crashes elsewhere do not change that."""
    decision = decide(strikes_of("a", *positions), crashes_at(10, 11, 12))
    assert decision.admission is Admission.REFUSED
    assert decision.retry_after_s == BASE_PAUSE_S
    assert decision.strikes == CRASH_LIMIT


@pytest.mark.parametrize("positions", [(40, 40, 40), (9, 10, 10), (28, 29, 30)])
def test_request_whose_later_attempts_were_short_depends_on_crashes_elsewhere(
    positions,
):
    """Guards against samples that are held back as soon as crashes follow closely."""
    strikes = strikes_of("a", *positions)
    assert decide(strikes).retry_after_s == BASE_PAUSE_S
    assert decide(strikes, crashes_at(10)).admission is Admission.ALONE
    assert decide(strikes, crashes_at(10, 11)).admission is Admission.FREE


def test_regular_crashes_may_be_by_chance_if_most_of_a_series_were_elsewhere():
    """Guards against samples of a long series that got few events in each attempt."""
    strikes = strikes_of("a", 2, 3, 5)
    few, many = crashes_at(*range(10, 15)), crashes_at(*range(10, 16))
    assert decide(strikes, few).retry_after_s == BASE_PAUSE_S
    assert decide(strikes, many).retry_after_s == SERIES_PAUSE_S
    later = NOW + SERIES_PAUSE_S
    assert decide(strikes, many, later).admission is Admission.ALONE
    last = strikes_of("a", 2, 3, 5, 6)
    assert decide(last, many).retry_after_s == 2 * BASE_PAUSE_S
    without_events = strikes_of("a", 0, 0, 0)
    assert decide(without_events, many).retry_after_s == BASE_PAUSE_S


def test_stream_that_starts_anew_and_ends_at_one_point_is_refused():
    strikes = {
        key: msgspec.structs.replace(strike, first_event=0)
        for key, strike in strikes_of("a", 40, 40, 40).items()
    }
    decision = decide(strikes, crashes_at(10, 11, 12))
    assert decision.retry_after_s == BASE_PAUSE_S


@pytest.mark.parametrize(
    ("unrelated", "expected"),
    [(0, Admission.REFUSED), (1, Admission.REFUSED), (3, Admission.FREE)],
)
def test_crashes_elsewhere_in_the_series_are_subtracted(unrelated, expected):
    strikes = strikes_of("a", 3, 26, 31, 60)
    crashes = crashes_at(*range(10, 10 + unrelated), *range(4))
    decision = decide(strikes, crashes)
    assert decision.admission is expected
    assert decision.strikes == 4 - unrelated


@pytest.mark.parametrize(
    "crashes",
    [
        crashes_at(10, 11, 12, service="others"),
        crashes_at(10, 11, 12, at=NOW - SERIES_GAP_S - 1.0),
        crashes_at(10, 11, 12, at=NOW + SERIES_GAP_S + 1.0),
        crashes_at(0, 1, 2),
    ],
)
def test_crashes_of_other_services_and_series_do_not_count(crashes):
    strikes = strikes_of("a", 3, 26, 31, 60)
    assert decide(strikes, crashes).retry_after_s == BASE_PAUSE_S


def test_crashes_of_another_request_that_crashes_endpoints_do_not_count():
    strikes = strikes_of("a", 3, 26, 31, 60)
    culprit = strikes_of("b", 0, 0, 0, first_run=10)
    decision = decide(strikes, crashes_at(10, 11, 12), b=culprit)
    assert decision.retry_after_s == BASE_PAUSE_S


def test_long_requests_of_a_series_do_not_incriminate_each_other():
    first = strikes_of("a", 3, 26, 31, 60)
    second = strikes_of("b", 5, 40, 50, first_run=10)
    crashes = crashes_at(0, 1, 2, 3, 10, 11, 12)
    assert decide(first, crashes, b=second).admission is Admission.FREE


def test_request_that_got_further_does_not_explain_the_crashes_of_one_that_did_not():
    """Guards against a crashing request that long requests beside it exonerate."""
    culprit = strikes_of("a", 0, 0, 0)
    beside = strikes_of("b", 5, 20, 40, 60)
    decision = decide(culprit, b=beside)
    assert decision.admission is Admission.REFUSED
    assert decision.strikes == CRASH_LIMIT


def test_of_requests_with_the_same_crashes_the_one_without_progress_is_refused():
    """Guards against another attempt of a crashing request among long ones."""
    culprit, beside = strikes_of("a", 0, 0, 0), strikes_of("b", 3, 4, 5)
    assert decide(culprit, b=beside).retry_after_s == BASE_PAUSE_S
    assert decide(beside, b=culprit).admission is Admission.ALONE


def test_two_crashes_limit_nothing_if_the_request_got_further():
    """Guards against samples that wait for each other after a short series."""
    assert decide(strikes_of("a", 3, 26)).admission is Admission.FREE
    assert decide(strikes_of("a", 3, 3)).admission is Admission.ALONE


def test_doubtful_crashes_do_not_refuse_it_below_its_limit():
    strikes = strikes_of("a", 3, 26, 31)
    doubt = Strike("a", run(9), NOW, NOW, is_doubtful=True, service="engines")
    crashes = crashes_at(10, 11)
    decision = decide_admission("a", {"a": strikes}, NOW, [doubt], crashes)
    assert decision.admission is Admission.FREE


def test_the_crash_log_is_bounded_and_forgets_endpoints_that_live():
    log = CrashLog()
    for number in range(MAX_CRASHES + 2):
        [strike] = strikes_of("a", 0, first_run=number).values()
        log.note(strike)
    assert len(log.crashes) == MAX_CRASHES
    assert run(1) not in log.crashes
    log.withdraw(run(5))
    assert run(5) not in log.crashes

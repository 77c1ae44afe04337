"""Which requests are refused after crashes, and which merely ran at the same time."""

import msgspec
import pytest

from bankrudder.crashes import (
    CRASH_LIMIT,
    FREE,
    Admission,
    AdmissionDecision,
    RefusalPolicy,
    Strike,
    decide_admission,
)
from bankrudder.crashes._admission import MAX_CLOCK_LEAD_S
from bankrudder.fleet import EndpointRun

NOW = 10_000.0


def run(number):
    return EndpointRun(f"endpoint-{number}")


def sequential_strikes(*numbers, lost_at=NOW, duration_s=0.0):
    """Return a strike for each run; strikes without duration count as sequential."""
    return {
        run(number): Strike("c", run(number), lost_at - duration_s, lost_at)
        for number in numbers
    }


def overlapping_strikes(*numbers, lost_at=NOW):
    return sequential_strikes(*numbers, lost_at=lost_at, duration_s=0.5)


def admissions(now=NOW, **strikes):
    return {name: decide_admission(name, strikes, now).admission for name in strikes}


def test_request_without_strikes_is_free():
    assert decide_admission("a", {}, NOW) == FREE
    assert decide_admission("a", {"b": sequential_strikes(1, 2, 3)}, NOW) == FREE


@pytest.mark.parametrize(
    ("count", "expected"),
    [
        (1, Admission.FREE),
        (CRASH_LIMIT - 1, Admission.ALONE),
        (CRASH_LIMIT, Admission.REFUSED),
        (CRASH_LIMIT + 1, Admission.REFUSED),
    ],
)
def test_each_crash_counts_once_up_to_the_limit(count, expected):
    assert (
        decide_admission("a", {"a": sequential_strikes(*range(count))}, NOW).admission
        is expected
    )


@pytest.mark.parametrize("tries", [0, 1, 2])
def test_refusal_has_a_retry_delay_that_doubles(tries):
    strikes = {"a": sequential_strikes(*range(CRASH_LIMIT + tries), lost_at=NOW)}
    pause_s = 600.0 * 2**tries
    assert decide_admission("a", strikes, NOW + 1.0).retry_after_s == pause_s - 1.0
    tried = decide_admission("a", strikes, NOW + pause_s)
    assert (tried.admission, tried.retry_after_s) == (Admission.ALONE, 0.0)


def test_the_longest_pause_is_bounded():
    strikes = {"a": sequential_strikes(*range(CRASH_LIMIT + 9))}
    assert decide_admission("a", strikes, NOW).retry_after_s == 6 * 3600.0


def test_a_clock_that_was_set_back_does_not_lengthen_the_pause():
    assert (
        decide_admission(
            "a", {"a": sequential_strikes(1, 2, 3)}, NOW - 5000.0
        ).retry_after_s
        == 600.0
    )


def test_crash_explained_by_a_request_with_more_strikes_does_not_count():
    strikes = {
        "worse": sequential_strikes(1, 2, 3, 4),
        "beside": sequential_strikes(1, 2, 3),
    }
    assert decide_admission("beside", strikes, NOW).strikes == 0
    assert admissions(**strikes) == {
        "worse": Admission.REFUSED,
        "beside": Admission.FREE,
    }


def test_crashes_not_explained_by_another_request_count():
    strikes = {
        "worse": sequential_strikes(1, 2, 3, 4, 5),
        "too": sequential_strikes(1, 6, 7, 8),
    }
    assert decide_admission("too", strikes, NOW).admission is Admission.REFUSED
    assert decide_admission("too", strikes, NOW).strikes == 3


def test_requests_with_the_same_crashes_may_be_sent_again_at_once():
    strikes = {"a": sequential_strikes(1, 2, 3), "b": sequential_strikes(1, 2, 3)}
    assert set(admissions(**strikes).values()) == {Admission.ALONE}


@pytest.mark.parametrize(("further", "pause_s"), [(1, 3.0), (2, 60.0), (3, 4800.0)])
def test_further_crashes_shared_by_two_requests_lengthen_the_pause(further, pause_s):
    same = sequential_strikes(*range(CRASH_LIMIT + further))
    assert decide_admission("a", {"a": same, "b": same}, NOW).retry_after_s == pause_s


def test_next_crash_distinguishes_requests_with_the_same_crashes():
    strikes = {"a": sequential_strikes(1, 2, 3, 4), "b": sequential_strikes(1, 2, 3)}
    assert admissions(**strikes) == {"a": Admission.REFUSED, "b": Admission.FREE}


def test_crashes_count_against_the_remaining_request_after_an_answer_to_the_other():
    assert admissions(a=sequential_strikes(1, 2, 3)) == {"a": Admission.REFUSED}


def test_request_that_always_crashes_is_sent_less_and_less_often():
    now, strikes, tries = NOW, sequential_strikes(*range(CRASH_LIMIT), lost_at=NOW), 0
    while now < NOW + 24 * 3600.0:
        decision = decide_admission("a", {"a": strikes}, now)
        if decision.admission is Admission.REFUSED:
            now += decision.retry_after_s
            continue
        strikes |= sequential_strikes(100 + tries, lost_at=now)
        tries += 1
    assert tries <= 9
    assert (
        sum(each.lost_at <= NOW + 3600.0 for each in strikes.values())
        <= CRASH_LIMIT + 2
    )


def test_crashes_of_overlapping_attempts_count_once():
    strikes = overlapping_strikes(*range(9))
    assert decide_admission("a", {"a": strikes}, NOW) == AdmissionDecision(
        Admission.ALONE, 1
    )
    strikes |= overlapping_strikes(10, lost_at=NOW + 1.0)
    assert decide_admission("a", {"a": strikes}, NOW).strikes == 2
    strikes |= overlapping_strikes(11, 12, lost_at=NOW + 2.0)
    assert (
        decide_admission("a", {"a": strikes}, NOW + 2.0).admission is Admission.REFUSED
    )


def test_overlapping_attempts_of_one_hedged_request_count_each():
    strikes = {
        key: msgspec.structs.replace(strike, request="q1")
        for key, strike in overlapping_strikes(1, 2, 3).items()
    }
    assert decide_admission("a", {"a": strikes}, NOW).admission is Admission.REFUSED


def test_overlapping_attempts_of_different_requests_count_once():
    strikes = {
        key: msgspec.structs.replace(strike, request=f"q{key.endpoint}")
        for key, strike in overlapping_strikes(*range(9)).items()
    }
    assert decide_admission("a", {"a": strikes}, NOW).strikes == 1


def test_attempt_sent_before_the_previous_crash_does_not_count():
    strikes = sequential_strikes(1, lost_at=NOW) | sequential_strikes(
        2, lost_at=NOW + 1.0, duration_s=1.5
    )
    assert decide_admission("a", {"a": strikes}, NOW).strikes == 1
    strikes = sequential_strikes(1, lost_at=NOW) | sequential_strikes(
        2, lost_at=NOW + 1.0, duration_s=1.0
    )
    assert decide_admission("a", {"a": strikes}, NOW).strikes == 2


def decide_owed(strikes, now=NOW, doubts=()):
    return decide_admission(
        "a", {"a": strikes}, now, doubts, policy=RefusalPolicy.BRIEF
    )


@pytest.mark.parametrize(
    ("count", "pause_s"), [(3, 2.0), (4, 3.0), (5, 3.0), (12, 3.0), (50, 3.0)]
)
def test_owed_work_is_refused_for_seconds_however_many_endpoints_crashed(
    count, pause_s
):
    """Guards against a sound sample that is held back when all is calm again."""
    strikes = sequential_strikes(*range(count))
    assert decide_owed(strikes) == AdmissionDecision(Admission.REFUSED, count, pause_s)
    after = decide_owed(strikes, NOW + pause_s)
    assert after == AdmissionDecision(Admission.ALONE, count)


def test_a_request_of_a_caller_is_refused_for_as_long_as_without_owed_work():
    """Guards against excusing a request whose content is that of owed work as well."""
    strikes = sequential_strikes(1, 2, 3)
    assert decide_owed(strikes, NOW + 3.0).admission is Admission.ALONE
    assert decide_admission("a", {"a": strikes}, NOW + 3.0).retry_after_s == 597.0


@pytest.mark.parametrize("count", range(CRASH_LIMIT))
def test_owed_work_below_the_limit_is_treated_like_a_request_of_a_caller(count):
    strikes = sequential_strikes(*range(count))
    assert decide_owed(strikes) == decide_admission("a", {"a": strikes}, NOW)


@pytest.mark.parametrize("lead_s", [0.2, 2.0, 3600.0])
def test_strikes_of_a_clock_that_is_ahead_do_not_refuse_owed_work_for_longer(lead_s):
    """Guards against a refusal that lasts until the clock of this host catches up."""
    strikes = sequential_strikes(1, 2, 3, lost_at=NOW + lead_s)
    moments = [NOW + tenths / 10 for tenths in range(int(lead_s * 10) + 100)]
    refused = [
        moment
        for moment in moments
        if decide_owed(strikes, moment).admission is Admission.REFUSED
    ]
    assert 2.0 <= refused[-1] - refused[0] + 0.1 <= 2.0 + MAX_CLOCK_LEAD_S + 0.1


def test_doubtful_strikes_do_not_refuse_owed_work_for_longer():
    doubt = Strike("a", run(9), NOW + 1.0, NOW + 1.0, is_doubtful=True)
    strikes = sequential_strikes(1, 2)
    refusal = decide_owed(strikes, NOW + 1.0, [doubt])
    assert refusal == AdmissionDecision(Admission.REFUSED, CRASH_LIMIT, 2.0)
    assert decide_owed(strikes, NOW + 3.0, [doubt]).admission is Admission.ALONE


def test_owed_work_that_crashes_each_endpoint_crashes_one_in_each_pause():
    now, strikes, tries = NOW, sequential_strikes(*range(CRASH_LIMIT), lost_at=NOW), 0
    while now < NOW + 60.0:
        decision = decide_owed(strikes, now)
        if decision.admission is Admission.REFUSED:
            now += decision.retry_after_s
            continue
        strikes |= sequential_strikes(100 + tries, lost_at=now)
        tries += 1
    assert tries <= 20

"""Who is refused after endpoints ended, and who only was beside."""

import pytest

from bankrudder.crashes import FREE, LIMIT, Admission, Strike, Verdict, judge
from bankrudder.fleet import EndpointRun

NOW = 10_000.0


def run(number):
    return EndpointRun(f"endpoint-{number}")


def ends(*numbers, at=NOW, lasts_s=0.0):
    """Return ends one after the other, the last one at a time."""
    return {
        run(number): Strike("c", run(number), at - lasts_s, at) for number in numbers
    }


def overlapping(*numbers, at=NOW):
    return ends(*numbers, at=at, lasts_s=0.5)


def admissions(now=NOW, **strikes):
    return {name: judge(name, strikes, now).admission for name in strikes}


def test_a_request_under_which_nothing_ended_is_free():
    assert judge("a", {}, NOW) == FREE
    assert judge("a", {"b": ends(1, 2, 3)}, NOW) == FREE


@pytest.mark.parametrize(
    ("count", "expected"),
    [
        (1, Admission.FREE),
        (LIMIT - 1, Admission.ALONE),
        (LIMIT, Admission.REFUSED),
        (LIMIT + 1, Admission.REFUSED),
    ],
)
def test_each_end_counts_once_up_to_the_limit(count, expected):
    assert judge("a", {"a": ends(*range(count))}, NOW).admission is expected


@pytest.mark.parametrize("tries", [0, 1, 2])
def test_a_refusal_says_when_to_come_back_and_doubles(tries):
    strikes = {"a": ends(*range(LIMIT + tries), at=NOW)}
    pause_s = 600.0 * 2**tries
    assert judge("a", strikes, NOW + 1.0).retry_after_s == pause_s - 1.0
    tried = judge("a", strikes, NOW + pause_s)
    assert (tried.admission, tried.retry_after_s) == (Admission.ALONE, 0.0)


def test_the_longest_pause_is_bounded():
    strikes = {"a": ends(*range(LIMIT + 9))}
    assert judge("a", strikes, NOW).retry_after_s == 6 * 3600.0


def test_a_clock_that_was_set_back_does_not_lengthen_the_pause():
    assert judge("a", {"a": ends(1, 2, 3)}, NOW - 5000.0).retry_after_s == 600.0


def test_an_end_that_a_worse_request_explains_does_not_count():
    strikes = {"worse": ends(1, 2, 3, 4), "beside": ends(1, 2, 3)}
    assert judge("beside", strikes, NOW).strikes == 0
    assert admissions(**strikes) == {
        "worse": Admission.REFUSED,
        "beside": Admission.FREE,
    }


def test_ends_of_its_own_count_beside_a_worse_request():
    strikes = {"worse": ends(1, 2, 3, 4, 5), "too": ends(1, 6, 7, 8)}
    assert judge("too", strikes, NOW).admission is Admission.REFUSED
    assert judge("too", strikes, NOW).strikes == 3


def test_who_was_at_the_very_same_ends_may_try_again_at_once():
    strikes = {"a": ends(1, 2, 3), "b": ends(1, 2, 3)}
    assert set(admissions(**strikes).values()) == {Admission.ALONE}


@pytest.mark.parametrize(("further", "pause_s"), [(1, 3.0), (2, 60.0), (3, 4800.0)])
def test_further_same_ends_cost_longer_pauses(further, pause_s):
    same = ends(*range(LIMIT + further))
    assert judge("a", {"a": same, "b": same}, NOW).retry_after_s == pause_s


def test_the_next_end_tells_them_apart():
    strikes = {"a": ends(1, 2, 3, 4), "b": ends(1, 2, 3)}
    assert admissions(**strikes) == {"a": Admission.REFUSED, "b": Admission.FREE}


def test_an_answer_to_one_leaves_the_other_to_blame():
    assert admissions(a=ends(1, 2, 3)) == {"a": Admission.REFUSED}


def test_a_request_that_always_crashes_is_tried_less_and_less():
    now, strikes, tries = NOW, ends(*range(LIMIT), at=NOW), 0
    while now < NOW + 24 * 3600.0:
        verdict = judge("a", {"a": strikes}, now)
        if verdict.admission is Admission.REFUSED:
            now += verdict.retry_after_s
            continue
        strikes |= ends(100 + tries, at=now)
        tries += 1
    assert tries <= 9
    assert sum(each.at <= NOW + 3600.0 for each in strikes.values()) <= LIMIT + 2


def test_ends_of_endpoints_that_worked_on_it_at_once_count_once():
    strikes = overlapping(*range(9))
    assert judge("a", {"a": strikes}, NOW) == Verdict(Admission.ALONE, 1)
    strikes |= overlapping(10, at=NOW + 1.0)
    assert judge("a", {"a": strikes}, NOW).strikes == 2
    strikes |= overlapping(11, 12, at=NOW + 2.0)
    assert judge("a", {"a": strikes}, NOW + 2.0).admission is Admission.REFUSED


def test_a_send_that_began_before_an_end_says_nothing_new():
    strikes = ends(1, at=NOW) | ends(2, at=NOW + 1.0, lasts_s=1.5)
    assert judge("a", {"a": strikes}, NOW).strikes == 1
    strikes = ends(1, at=NOW) | ends(2, at=NOW + 1.0, lasts_s=1.0)
    assert judge("a", {"a": strikes}, NOW).strikes == 2

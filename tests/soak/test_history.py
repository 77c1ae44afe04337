"""Each check of the soak reports its violation, and none reports a good history."""

import pytest
from soak.history import (
    BatchObservation,
    CallObservation,
    History,
    KeyedCallObservation,
    KeyedOutcome,
    violations,
)

EVENTS = 2


def result(sample="b1-s0", version=1, **changes):
    complete_result = {
        "id": sample,
        "state": "succeeded",
        "text": f"{sample}-0-v{version}\n{sample}-1-v{version}",
        "versions": [version],
        "score": f"scorer.{sample.replace('-s', '-r')}",
    }
    return {**complete_result, **changes}


def history(*results, min_version=1, **changes):
    batch = BatchObservation("b1", min_version, ["b1-s0", "b1-s1"], was_accepted=True)
    batch.note_page(0, {"results": list(results)})
    seen = History(batches={"b1": batch})
    for name, value in changes.items():
        setattr(seen, name, value)
    return seen


def test_a_good_history_has_no_violations():
    good = history(
        result(),
        result("b1-s1"),
        calls=[
            CallObservation("q1", "/once/x", 200, b"answer to q1"),
            CallObservation("q2", "/once/x", 503, b""),
        ],
        runs={"q1": 1},
        orders=[(1.0, "e1", "a", 5), (9.0, "e1", "b", 7)],
        arrivals=[(1.0, "b1-s0")],
        crashes={"c": [1.0, 2.0, 3.0, 3.5, 5.9, 7.0, 8.0]},
        revisions=[("h", 1, 3), ("h", 1, 4), ("h", 2, 3)],
        keyed=[
            KeyedCallObservation("k1", [NOT_RUN, RIGHT_ANSWER, RIGHT_ANSWER]),
            KeyedCallObservation("k2", [NOT_RUN]),
        ],
    )
    good.runs["k1"] = 1
    good.batches["b1"].ended_at = 2.0
    assert violations(good, EVENTS) == []


def changed_position():
    seen = history(result())
    seen.batches["b1"].note_page(0, {"results": [result("b1-s1")]})
    return seen


def late_arrival():
    seen = history(result(), arrivals=[(9.0, "b1-s0")])
    seen.batches["b1"].ended_at = 2.0
    return seen


def lost():
    seen = history(result())
    seen.batches["b1"].lost.append("not found after it was accepted")
    return seen


def keyed(*outcomes, runs=1):
    seen = KeyedCallObservation("k1", list(outcomes))
    return history(result(), keyed=[seen], runs={"k1": runs})


RIGHT_ANSWER = (KeyedOutcome.ANSWERED, b"answer to k1")
NOT_RUN = (KeyedOutcome.NOT_RUN, b"")

BAD = {
    "a key runs twice": (keyed(RIGHT_ANSWER, runs=2), "ran 2 times"),
    "a key that ran is reported as not run": (keyed(NOT_RUN), "reported as not run"),
    "a key that never ran is answered": (keyed(RIGHT_ANSWER, runs=0), "never ran"),
    "a key gets another answer": (
        keyed((KeyedOutcome.ANSWERED, b"no")),
        "wrong answer",
    ),
    "a position changes": (changed_position(), "position 0 changed"),
    "a batch is lost": (lost(), "not found"),
    "a sample is at two positions": (history(result(), result()), "two positions"),
    "a sample of another batch": (history(result("b2-s0")), "another batch"),
    "an event is missing": (
        history(result(text="b1-s0-0-v1")),
        "wrong events",
    ),
    "an event is repeated": (
        history(result(text="b1-s0-0-v1\nb1-s0-0-v1\nb1-s0-1-v1")),
        "wrong events",
    ),
    "a version is not reported": (
        history(result(text="b1-s0-0-v1\nb1-s0-1-v2")),
        "reported are",
    ),
    "weights are too old": (history(result(), min_version=2), "minimum is 2"),
    "a score of another call": (history(result(score="scorer.b1-r9")), "score"),
    "a call runs twice": (
        history(calls=[CallObservation("q1", "/once/x", 502, b"")], runs={"q1": 2}),
        "ran 2 times",
    ),
    "a refused call ran": (
        history(calls=[CallObservation("q1", "/once/x", 503, b"")], runs={"q1": 1}),
        "was refused but ran",
    ),
    "an answer to another call": (
        history(calls=[CallObservation("q1", "/once/x", 200, b"answer to q2")]),
        "wrong answer",
    ),
    "an older token": (
        history(orders=[(1.0, "e1", "a", 5), (9.0, "e1", "b", 4)]),
        "token 4 after 5",
    ),
    "two holders with one token": (
        history(orders=[(1.0, "e1", "a", 5), (9.0, "e1", "b", 5)]),
        "same fencing token",
    ),
    "two holders at once": (
        history(orders=[(1.0, "e1", "a", 5), (1.1, "e1", "b", 6)]),
        "0.10 s after",
    ),
    "a sample is sent after the end": (late_arrival(), "after its batch ended"),
    "a crashing request is run on": (
        history(crashes={"c": [1.0, 2.0, 3.0, 6.5, 7.0, 8.0, 9.0]}),
        "4 more times",
    ),
    "a crashing request runs too often": (
        history(crashes={"c": [1.0] * 13}),
        "run 13 times",
    ),
    "a crashing request is run on after recovery": (
        history(crashes={"c": [1.0] * 8 + [8.5] * 4}, recovered_at=5.0),
        "4 more times",
    ),
    "a stopped host is killed": (
        history(killed_stops=[("host-1", 42)]),
        "process 42",
    ),
    "a revision decreases": (
        history(revisions=[("h", 1, 4), ("h", 1, 3)]),
        "went back",
    ),
}


@pytest.mark.parametrize("name", BAD)
def test_a_bad_history_has_one_violation(name):
    seen, part = BAD[name]
    found = violations(seen, EVENTS)
    assert len(found) == 1
    assert part in found[0]

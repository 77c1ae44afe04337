"""Consecutive failures are an outage, single ones are not; one answer ends it."""

from bankrudder.store._outages import OutageBegan, OutageDetector, OutageEnded


def test_a_single_failure_is_not_an_outage():
    detector = OutageDetector()
    assert detector.note_failure(1.0) is None
    assert not detector.is_out


def test_consecutive_failures_are_an_outage():
    detector = OutageDetector()
    detector.note_answer(0.5)
    assert detector.note_failure(1.0) is None
    assert detector.note_failure(1.1) == OutageBegan()
    assert detector.note_failure(1.2) is None
    assert detector.is_out


def test_an_answer_resets_the_failure_count():
    detector = OutageDetector()
    detector.note_failure(1.0)
    detector.note_answer(1.1)
    assert detector.note_failure(1.2) is None
    assert not detector.is_out


def test_a_failed_call_older_than_an_answered_one_is_ignored():
    # A lost reply is detected only at its timeout, after later calls were answered.
    detector = OutageDetector()
    detector.note_answer(2.0)
    for began in (1.0, 1.2, 1.4, 2.0):
        assert detector.note_failure(began) is None
    assert not detector.is_out


def test_the_first_answer_ends_an_outage_and_reports_when_its_call_began():
    detector = OutageDetector()
    detector.note_failure(1.0)
    detector.note_failure(1.1)
    assert detector.note_answer(3.0) == OutageEnded(3.0)
    assert not detector.is_out
    assert detector.note_answer(3.1) is None


def test_late_failures_of_older_calls_do_not_restart_an_outage():
    detector = OutageDetector()
    detector.note_failure(1.0)
    detector.note_failure(1.1)
    detector.note_answer(3.0)
    assert detector.note_failure(2.9) is None
    assert detector.note_failure(2.95) is None
    assert not detector.is_out

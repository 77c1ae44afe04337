"""An outage is told from single failures, and ends for all with one answer."""

from bankrudder.store._outages import OutageBegan, OutageDetector, OutageEnded


def test_one_failure_is_no_outage():
    detector = OutageDetector()
    assert detector.note_failure(1.0) is None
    assert not detector.is_out


def test_failures_without_an_answer_between_them_are_one():
    detector = OutageDetector()
    detector.note_answer(0.5)
    assert detector.note_failure(1.0) is None
    assert detector.note_failure(1.1) == OutageBegan()
    assert detector.note_failure(1.2) is None
    assert detector.is_out


def test_an_answer_between_them_starts_the_count_anew():
    detector = OutageDetector()
    detector.note_failure(1.0)
    detector.note_answer(1.1)
    assert detector.note_failure(1.2) is None
    assert not detector.is_out


def test_a_failure_older_than_an_answer_says_nothing():
    # Lost replies are noticed late, when later calls were long answered.
    detector = OutageDetector()
    detector.note_answer(2.0)
    for began in (1.0, 1.2, 1.4, 2.0):
        assert detector.note_failure(began) is None
    assert not detector.is_out


def test_the_first_answer_ends_it_and_tells_which_calls_hang():
    detector = OutageDetector()
    detector.note_failure(1.0)
    detector.note_failure(1.1)
    assert detector.note_answer(3.0) == OutageEnded(3.0)
    assert not detector.is_out
    assert detector.note_answer(3.1) is None


def test_calls_that_fail_late_do_not_bring_it_back():
    detector = OutageDetector()
    detector.note_failure(1.0)
    detector.note_failure(1.1)
    detector.note_answer(3.0)
    assert detector.note_failure(2.9) is None
    assert detector.note_failure(2.95) is None
    assert not detector.is_out

from bankrudder.world import request_mark
from bankrudder.world._request_marks import MAX_MARK_CHARS


def test_a_usual_identifier_is_its_own_mark():
    assert request_mark("q1") == "q1"


def test_a_long_identifier_has_a_short_mark_of_its_own():
    first, second = ("i" * 10_000 + each for each in "ab")
    assert len(request_mark(first)) <= MAX_MARK_CHARS
    assert request_mark(first) == request_mark(first)
    assert request_mark(first) != request_mark(second)


def test_an_identifier_of_any_bytes_has_a_mark():
    assert request_mark("\udcff" * 100)

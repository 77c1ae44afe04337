"""Equal requests have equal content digests, and different requests do not."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.crashes import content_id

REQUEST = {
    "method": "POST",
    "host": "site.test",
    "target": "/score/1?a=1",
    "body": b"body",
    "identity": ("broker",),
}
PARTS = st.tuples(st.text(max_size=4), st.text(max_size=4), st.text(max_size=4))


def test_equal_requests_have_the_same_content():
    assert content_id(**REQUEST) == content_id(**{**REQUEST, "host": "SITE.test"})


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"host": "other.test"},
        {"target": "/score/1?a=2"},
        {"body": b"bodies"},
        {"identity": ("another",)},
        {"identity": ("broker", "")},
    ],
)
def test_different_requests_have_different_contents(change):
    assert content_id(**REQUEST) != content_id(**{**REQUEST, **change})


@given(PARTS, PARTS)
def test_boundaries_between_parts_are_part_of_the_content(first, second):
    host = "site.test"
    contents = [content_id(a, host, b, c.encode()) for a, b, c in (first, second)]
    assert (contents[0] == contents[1]) == (first == second)

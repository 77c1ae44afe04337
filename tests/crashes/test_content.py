"""A request is known again by what it asks, and never taken for another one."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.crashes import content_id

ASKED = {
    "method": "POST",
    "host": "site.test",
    "target": "/score/1?a=1",
    "body": b"body",
    "identity": ("broker",),
}
PARTS = st.tuples(st.text(max_size=4), st.text(max_size=4), st.text(max_size=4))


def test_the_same_request_is_known_again():
    assert content_id(**ASKED) == content_id(**{**ASKED, "host": "SITE.test"})


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
def test_another_request_is_another_content(change):
    assert content_id(**ASKED) != content_id(**{**ASKED, **change})


@given(PARTS, PARTS)
def test_parts_do_not_run_into_each_other(first, second):
    host = "site.test"
    contents = [content_id(a, host, b, c.encode()) for a, b, c in (first, second)]
    assert (contents[0] == contents[1]) == (first == second)

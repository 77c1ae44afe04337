"""Numbers in headers, queries and events consist of ASCII digits."""

import pytest

from bankrudder.decoding import MAX_INT, decode_decimal


@pytest.mark.parametrize("text", ["0", "7", "0012", "9" * 18, str(MAX_INT)])
def test_digits_are_a_number(text):
    assert decode_decimal(text) == decode_decimal(text.encode()) == int(text)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "-1",
        "+1",
        "1_0",
        " 1",
        "1 ",
        "1.0",
        "²",
        "٣",
        "x",
        str(MAX_INT + 1),
        "1" * 20,
    ],
)
def test_anything_else_is_none(text):
    """Some of these raised an error, and others were taken as numbers."""
    assert decode_decimal(text) is None
    assert decode_decimal(text.encode()) is None

"""Events of engines' streams, and streams that are not complete."""

import pytest

from bankrudder.fleet import StreamBrokenError, StreamEvent
from bankrudder.platform._events import parse_event


def test_an_event_has_a_number_data_and_a_version():
    block = b"x-weight-versions: 3\nid: 12\ndata: a\ndata:  b"
    assert parse_event(block) == StreamEvent(12, "a\n b", 3, block + b"\n\n")


@pytest.mark.parametrize("number", [b"-1", b"+1", b"1_0", b"1 0", b"", b"1" * 20])
def test_an_event_with_an_invalid_number_breaks_the_stream(number):
    """Numbers with a sign or an underscore were taken, and the text went on there."""
    with pytest.raises(StreamBrokenError):
        parse_event(b"id: " + number + b"\ndata: a")
    with pytest.raises(StreamBrokenError):
        parse_event(b"x-weight-versions: " + number + b"\nid: 1\ndata: a")


def test_two_events_that_ran_into_one_break_the_stream():
    """Their data were one piece under the later number."""
    with pytest.raises(StreamBrokenError):
        parse_event(b"id: 1\ndata: a\nid: 2\ndata: b")


def test_an_event_without_a_number_breaks_the_stream():
    with pytest.raises(StreamBrokenError):
        parse_event(b"data: a")

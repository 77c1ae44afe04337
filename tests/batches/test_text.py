"""Texts of samples: the order of events, and resumption from saved progress."""

import pytest

from bankrudder.batches._text import SampleText, can_resume
from bankrudder.batches._values import Progress
from bankrudder.fleet import StreamBrokenError, StreamEvent


def event(number):
    return StreamEvent(number, f"e{number}", None, b"")


def test_events_are_counted_by_version():
    text = SampleText()
    for number, version in enumerate([3, 3, 4]):
        text.add(event(number), version)
    assert (text.text, len(text)) == ("e0\ne1\ne2", 3)
    assert (text.versions, text.version_events) == ((3, 4), (2, 1))
    assert (text.last_number, text.next_number) == (2, 3)


@pytest.mark.parametrize("number", [0, 1, 3])
def test_an_event_out_of_order_is_rejected(number):
    text = SampleText()
    text.add(event(0), 1)
    text.add(event(1), 1)
    text.begin_run()
    with pytest.raises(StreamBrokenError):
        text.add(event(number), 1)
    assert len(text) == 2


@pytest.mark.parametrize("number", [-1, 2, 9])
def test_a_text_begins_with_the_first_event_of_a_stream(number):
    """A text that began later stood in the results without its first pieces."""
    text = SampleText()
    with pytest.raises(StreamBrokenError):
        text.add(event(number), 1)
    assert len(text) == 0
    text.add(event(1), 1)
    assert text.last_number == 1


@pytest.mark.parametrize("number", [0, 1, 3])
def test_of_two_events_of_a_run_out_of_order_neither_is_kept(number):
    """The event before one out of order may be the one with the wrong number."""
    text = SampleText()
    text.add(event(0), 1)
    text.add(event(1), 2)
    with pytest.raises(StreamBrokenError):
        text.add(event(number), 2)
    assert (text.text, text.versions, text.version_events) == ("e0", (1,), (1,))
    assert (text.last_number, text.next_number) == (0, 1)


def test_a_text_without_events_left_begins_again():
    text = SampleText()
    text.add(event(1), 1)
    with pytest.raises(StreamBrokenError):
        text.add(event(1), 1)
    assert (text.last_number, text.next_number, text.versions) == (-1, -1, ())


def test_text_resumes_from_saved_progress():
    text = SampleText()
    text.add(event(0), 2)
    later = SampleText()
    later.resume(text.progress)
    later.add(event(1), 3)
    assert (later.versions, later.version_events) == ((2, 3), (1, 1))


@pytest.mark.parametrize(
    ("versions", "events", "needs_single_version", "expected"),
    [
        ((3,), (1,), False, True),
        ((2, 3), (1, 1), False, False),
        ((3, 4), (1, 1), False, True),
        ((3, 4), (1, 1), True, False),
        ((3,), (), False, False),
        ((), (), False, False),
    ],
)
def test_saved_text_can_resume_depending_on_its_versions(
    versions, events, needs_single_version, expected
):
    progress = Progress(("e0",), versions, 1, False, events)
    assert (
        can_resume(progress, 3, needs_single_version=needs_single_version) is expected
    )

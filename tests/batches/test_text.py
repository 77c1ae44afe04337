"""Texts of samples: the order of events, and resumption from saved progress."""

import msgspec
import pytest

from bankrudder.batches._text import (
    MAX_TEXT_BYTES,
    SampleText,
    request_digest,
    resume_obstacle,
)
from bankrudder.batches._values import Batch, Progress, Sample
from bankrudder.fleet import (
    Generation,
    StreamBrokenError,
    StreamEvent,
    StreamOverrunError,
)

BATCH = Batch("b1", "r", "h", "m", 1, 0, ())


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


def test_a_text_that_is_too_long_is_refused():
    """Guards against a host that holds all that an engine sends without end."""
    text = SampleText()
    data = "a" * (MAX_TEXT_BYTES // 4)
    with pytest.raises(StreamOverrunError):
        for number in range(5):
            text.add(StreamEvent(number, data, None, b""), 1)
    assert len(text) == 3
    text.clear()
    text.add(event(0), 1)
    assert text.text == "e0"


def test_text_resumes_from_saved_progress():
    text = SampleText()
    text.add(event(0), 2)
    later = SampleText()
    later.resume(text.progress)
    later.add(event(1), 3)
    assert (later.versions, later.version_events) == ((2, 3), (1, 1))


@pytest.mark.parametrize(
    ("versions", "events", "needs_single_version", "obstacle"),
    [
        ((3,), (1,), False, ""),
        ((2, 3), (1, 0), False, "old version"),
        ((3, 4), (1, 0), False, ""),
        ((3, 4), (1, 0), True, "several versions"),
        ((3,), (), False, "inconsistent"),
        ((3, 4), (1, 1), False, "inconsistent"),
        ((), (), False, "old version"),
    ],
)
def test_saved_text_can_resume_depending_on_its_versions(
    versions, events, needs_single_version, obstacle
):
    progress = Progress(("e0",), versions, 1, False, events, "digest")
    found = resume_obstacle(
        progress, "digest", 3, needs_single_version=needs_single_version
    )
    assert found == obstacle


@pytest.mark.parametrize("next_number", [-1, 0, 1, 4, 9])
def test_saved_text_whose_numbers_do_not_fit_its_events_is_not_used(next_number):
    """The events of the next run were put behind a text of another length."""
    progress = Progress(("e0", "e1"), (3,), next_number, False, (2,), "digest")
    found = resume_obstacle(progress, "digest", 3, needs_single_version=False)
    assert found == "inconsistent"


@pytest.mark.parametrize("next_number", [2, 3])
def test_saved_text_is_used_wherever_its_stream_is_numbered_from(next_number):
    progress = Progress(("e0", "e1"), (3,), next_number, False, (2,), "digest")
    assert not resume_obstacle(progress, "digest", 3, needs_single_version=False)


@pytest.mark.parametrize(
    "change",
    [
        {"target": "/other"},
        {"body": b"other"},
        {"headers": (("X-Model", "other"),)},
        {"generation": Generation("m", 8)},
    ],
)
def test_samples_with_another_request_have_another_digest(change):
    sample = Sample("s", "/generate", (("X-Model", "m"),), b"prompt", "g")
    other = msgspec.structs.replace(sample, **change)
    assert request_digest(BATCH, sample) != request_digest(BATCH, other)


def test_the_digest_of_a_request_is_the_same_in_a_later_batch():
    headers = (("X-Model", "m"), ("X-Token-Counts", "1,2"))
    sample = Sample("s", "/generate", headers, b"prompt", "g", 5)
    later = msgspec.structs.replace(sample, headers=headers[::-1], group="g2")
    later_batch = msgspec.structs.replace(BATCH, id="b2", min_version=4)
    assert request_digest(BATCH, sample) == request_digest(later_batch, later)
    other = msgspec.structs.replace(later_batch, workspace="w")
    assert request_digest(BATCH, sample) != request_digest(other, sample)

"""Log lines are limited in rate, never block on a reader, and are all counted."""

import os

import pytest
import structlog

from bankrudder.logs import LogRateLimiter, NonBlockingSink
from bankrudder.logs._limit import INFO_LINES_PER_S, WARNING_LINES_PER_S
from bankrudder.logs._sink import MAX_BUFFERED_BYTES


@pytest.fixture
def limit(manual_clock):
    return LogRateLimiter(manual_clock)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def passed_lines(limit, level, count, event="relay: answered"):
    lines = []
    for _ in range(count):
        try:
            lines.append(limit(None, level, {"event": event}))
        except structlog.DropEvent:
            continue
    return lines


def test_each_event_has_its_own_limit(limit):
    assert len(passed_lines(limit, "info", 1000)) == INFO_LINES_PER_S
    assert len(passed_lines(limit, "info", 3, "batches: accepted")) == 3


def test_warnings_have_a_higher_limit(limit):
    assert len(passed_lines(limit, "warning", 1000)) == WARNING_LINES_PER_S
    assert WARNING_LINES_PER_S > INFO_LINES_PER_S


def test_the_next_line_has_the_number_of_suppressed_lines(limit, manual_clock):
    passed_lines(limit, "info", INFO_LINES_PER_S + 7)
    manual_clock.advance(1.0)
    [line] = passed_lines(limit, "info", 1)
    assert line["lines_left_out_before"] == 7


def test_suppressed_lines_are_counted(limit):
    passed_lines(limit, "info", 1000)
    assert limit.totals["relay: answered", "info"] == 1000


def test_a_full_pipe_drops_lines_and_counts_them(pipe):
    _, writer = pipe
    sink = NonBlockingSink(writer)
    line = "x" * 1023 + "\n"
    for _ in range(MAX_BUFFERED_BYTES // 1024 + 200):
        sink.write(line)
    assert sink.dropped_count > 0


def test_buffered_lines_are_complete_once_the_reader_continues(pipe):
    reader, writer = pipe
    sink = NonBlockingSink(writer)
    for number in range(100):
        sink.write(f"{number:01023d}\n")
    text = b""
    while text.count(b"\n") < 100:
        text += os.read(reader, 65536)
        sink.flush()
    numbers = [int(line) for line in text.decode().split()]
    assert numbers == list(range(100))


def test_a_closed_reader_causes_no_error(pipe):
    reader, writer = os.pipe()
    sink = NonBlockingSink(writer)
    os.close(reader)
    sink.write("line\n")
    assert sink.dropped_count == 1
    os.close(writer)

"""Logs: the fields of a line, and the content that must never reach one."""

import io
import json
import logging

import pytest
import structlog

from bankrudder.observe import LogFormat, LogLevel, configure_logging

SECRET = "passport 123"


@pytest.fixture
def log_lines(manual_clock):
    """Configure JSON logs; return a function that returns the lines so far."""
    stream = io.StringIO()
    configure_logging(LogFormat.JSON, LogLevel.INFO, clock=manual_clock, stream=stream)
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    structlog.reset_defaults()
    logging.basicConfig(force=True)


def test_a_line_has_its_event_fields_and_level(log_lines):
    structlog.get_logger("pools").warning("pools: endpoint ejected", endpoint="e1")
    (line,) = log_lines()
    assert line["event"] == "pools: endpoint ejected"
    assert line["endpoint"] == "e1"
    assert line["level"] == "warning"
    assert line["timestamp"].endswith("+00:00")


def test_a_line_below_the_level_is_dropped(log_lines):
    structlog.get_logger("pools").debug("pools: endpoint asked")
    assert log_lines() == []


@pytest.mark.parametrize("field", ["payload", "prompt", "token", "authorization"])
def test_fields_that_may_hold_payloads_are_withheld(log_lines, field):
    structlog.get_logger("calls").info("calls: refused", **{field: SECRET})
    assert SECRET not in json.dumps(log_lines())


def test_byte_strings_are_withheld_under_any_name(log_lines):
    structlog.get_logger("calls").info("calls: refused", found=SECRET.encode())
    assert SECRET not in json.dumps(log_lines())


def test_the_message_of_an_exception_is_withheld(log_lines):
    try:
        raise ValueError(SECRET)
    except ValueError:
        structlog.get_logger("peers").exception("peers: handler failed")
    (line,) = log_lines()
    assert SECRET not in json.dumps(line)
    assert line["exception"] == "ValueError"
    assert "test_logs.py" in line["frames"][0]


def test_library_lines_have_the_same_format(log_lines):
    try:
        raise ValueError(SECRET)
    except ValueError:
        logging.getLogger("aiohttp.server").exception("Error handling request")
    (line,) = log_lines()
    assert line["event"] == "Error handling request"
    assert line["exception"] == "ValueError"
    assert SECRET not in json.dumps(line)

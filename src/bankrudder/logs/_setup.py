"""Configuration of structlog and logging that keeps payloads out of log lines."""

import logging
import sys
import traceback
from datetime import UTC, datetime
from enum import Enum
from types import TracebackType
from typing import TextIO, cast

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

from bankrudder.logs._limit import LogRateLimiter
from bankrudder.logs._sink import NonBlockingSink
from bankrudder.world import Clock, SystemClock

MAX_VALUE_LENGTH = 400
"""Length in characters to which string values are cut."""

MAX_FRAMES = 12
"""Number of innermost frames of a traceback that are logged."""

WITHHELD_FIELDS = frozenset(
    {"authorization", "body", "data", "payload", "prompt", "text", "token"}
)
"""Fields whose values are never written, whatever their type."""

WITHHELD = "<withheld>"


class LogFormat(Enum):
    """Format of log lines."""

    JSON = "json"
    TEXT = "text"


class LogLevel(Enum):
    """Lowest level of the lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def configure_logging(
    format: LogFormat = LogFormat.JSON,
    level: LogLevel = LogLevel.INFO,
    *,
    clock: Clock | None = None,
    stream: TextIO | NonBlockingSink | None = None,
    limit: LogRateLimiter | None = None,
    host: str = "",
) -> None:
    """Write the log lines of this package and of its libraries to one stream.

    Byte strings, the values of `WITHHELD_FIELDS` and the messages of exceptions are
    left out, since they may hold what callers sent.

    Parameters
    ----------
    format : LogFormat
        JSON with one object per line, or text that people read.
    level : LogLevel
        Lines below it are dropped; lines of libraries also if they are below
        WARNING.
    clock : Clock, optional
        Source of the timestamps, the host's clock by default.
    stream : text file or NonBlockingSink, optional
        Destination of the lines, standard error by default.
    limit : LogRateLimiter, optional
        Rate limit for the lines of this package; none by default.
    host : str
        Name of the host, written with each line if it is not empty.
    """
    stream = stream or sys.stderr
    level_number = logging.getLevelNamesMapping()[level.name]
    shared_processors: list[Processor] = [
        structlog.processors.add_log_level,
        _timestamp_adder(clock or SystemClock()),
        _host_adder(host),
        _withhold_content,
        _format_exception,
    ]
    renderer = _renderer(format)
    structlog.configure(
        processors=[
            *([limit] if limit is not None else []),
            *shared_processors,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, stream)),
        cache_logger_on_first_use=False,
    )
    _configure_libraries(
        shared_processors, renderer, max(level_number, logging.WARNING), stream
    )


def _configure_libraries(
    shared_processors: list[Processor],
    renderer: Processor,
    level_number: int,
    stream: TextIO | NonBlockingSink,
) -> None:
    handler = logging.StreamHandler(cast(TextIO, stream))
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared_processors,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
        )
    )
    logging.basicConfig(handlers=[handler], level=level_number, force=True)


def _renderer(format: LogFormat) -> Processor:
    match format:
        case LogFormat.JSON:
            return structlog.processors.JSONRenderer(default=repr)
        case LogFormat.TEXT:
            return structlog.dev.ConsoleRenderer(colors=False)


def _timestamp_adder(clock: Clock) -> Processor:
    def stamp(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
        now = datetime.fromtimestamp(clock.wall(), UTC)
        event["timestamp"] = now.isoformat(timespec="milliseconds")
        return event

    return stamp


def _host_adder(host: str) -> Processor:
    def name(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
        if host:
            event["logged_by"] = host
        return event

    return name


def _withhold_content(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    for name, value in event.items():
        if name in WITHHELD_FIELDS or isinstance(value, (bytes, bytearray, memoryview)):
            event[name] = WITHHELD
        elif isinstance(value, str) and len(value) > MAX_VALUE_LENGTH:
            event[name] = value[:MAX_VALUE_LENGTH] + "..."
    return event


def _format_exception(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    # The message of the exception and the source lines are left out on purpose: a
    # message may hold what callers sent.
    error = _exception_of(event.pop("exc_info", None))
    if error is not None:
        event["exception"] = type(error).__qualname__
        event["frames"] = _formatted_frames(error.__traceback__)
    return event


def _exception_of(exc_info: object) -> BaseException | None:
    match exc_info:
        case BaseException():
            return exc_info
        case (_, BaseException() as error, _):
            return error
        case True:
            return sys.exc_info()[1]
        case _:
            return None


def _formatted_frames(trace: TracebackType | None) -> list[str]:
    summary = traceback.extract_tb(trace)[-MAX_FRAMES:]
    return [
        f"{_shortened_path(frame.filename)}:{frame.lineno} {frame.name}"
        for frame in summary
    ]


def _shortened_path(path: str) -> str:
    return "/".join(path.split("/")[-2:])

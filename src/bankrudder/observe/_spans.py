"""Spans: one hop of a request in progress, and its record once it has finished."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

import msgspec

from bankrudder.exceptions import BankrudderError
from bankrudder.world import Clock, HostId

MAX_ATTRIBUTE_LENGTH = 128
"""Length in characters to which string attributes are cut."""

MS_PER_S = 1000.0
TRACEPARENT_VERSION = "00"
TRACEPARENT_LENGTHS = (2, 32, 16, 2)
"""Numbers of hexadecimal digits of the version, trace, parent span and flags."""

AttributeValue = str | int | float | bool


class SpanRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A finished span as ``bankrudder trace`` shows it.

    Attributes
    ----------
    trace_id, span_id, parent_id : str
        Hexadecimal; `parent_id` is empty for the first span of a trace.
    start_s : float
        Wall time of the start, in seconds since the Unix epoch.
    duration_ms : float
        Measured on the monotonic clock.
    failed : bool
        Whether an exception ended the span. Cancellation and the closing of a
        generator are no failures.
    """

    trace_id: str
    span_id: str
    name: str
    host: HostId
    start_s: float
    duration_ms: float
    parent_id: str = ""
    failed: bool = False
    attributes: dict[str, AttributeValue] = {}


class ParentSpan(msgspec.Struct, frozen=True):
    """Trace and span identifiers of a ``traceparent`` header."""

    trace_id: str
    span_id: str

    @classmethod
    def from_traceparent(cls, traceparent: str) -> Self | None:
        """Parse `traceparent`; return None if it is empty or malformed."""
        fields = traceparent.split("-")
        if tuple(map(len, fields)) != TRACEPARENT_LENGTHS:
            return None
        try:
            _, trace_id, span_id, _ = (int(field, 16) for field in fields)
        except ValueError:
            return None
        if not trace_id or not span_id:
            return None
        return cls(f"{trace_id:032x}", f"{span_id:016x}")


class Span:
    """A hop in progress, used as a context manager that starts and finishes it.

    Parameters
    ----------
    clock : Clock
        Source of the start time and of the duration.
    on_end : callable
        Receives the record of the finished span.
    """

    __slots__ = (
        "_attributes",
        "_clock",
        "_failed",
        "_host",
        "_name",
        "_on_end",
        "_parent_id",
        "_span_id",
        "_start_monotonic_s",
        "_start_s",
        "_trace_id",
    )

    def __init__(
        self,
        name: str,
        host: HostId,
        trace_id: str,
        span_id: str,
        parent_id: str,
        clock: Clock,
        on_end: Callable[[SpanRecord], None],
    ):
        self._name = name
        self._host = host
        self._trace_id = trace_id
        self._span_id = span_id
        self._parent_id = parent_id
        self._clock = clock
        self._on_end = on_end
        self._attributes: dict[str, AttributeValue] = {}
        self._failed = False
        self._start_s = 0.0
        self._start_monotonic_s = 0.0

    @property
    def traceparent(self) -> str:
        """W3C ``traceparent`` header value for the next hop."""
        return f"{TRACEPARENT_VERSION}-{self._trace_id}-{self._span_id}-01"

    @property
    def trace_id(self) -> str:
        """Hexadecimal identifier of the trace."""
        return self._trace_id

    def set(self, **attributes: AttributeValue) -> None:
        """Set attributes; values that are neither strings nor numbers are ignored."""
        for name, value in attributes.items():
            if isinstance(value, str):
                self._attributes[name] = value[:MAX_ATTRIBUTE_LENGTH]
            elif isinstance(value, (int, float)):
                self._attributes[name] = value

    def fail(self, error: BaseException) -> None:
        """Mark the span as failed and record the kind of the error.

        The message is never recorded, since it may hold what callers sent.
        """
        self._failed = True
        if isinstance(error, BankrudderError):
            failure = error.failure
            self.set(failure=failure.kind.value, reason=failure.reason.value)
        else:
            self.set(error=type(error).__qualname__)

    def __enter__(self) -> Self:
        self._start_monotonic_s = self._clock.monotonic()
        self._start_s = self._clock.wall()
        return self

    def __exit__(
        self,
        _: type[BaseException] | None,
        error: BaseException | None,
        __: TracebackType | None,
    ) -> None:
        if isinstance(error, (asyncio.CancelledError, GeneratorExit)):
            self.set(cancelled=True)
        elif error is not None:
            self.fail(error)
        elapsed_s = self._clock.monotonic() - self._start_monotonic_s
        self._on_end(
            SpanRecord(
                self._trace_id,
                self._span_id,
                self._name,
                self._host,
                self._start_s,
                elapsed_s * MS_PER_S,
                self._parent_id,
                self._failed,
                self._attributes,
            )
        )


def encode_record(record: SpanRecord) -> str:
    """Return `record` as one line of JSON."""
    return msgspec.json.encode(record).decode()

"""Spans: one hop in progress, and what is kept of it."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

import msgspec

from bankrudder.exceptions import BankrudderError
from bankrudder.world import Clock, HostId

MAX_ATTRIBUTE_LENGTH = 128
MS_PER_S = 1000.0
TRACEPARENT_VERSION = "00"
TRACEPARENT_LENGTHS = (2, 32, 16, 2)

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
        Measured on the monotonic clock, in milliseconds.
    failed : bool
        Whether an exception other than a cancellation ended it.
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
    """Identifiers that a ``traceparent`` carries."""

    trace_id: str
    span_id: str

    @classmethod
    def from_traceparent(cls, traceparent: str) -> Self | None:
        """Return what `traceparent` names, None if it is empty or malformed."""
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
    """A hop in progress; entering it starts it, leaving it finishes it.

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
        "_start_s",
        "_started",
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
        self._started = 0.0

    @property
    def traceparent(self) -> str:
        """W3C ``traceparent`` to hand to the next hop."""
        return f"{TRACEPARENT_VERSION}-{self._trace_id}-{self._span_id}-01"

    @property
    def trace_id(self) -> str:
        """Hexadecimal identifier of the whole trace."""
        return self._trace_id

    def set(self, **attributes: AttributeValue) -> None:
        """Add names, ids or numbers; anything else is left out."""
        for name, value in attributes.items():
            if isinstance(value, str):
                self._attributes[name] = value[:MAX_ATTRIBUTE_LENGTH]
            elif isinstance(value, (int, float)):
                self._attributes[name] = value

    def fail(self, error: BaseException) -> None:
        """Mark the hop as failed, by the error's type and never its message."""
        self._failed = True
        if isinstance(error, BankrudderError):
            failure = error.failure
            self.set(failure=failure.kind.value, reason=failure.reason.value)
        else:
            self.set(error=type(error).__qualname__)

    def __enter__(self) -> Self:
        self._started = self._clock.monotonic()
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
        elapsed = self._clock.monotonic() - self._started
        self._on_end(
            SpanRecord(
                self._trace_id,
                self._span_id,
                self._name,
                self._host,
                self._start_s,
                elapsed * MS_PER_S,
                self._parent_id,
                self._failed,
                self._attributes,
            )
        )


def encode_record(record: SpanRecord) -> str:
    """Return `record` as one line of JSON."""
    return msgspec.json.encode(record).decode()

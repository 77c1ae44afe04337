"""Traces: a span for each hop of a request, linked by ``traceparent``.

A span takes its parent as an argument and is never attached to a context variable: a
generator that is closed early runs its cleanup in another context than its body. Spans
are small records, which are converted to OpenTelemetry spans only for export.
"""

import asyncio
import random
from collections import deque
from typing import TYPE_CHECKING, Self

from bankrudder.observe._spans import (
    AttributeValue,
    ParentSpan,
    Span,
    SpanRecord,
    encode_record,
)
from bankrudder.observe._trace_settings import NoTraceExport, TraceExport
from bankrudder.world import Clock, HostId, SystemClock

if TYPE_CHECKING:
    from bankrudder.observe._export import SpanExport

RECENT_SPANS = 2048
"""Finished spans that a node keeps in memory; they take about 1 MB."""

ID_ATTRIBUTES = ("request", "batch", "sample")
"""Attributes by which a trace can be looked up, besides its own identifier."""

TRACE_ID_BITS = 128
SPAN_ID_BITS = 64


class Tracer:
    """Creates the spans of one node and keeps the most recent ones.

    Parameters
    ----------
    host : HostId
        Name of this node on its spans.
    export : TraceExport
        Destination of finished spans besides memory.
    clock : Clock, optional
        Source of start times and durations, the host's clock by default.

    Raises
    ------
    OSError
        If the file of a `FileTraceExport` cannot be opened.
    """

    def __init__(self, host: HostId, export: TraceExport, clock: Clock | None = None):
        self._host = host
        self._clock = clock or SystemClock()
        self._rng = random.Random()
        self._recent: deque[SpanRecord] = deque(maxlen=RECENT_SPANS)
        self._export = _make_span_export(host, export)

    @classmethod
    def from_config(
        cls,
        host: HostId,
        export: TraceExport | None = None,
        clock: Clock | None = None,
    ) -> Self:
        """Make a tracer; without `export`, spans are only kept in memory."""
        return cls(host, export or NoTraceExport(), clock)

    def span(self, name: str, parent: str = "", **attributes: AttributeValue) -> Span:
        """Return a span, which lasts for the ``with`` block that enters it.

        Parameters
        ----------
        name : str
            Component and hop, such as ``calls.entry``.
        parent : str
            ``traceparent`` of the previous hop; an empty or malformed one starts a
            new trace.
        **attributes
            Names, identifiers and numbers; never content that a caller sent.
        """
        parent_span = ParentSpan.from_traceparent(parent)
        span = Span(
            name,
            self._host,
            parent_span.trace_id if parent_span else self._new_trace_id(),
            f"{self._rng.getrandbits(SPAN_ID_BITS):016x}",
            parent_span.span_id if parent_span else "",
            self._clock,
            self._finish,
        )
        span.set(**attributes)
        return span

    def find_spans(self, identifier: str) -> tuple[str, ...]:
        """Return the spans of a trace that this node still keeps, as JSON.

        Each is an encoded `SpanRecord`, in the order in which the spans finished.

        Parameters
        ----------
        identifier : str
            Identifier of a trace, or of a request, batch or sample in it.
        """
        traces = {r.trace_id for r in self._recent if _matches(r, identifier)}
        return tuple(encode_record(r) for r in self._recent if r.trace_id in traces)

    async def stop(self) -> None:
        """Export queued spans; an unreachable collector delays this by seconds."""
        if self._export is not None:
            await asyncio.to_thread(self._export.stop)

    def _new_trace_id(self) -> str:
        return f"{self._rng.getrandbits(TRACE_ID_BITS):032x}"

    def _finish(self, record: SpanRecord) -> None:
        self._recent.append(record)
        if self._export is not None:
            self._export.send(record)


def _matches(record: SpanRecord, identifier: str) -> bool:
    if record.trace_id == identifier.lower():
        return True
    return any(record.attributes.get(name) == identifier for name in ID_ATTRIBUTES)


def _make_span_export(host: HostId, export: TraceExport) -> "SpanExport | None":
    if isinstance(export, NoTraceExport):
        return None
    # Imported only where it is needed: OpenTelemetry takes about 10 MB of memory.
    from bankrudder.observe._export import SpanExport

    return SpanExport(host, export)

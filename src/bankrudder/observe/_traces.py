"""Traces: a span for each hop of a request, linked by ``traceparent``.

Spans name their parents themselves and are never attached to a context: a generator
that is left early runs its last lines in another context than its own. A span is a
light record; it becomes OpenTelemetry's only when it is exported.
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
"""Finished spans that a node keeps in memory, about a megabyte."""

ID_ATTRIBUTES = ("request", "batch", "sample")
"""Attributes by which spans are found, besides the trace's identifier."""

TRACE_ID_BITS = 128
SPAN_ID_BITS = 64


class Tracer:
    """Makes the spans of one node and keeps the last of them.

    Parameters
    ----------
    host : HostId
        Name of this node on its spans.
    export : TraceExport
        Where finished spans go besides memory.
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
        self._export = _export_of(host, export)

    @classmethod
    def from_config(
        cls,
        host: HostId,
        export: TraceExport | None = None,
        clock: Clock | None = None,
    ) -> Self:
        """Make a tracer; without `export`, spans stay in memory."""
        return cls(host, export or NoTraceExport(), clock)

    def span(self, name: str, parent: str = "", **attributes: AttributeValue) -> Span:
        """Return a span to enter with ``with``; it lasts until the block ends.

        Parameters
        ----------
        name : str
            Part and hop, such as ``calls.entry``.
        parent : str
            ``traceparent`` of the hop before; one that is empty or malformed
            begins a new trace.
        **attributes
            Names, ids and numbers; never what a caller sent.
        """
        origin = ParentSpan.from_traceparent(parent)
        span = Span(
            name,
            self._host,
            origin.trace_id if origin else self._new_trace_id(),
            f"{self._rng.getrandbits(SPAN_ID_BITS):016x}",
            origin.span_id if origin else "",
            self._clock,
            self._finish,
        )
        span.set(**attributes)
        return span

    def spans_of(self, wanted: str) -> tuple[str, ...]:
        """Return the spans of a trace that this node still holds, as JSON.

        Each is a `SpanRecord`; they come in the order in which they finished.

        Parameters
        ----------
        wanted : str
            Identifier of a trace, or of a request, batch or sample in it.
        """
        traces = {r.trace_id for r in self._recent if _is_about(r, wanted)}
        return tuple(encode_record(r) for r in self._recent if r.trace_id in traces)

    async def stop(self) -> None:
        """Send what waits to be exported; a dead collector delays it by seconds."""
        if self._export is not None:
            await asyncio.to_thread(self._export.stop)

    def _new_trace_id(self) -> str:
        return f"{self._rng.getrandbits(TRACE_ID_BITS):032x}"

    def _finish(self, record: SpanRecord) -> None:
        self._recent.append(record)
        if self._export is not None:
            self._export.send(record)


def _is_about(record: SpanRecord, wanted: str) -> bool:
    if record.trace_id == wanted.lower():
        return True
    return any(record.attributes.get(name) == wanted for name in ID_ATTRIBUTES)


def _export_of(host: HostId, export: TraceExport) -> "SpanExport | None":
    if isinstance(export, NoTraceExport):
        return None
    # Imported late: OpenTelemetry costs some ten megabytes.
    from bankrudder.observe._export import SpanExport

    return SpanExport(host, export)

"""Export of spans through OpenTelemetry.

This module is imported only on nodes that export spans, since OpenTelemetry takes much
memory.
"""

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)

from bankrudder.observe._spans import SpanRecord
from bankrudder.observe._trace_settings import FileTraceExport, OtlpTraceExport
from bankrudder.world import HostId

OTLP_PATH = "/v1/traces"
OTLP_TIMEOUT_S = 2.0
"""Longest wait for a response of the collector."""

NS_PER_S = 1_000_000_000
MS_PER_S = 1000.0
SAMPLED = trace.TraceFlags(trace.TraceFlags.SAMPLED)


class SpanExport:
    """Exports the spans of one node to the destination in its settings.

    Raises
    ------
    OSError
        If the file of a `FileTraceExport` cannot be opened.
    """

    def __init__(self, host: HostId, export: FileTraceExport | OtlpTraceExport):
        self._resource = Resource({"service.name": "bankrudder", "host.name": host})
        self._processor = BatchSpanProcessor(_make_exporter(export))

    def send(self, record: SpanRecord) -> None:
        """Queue a finished span for export."""
        self._processor.on_end(_to_readable_span(record, self._resource))

    def stop(self) -> None:
        """Export queued spans; an unreachable collector delays this by seconds."""
        self._processor.shutdown()  # type: ignore[no-untyped-call]


def _make_exporter(export: FileTraceExport | OtlpTraceExport) -> SpanExporter:
    match export:
        case FileTraceExport(path):
            return _FileExporter(path)
        case OtlpTraceExport(address):
            url = f"http://{address}{OTLP_PATH}"
            return OTLPSpanExporter(endpoint=url, timeout=OTLP_TIMEOUT_S)


class _FileExporter(ConsoleSpanExporter):
    """Appends spans to a file, which it closes at shutdown."""

    def __init__(self, path: str):
        self._file = open(path, "a", buffering=1)  # noqa: SIM115 - closed at shutdown
        super().__init__(out=self._file, formatter=_format_line)

    def shutdown(self) -> None:
        self._file.close()


def _format_line(span: ReadableSpan) -> str:
    return str(span.to_json(indent=None)) + "\n"


def _to_readable_span(record: SpanRecord, resource: Resource) -> ReadableSpan:
    """Convert `record` to the type that OpenTelemetry exporters take."""
    trace_id = int(record.trace_id, 16)
    parent = None
    if record.parent_id:
        parent = _span_context(trace_id, record.parent_id, is_remote=True)
    code = trace.StatusCode.ERROR if record.failed else trace.StatusCode.UNSET
    start_ns = int(record.start_s * NS_PER_S)
    return ReadableSpan(
        record.name,
        context=_span_context(trace_id, record.span_id, is_remote=False),
        parent=parent,
        resource=resource,
        attributes=record.attributes,
        status=trace.Status(code),
        start_time=start_ns,
        end_time=start_ns + int(record.duration_ms / MS_PER_S * NS_PER_S),
    )


def _span_context(trace_id: int, span_id: str, *, is_remote: bool) -> trace.SpanContext:
    return trace.SpanContext(trace_id, int(span_id, 16), is_remote, SAMPLED)

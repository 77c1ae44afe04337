"""Export of spans through OpenTelemetry; imported only where spans are exported."""

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
"""Longest wait for a collector."""

NS_PER_S = 1_000_000_000
MS_PER_S = 1000.0
SAMPLED = trace.TraceFlags(trace.TraceFlags.SAMPLED)


class SpanExport:
    """Sends the spans of one node to where the settings say.

    Raises
    ------
    OSError
        If the file of a `FileTraceExport` cannot be opened.
    """

    def __init__(self, host: HostId, export: FileTraceExport | OtlpTraceExport):
        self._resource = Resource({"service.name": "bankrudder", "host.name": host})
        self._processor = BatchSpanProcessor(_exporter_of(export))

    def send(self, record: SpanRecord) -> None:
        """Send a finished span some time later."""
        self._processor.on_end(_exportable(record, self._resource))

    def stop(self) -> None:
        """Send what waits; a dead collector delays it by seconds."""
        self._processor.shutdown()  # type: ignore[no-untyped-call]


def _exporter_of(export: FileTraceExport | OtlpTraceExport) -> SpanExporter:
    match export:
        case FileTraceExport(path):
            return _FileExporter(path)
        case OtlpTraceExport(address):
            url = f"http://{address}{OTLP_PATH}"
            return OTLPSpanExporter(endpoint=url, timeout=OTLP_TIMEOUT_S)


class _FileExporter(ConsoleSpanExporter):
    """Appends spans to a file of its own."""

    def __init__(self, path: str):
        self._file = open(path, "a", buffering=1)  # noqa: SIM115 - closed at shutdown
        super().__init__(out=self._file, formatter=_line)

    def shutdown(self) -> None:
        self._file.close()


def _line(span: ReadableSpan) -> str:
    return str(span.to_json(indent=None)) + "\n"


def _exportable(record: SpanRecord, resource: Resource) -> ReadableSpan:
    """Return `record` as OpenTelemetry's exporters take it."""
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

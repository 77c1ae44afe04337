"""Settings of traces: the destination of finished spans."""

import msgspec

from bankrudder.world import Address


class NoTraceExport(
    msgspec.Struct,
    frozen=True,
    tag="none",
    tag_field="to",
    forbid_unknown_fields=True,
):
    """Spans stay in the memory of the node."""


class FileTraceExport(
    msgspec.Struct,
    frozen=True,
    tag="file",
    tag_field="to",
    forbid_unknown_fields=True,
):
    """Spans are appended to a file as OpenTelemetry's JSON, one a line."""

    path: str


class OtlpTraceExport(
    msgspec.Struct,
    frozen=True,
    tag="otlp",
    tag_field="to",
    forbid_unknown_fields=True,
):
    """Spans are sent to a collector by OTLP over HTTP."""

    address: Address


TraceExport = NoTraceExport | FileTraceExport | OtlpTraceExport

"""What operators see of a node: logs, metrics, health, traces."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from bankrudder.logs import LogFormat, LogLevel, configure_logging
from bankrudder.observe._http import ObserveServer
from bankrudder.observe._metrics import (
    LATENCY_BUCKETS_S,
    Counter,
    Gauge,
    Histogram,
    MetricKind,
    Metrics,
    Sample,
    SampleSource,
)
from bankrudder.observe._process import ProcessUsage, memory_bytes, process_usage

if TYPE_CHECKING:
    from bankrudder.observe._spans import AttributeValue, Span, SpanRecord
    from bankrudder.observe._traces import (
        FileTraceExport,
        NoTraceExport,
        OtlpTraceExport,
        TraceExport,
        Tracer,
    )

_LAZY = {
    "AttributeValue": "_spans",
    "Span": "_spans",
    "SpanRecord": "_spans",
    "FileTraceExport": "_traces",
    "NoTraceExport": "_traces",
    "OtlpTraceExport": "_traces",
    "TraceExport": "_traces",
    "Tracer": "_traces",
}
"""Names whose modules need the tracing SDK. They are imported when first used: a
process without traces does not have to pay for it."""


def __getattr__(name: str) -> Any:
    if name not in _LAZY:
        raise AttributeError(name)
    return getattr(import_module(f"bankrudder.observe.{_LAZY[name]}"), name)


__all__ = [
    "LATENCY_BUCKETS_S",
    "AttributeValue",
    "Counter",
    "FileTraceExport",
    "Gauge",
    "Histogram",
    "LogFormat",
    "LogLevel",
    "MetricKind",
    "Metrics",
    "NoTraceExport",
    "ObserveServer",
    "OtlpTraceExport",
    "ProcessUsage",
    "Sample",
    "SampleSource",
    "Span",
    "SpanRecord",
    "TraceExport",
    "Tracer",
    "configure_logging",
    "memory_bytes",
    "process_usage",
]

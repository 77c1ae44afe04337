"""Observability of a node: logs, metrics, health checks and traces."""

from bankrudder.logs import LogFormat, LogLevel, configure_logging
from bankrudder.observe._http import MonitoringServer
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
from bankrudder.observe._spans import AttributeValue, Span, SpanRecord
from bankrudder.observe._trace_settings import (
    FileTraceExport,
    NoTraceExport,
    OtlpTraceExport,
    TraceExport,
)
from bankrudder.observe._traces import Tracer

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
    "MonitoringServer",
    "NoTraceExport",
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

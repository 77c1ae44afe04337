"""Structured logs: one line for each decision of the daemon."""

from bankrudder.logs._limit import LineLimit
from bankrudder.logs._setup import LogFormat, LogLevel, configure_logging
from bankrudder.logs._sink import NonBlockingSink

__all__ = [
    "LineLimit",
    "LogFormat",
    "LogLevel",
    "NonBlockingSink",
    "configure_logging",
]

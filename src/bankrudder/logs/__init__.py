"""Logs: one structured line for each decision."""

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

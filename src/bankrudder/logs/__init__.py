"""Structured logs: one line for each decision of the daemon."""

from bankrudder.logs._limit import LogRateLimiter
from bankrudder.logs._setup import LogFormat, LogLevel, configure_logging
from bankrudder.logs._sink import NonBlockingSink

__all__ = [
    "LogFormat",
    "LogLevel",
    "LogRateLimiter",
    "NonBlockingSink",
    "configure_logging",
]

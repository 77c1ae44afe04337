"""Logs: one structured line for each decision."""

from bankrudder.logs._setup import LogFormat, LogLevel, configure_logging

__all__ = ["LogFormat", "LogLevel", "configure_logging"]

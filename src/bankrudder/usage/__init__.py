"""Request counts of each workspace, reported to the platform per time window."""

from bankrudder.usage._counting import UsageCounter
from bankrudder.usage._reporting import REPORT_PAUSE_S, UsageReporter
from bankrudder.usage._storage import UsageRows, UsageWriter
from bankrudder.usage._table import (
    WindowState,
    WindowSummary,
    summarize_windows,
)
from bankrudder.usage._time import FleetTime, StoreClock
from bankrudder.usage._windows import ReportSchedule

__all__ = [
    "FleetTime",
    "REPORT_PAUSE_S",
    "ReportSchedule",
    "StoreClock",
    "UsageCounter",
    "UsageReporter",
    "UsageRows",
    "UsageWriter",
    "WindowState",
    "WindowSummary",
    "summarize_windows",
]

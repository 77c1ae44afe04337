"""Request counts of each workspace, reported to the platform per time window."""

from bankrudder.usage._counting import UsageBook
from bankrudder.usage._reporting import REPORT_PAUSE_S, UsageReporter
from bankrudder.usage._storage import UsageKeeper, UsageRows
from bankrudder.usage._table import (
    UsageLine,
    WindowState,
    usage_lines,
)
from bankrudder.usage._time import StoreClock, TrueTime
from bankrudder.usage._windows import UsageTerms

__all__ = [
    "REPORT_PAUSE_S",
    "StoreClock",
    "TrueTime",
    "UsageBook",
    "UsageKeeper",
    "UsageLine",
    "UsageReporter",
    "UsageRows",
    "UsageTerms",
    "WindowState",
    "usage_lines",
]

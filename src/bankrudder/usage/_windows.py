"""Usage windows: their bounds, and when each is reported."""

import math
from datetime import timedelta

import msgspec

from bankrudder.duties import UsageWindow

COMPLETE_REPORT_SHARE = 0.4
"""Share of the time between a window's end and its due time after which it is reported
if every host has been heard from. By then the requests that ran until the window's end
have been answered and counted."""

INCOMPLETE_REPORT_SHARE = 0.8
"""The same share if a host is silent, whose counts may arrive when it returns. The
remaining time allows another host to take over the duty and send the report."""


class ReportSchedule(msgspec.Struct, frozen=True):
    """Window length and report deadline that the platform requires.

    Attributes
    ----------
    length : timedelta
        Length of a window.
    due : timedelta
        Time after a window's end by which its report must arrive.
    """

    length: timedelta
    due: timedelta

    def window_at(self, fleet_time_s: float) -> UsageWindow:
        """Return the window that contains a time in seconds since the Unix epoch."""
        return UsageWindow(math.floor(fleet_time_s / self.length.total_seconds()))

    def end_of(self, window: UsageWindow) -> float:
        """Return the end of a window, in seconds since the Unix epoch."""
        return (window + 1) * self.length.total_seconds()

    def oldest_reportable(self, fleet_time_s: float) -> UsageWindow:
        """Return the oldest window whose report is not yet overdue."""
        return self.window_at(fleet_time_s - self.due.total_seconds())

    def should_report(
        self, window: UsageWindow, fleet_time_s: float, *, has_heard_all_hosts: bool
    ) -> bool:
        """Whether a window should be reported now."""
        share = (
            COMPLETE_REPORT_SHARE if has_heard_all_hosts else INCOMPLETE_REPORT_SHARE
        )
        return fleet_time_s >= self.end_of(window) + share * self.due.total_seconds()

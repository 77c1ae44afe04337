"""Windows of usage: where one ends, and when it is reported."""

import math
from datetime import timedelta

import msgspec

from bankrudder.duties import UsageWindow

EARLIEST_SHARE = 0.4
"""Share of the time until a report is due after which it is made, if every host was
heard: what ran until the window's end has been answered and counted by then."""

LATEST_SHARE = 0.8
"""The same if a host is silent, whose counts may come with its return; what is left
of the time is for another host to take the duty over and make the report."""


class UsageTerms(msgspec.Struct, frozen=True):
    """What the platform asks of reports.

    Attributes
    ----------
    length : timedelta
        Length of a window.
    due : timedelta
        Time after a window's end by which its report is due.
    """

    length: timedelta
    due: timedelta

    def window_at(self, true_time_s: float) -> UsageWindow:
        """Return the window of a moment, in seconds since the Unix epoch."""
        return UsageWindow(math.floor(true_time_s / self.length.total_seconds()))

    def end_of(self, window: UsageWindow) -> float:
        """Return the end of a window, in seconds since the Unix epoch."""
        return (window + 1) * self.length.total_seconds()

    def oldest_in_time(self, true_time_s: float) -> UsageWindow:
        """Return the oldest window whose report is not late yet."""
        return self.window_at(true_time_s - self.due.total_seconds())

    def should_report(
        self, window: UsageWindow, true_time_s: float, *, is_everyone_heard: bool
    ) -> bool:
        """Whether a window should be reported now."""
        share = EARLIEST_SHARE if is_everyone_heard else LATEST_SHARE
        return true_time_s >= self.end_of(window) + share * self.due.total_seconds()

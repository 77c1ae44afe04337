"""Usage windows: their bounds, and when each is reported.

The holder of the duty waits for the counts of silent hosts. The load pattern that
limits the wait is a store outage after an outage of hosts: hosts are cut off, the
window waits for them, and then the store is away until the window is overdue, so that
nothing can be stored and the holder's lease lapses. Therefore the holder stores a draft
of each report early, replaces it when the window is reported, and sends the draft as it
is if the store is away at that time or while the lease ends.
"""

import math
from datetime import timedelta
from enum import Enum

import msgspec

from bankrudder.duties import UsageWindow

COMPLETE_REPORT_SHARE = 0.4
"""Share of the time between a window's end and its due time after which it is reported
if every host has been heard from. By then the requests that ran until the window's end
have been answered and counted."""

INCOMPLETE_REPORT_SHARE = 0.8
"""The same share if a host is silent, whose counts may arrive when it returns. The
remaining time allows another host to take over the duty and send the report."""

DRAFT_SHARE = 0.25
"""The same share after which a draft of the report is stored. Hosts have stored the
counts of requests that were answered soon after the window's end by then, and the lease
of a holder that loses the store afterwards lasts until `COMPLETE_REPORT_SHARE`."""

REDRAFT_SHARE = 0.3
"""The same share between two drafts while a host is silent, whose counts may arrive.
Each draft reads the counts of all hosts, so there are at most two for a window."""

RETURN_SHARE = 0.1
"""The same share for which a host that was silent is heard before its counts are taken
as complete: its first heartbeat may arrive before the counts that it held back."""


class ReportStep(Enum):
    """What to do about a window now."""

    WAIT = "wait"
    DRAFT = "draft"
    """Store the counts so far as the report, to be replaced later."""

    REPORT = "report"
    """Store the final counts and send them, or send the draft without the store."""


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

    def is_complete(self, heard_for_s: float) -> bool:
        """Whether the counts of a window are complete.

        Parameters
        ----------
        heard_for_s : float
            Time for which every host has been heard from since the window's end.
        """
        return heard_for_s >= RETURN_SHARE * self.due.total_seconds()

    def next_step(
        self,
        window: UsageWindow,
        fleet_time_s: float,
        *,
        has_heard_all_hosts: bool,
        drafted_at: float | None,
        is_lease_ending: bool,
    ) -> ReportStep:
        """Return what to do about a window now.

        Parameters
        ----------
        drafted_at : float or None
            Fleet time of the holder's newest draft, None if there is none.
        is_lease_ending : bool
            Whether the holder's lease ends soon because it is not renewed. Another
            host acquires it only while the store is available, so without the store
            the draft is the last report before the due time.
        """
        is_drafted = drafted_at is not None
        if (is_drafted and is_lease_ending) or self.should_report(
            window, fleet_time_s, has_heard_all_hosts=has_heard_all_hosts
        ):
            return ReportStep.REPORT
        due_s = self.due.total_seconds()
        if fleet_time_s < self.end_of(window) + DRAFT_SHARE * due_s:
            return ReportStep.WAIT
        if drafted_at is None:
            return ReportStep.DRAFT
        is_outdated = fleet_time_s >= drafted_at + REDRAFT_SHARE * due_s
        if not has_heard_all_hosts and is_outdated:
            return ReportStep.DRAFT
        return ReportStep.WAIT

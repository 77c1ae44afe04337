"""Components that count the usage of each workspace and report it to the platform."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from bankrudder.duties import Duty, DutyApi
from bankrudder.leases import Lease, repeat_on_duty
from bankrudder.node._settings import DutySettings, NodeSettings, UsageSettings
from bankrudder.presence import Lifetime, Presence
from bankrudder.store import Store
from bankrudder.usage import (
    REPORT_PAUSE_S,
    FleetTime,
    ReportSchedule,
    UsageCounter,
    UsageReporter,
    UsageRows,
    UsageWriter,
)
from bankrudder.world import Clock

USAGE_LEASE = "usage"
"""Lease of the host that reports usage."""


class UsageComponents:
    """The counts of this host, and the duty of one host to report those of all."""

    def __init__(
        self,
        settings: NodeSettings,
        duties: DutySettings,
        usage: UsageSettings,
        api: DutyApi,
        lease: Lease,
        lifetime: Lifetime,
        presence: Presence,
        store: Store,
        time: FleetTime,
        clock: Clock,
    ):
        schedule = ReportSchedule(
            timedelta(seconds=usage.window_s), timedelta(seconds=usage.late_s)
        )
        host_expiry_s = usage.window_s + usage.late_s
        rows = UsageRows(store, clock)
        self.lease = lease
        self.counter = UsageCounter(schedule, time)
        self.writer = UsageWriter(
            self.counter, rows, settings.host, lifetime, presence.host_count
        )
        duty = Duty(USAGE_LEASE, api, lease, settings.host, duties.calls_per_s, clock)
        self._reporter = UsageReporter(
            duty,
            rows,
            schedule,
            time,
            lambda: lease.fence,
            lambda seconds: presence.seen.has_heard_all_hosts(
                settings.host, seconds, host_expiry_s
            ),
        )

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks, by name."""
        return {
            "usage lease": self.lease.run,
            "usage counts": self.writer.run,
            "usage reports": self._report,
        }

    async def _report(self) -> None:
        await repeat_on_duty(
            "reports of usage",
            lambda: self.lease.is_valid,
            REPORT_PAUSE_S,
            self._reporter.report_due_windows,
        )

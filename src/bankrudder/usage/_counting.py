"""In-memory request counts of one host, by window and workspace."""

from collections import Counter
from collections.abc import Mapping

from bankrudder.duties import UsageWindow
from bankrudder.usage._time import FleetTime
from bankrudder.usage._windows import ReportSchedule
from bankrudder.world import NO_WORKSPACE, WorkspaceName


class UsageCounter:
    """Counts the requests of this host that an endpoint has started to run."""

    def __init__(self, schedule: ReportSchedule, time: FleetTime):
        self._schedule = schedule
        self._time = time
        self._counts: dict[UsageWindow, Counter[WorkspaceName]] = {}
        self._unsaved_windows: set[UsageWindow] = set()

    @property
    def unsaved_windows(self) -> list[UsageWindow]:
        """Windows whose counts grew since they were last taken, oldest first."""
        return sorted(self._unsaved_windows)

    def note_begun(self, workspace: WorkspaceName, began_at: float) -> None:
        """Count a request in the window in which it started.

        Parameters
        ----------
        began_at : float
            Monotonic time at which the request started to run.
        """
        if workspace == NO_WORKSPACE:
            return
        window = self._schedule.window_at(self._time.time_at(began_at))
        self._counts.setdefault(window, Counter())[workspace] += 1
        self._unsaved_windows.add(window)

    def take_counts(self, window: UsageWindow) -> Mapping[WorkspaceName, int]:
        """Return all counts of a window and mark the window as saved."""
        self._unsaved_windows.discard(window)
        return dict(self._counts.get(window, {}))

    def mark_unsaved(self, window: UsageWindow) -> None:
        """Mark a window as unsaved again after its counts could not be written."""
        self._unsaved_windows.add(window)

    def oldest_reportable(self) -> UsageWindow:
        """Return the oldest window whose report is not yet overdue."""
        return self._schedule.oldest_reportable(self._time.now())

    def discard_before(self, window: UsageWindow) -> None:
        """Discard the counts of older windows, except those not yet saved."""
        for old in [each for each in self._counts if each < window]:
            if old not in self._unsaved_windows:
                del self._counts[old]

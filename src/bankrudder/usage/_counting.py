"""Counts of one host, by window and workspace."""

from collections import Counter
from collections.abc import Mapping

from bankrudder.duties import UsageWindow
from bankrudder.usage._time import TrueTime
from bankrudder.usage._windows import UsageTerms
from bankrudder.world import NO_WORKSPACE, WorkspaceName


class UsageBook:
    """Counts the requests that endpoints began to run for this host."""

    def __init__(self, terms: UsageTerms, time: TrueTime):
        self._terms = terms
        self._time = time
        self._counts: dict[UsageWindow, Counter[WorkspaceName]] = {}
        self._changed: set[UsageWindow] = set()

    @property
    def changed(self) -> list[UsageWindow]:
        """Windows whose counts grew since they were taken last, the oldest first."""
        return sorted(self._changed)

    def note_begun(self, workspace: WorkspaceName, began_at: float) -> None:
        """Count a request that began to run at a monotonic time."""
        if workspace == NO_WORKSPACE:
            return
        window = self._terms.window_at(self._time.at(began_at))
        self._counts.setdefault(window, Counter())[workspace] += 1
        self._changed.add(window)

    def take(self, window: UsageWindow) -> Mapping[WorkspaceName, int]:
        """Return all counts of a window, which is then not changed any more."""
        self._changed.discard(window)
        return dict(self._counts.get(window, {}))

    def put_back(self, window: UsageWindow) -> None:
        """Take a window for changed again: its counts were not kept."""
        self._changed.add(window)

    def oldest_in_time(self) -> UsageWindow:
        """Return the oldest window whose report is not late yet."""
        return self._terms.oldest_in_time(self._time.now())

    def forget_before(self, window: UsageWindow) -> None:
        """Drop the counts of older windows that are kept elsewhere."""
        for old in [each for each in self._counts if each < window]:
            if old not in self._changed:
                del self._counts[old]

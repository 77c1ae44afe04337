"""Usage windows in the form shown to operators."""

from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from bankrudder.duties import UsageWindow
from bankrudder.world import WorkspaceName


class WindowState(Enum):
    """Reporting state of a window."""

    COUNTING = "counting"
    """No report is stored yet; the counts may still grow."""

    SETTLED = "settled"
    """The report is stored, but not known to have reached the platform."""

    REPORTED = "reported"
    REJECTED = "rejected"
    """The platform rejected the report as invalid; it is not sent again."""

    MISSING = "missing"
    """Neither counts nor a report are stored, unlike for earlier and later windows."""


class WindowSummary(msgspec.Struct, frozen=True):
    """One window and its counts so far."""

    window: UsageWindow
    state: WindowState
    counts: Mapping[WorkspaceName, int]


def summarize_windows(
    settled: Sequence[WindowSummary],
    counting: Mapping[UsageWindow, Mapping[WorkspaceName, int]],
    max_count: int,
) -> list[WindowSummary]:
    """Return the newest windows, oldest first.

    Parameters
    ----------
    settled : sequence of WindowSummary
        Windows whose reports are stored.
    counting : mapping
        Stored counts by window. Counts of settled windows are ignored.
    max_count : int
        Maximum number of windows to return.
    """
    summaries = {each.window: each for each in settled}
    for window, counts in counting.items():
        summaries.setdefault(
            window, WindowSummary(window, WindowState.COUNTING, counts)
        )
    if not summaries:
        return []
    first = max(min(summaries), max(summaries) - max_count + 1)
    last = max(summaries)
    return [
        summaries.get(window, WindowSummary(window, WindowState.MISSING, {}))
        for window in map(UsageWindow, range(first, last + 1))
    ]

"""Windows of usage as operators see them."""

from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from bankrudder.duties import UsageWindow
from bankrudder.world import WorkspaceName


class WindowState(Enum):
    """What became of a window."""

    COUNTING = "counting"
    """Not settled yet: counts may still grow."""

    SETTLED = "settled"
    """Its report is fixed, and not known to have been made."""

    REPORTED = "reported"
    REJECTED = "rejected"
    """The platform takes its report for wrong; it is not made again."""

    MISSING = "missing"
    """Others before and after it are reported, and nothing is kept of it."""


class UsageLine(msgspec.Struct, frozen=True):
    """One window and its counts so far."""

    window: UsageWindow
    state: WindowState
    counts: Mapping[WorkspaceName, int]


def usage_lines(
    settled: Sequence[UsageLine],
    counting: Mapping[UsageWindow, Mapping[WorkspaceName, int]],
    most: int,
) -> list[UsageLine]:
    """Return the newest windows, the oldest first.

    Parameters
    ----------
    counting : mapping
        Counts that are kept, by window; those of settled windows have no say.
    most : int
        Most windows that are returned.
    """
    lines = {each.window: each for each in settled}
    for window, counts in counting.items():
        lines.setdefault(window, UsageLine(window, WindowState.COUNTING, counts))
    if not lines:
        return []
    first = max(min(lines), max(lines) - most + 1)
    last = max(lines)
    return [
        lines.get(window, UsageLine(window, WindowState.MISSING, {}))
        for window in map(UsageWindow, range(first, last + 1))
    ]

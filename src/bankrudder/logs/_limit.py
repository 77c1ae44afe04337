"""Rate limit for log lines, which also counts all lines by event."""

from collections import Counter
from collections.abc import Iterator, Mapping

import structlog
from structlog.typing import EventDict, WrappedLogger

from bankrudder.world import Clock

INFO_LINES_PER_S = 40
"""Largest number of lines of one event per second at levels below WARNING."""

WARNING_LINES_PER_S = 120
"""Largest number of lines of one event per second at levels from WARNING on.

It is higher than `INFO_LINES_PER_S` because lines of these levels are about requests
that were refused, failed or taken over.
"""

WINDOW_S = 1.0

_WARNING_LEVELS = frozenset({"warning", "error", "critical"})


class LogRateLimiter:
    """A structlog processor that limits the lines of each event per second.

    It comes before the renderer in the chain of processors. All lines are counted,
    including suppressed ones. The first line that passes after suppressed lines of the
    same event carries their number in the field ``lines_left_out_before``.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._window_start_s = 0.0
        self._window_counts: Counter[str] = Counter()
        self._suppressed_counts: Counter[str] = Counter()
        self._totals: Counter[tuple[str, str]] = Counter()

    @property
    def totals(self) -> Mapping[tuple[str, str], int]:
        """Lines since the start by event and level, including suppressed lines."""
        return self._totals

    def __call__(self, _: WrappedLogger, level: str, event: EventDict) -> EventDict:
        """Return the line, or raise `structlog.DropEvent` if it is over the limit."""
        name = str(event.get("event", ""))
        self._totals[name, level] += 1
        now = self._clock.monotonic()
        if now - self._window_start_s >= WINDOW_S:
            self._window_start_s = now
            self._window_counts.clear()
        self._window_counts[name] += 1
        max_line_count = (
            WARNING_LINES_PER_S if level in _WARNING_LEVELS else INFO_LINES_PER_S
        )
        if self._window_counts[name] > max_line_count:
            self._suppressed_counts[name] += 1
            raise structlog.DropEvent
        suppressed_count = self._suppressed_counts.pop(name, 0)
        if suppressed_count:
            event["lines_left_out_before"] = suppressed_count
        return event

    def pop_suppressed_counts(self) -> Iterator[tuple[str, int]]:
        """Yield and reset the number of suppressed lines of each event."""
        while self._suppressed_counts:
            yield self._suppressed_counts.popitem()

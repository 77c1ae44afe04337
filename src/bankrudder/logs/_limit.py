"""A bound on the number of log lines, and a count of all of them."""

from collections import Counter
from collections.abc import Iterator, Mapping

import structlog
from structlog.typing import EventDict, WrappedLogger

from bankrudder.world import Clock

INFO_LINES_PER_S = 40
WARNING_LINES_PER_S = 120
"""Lines of one event that are written a second. Warnings are about requests that
were refused, failed or taken over, and are kept longest."""

WINDOW_S = 1.0

_SEVERE = frozenset({"warning", "error", "critical"})


class LineLimit:
    """Lets some lines of each event pass in a second, and counts all.

    Used as a processor of structlog, before lines are rendered.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._window = 0.0
        self._passed: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self._totals: Counter[tuple[str, str]] = Counter()

    @property
    def totals(self) -> Mapping[tuple[str, str], int]:
        """Lines since the start by event and level, left-out ones included."""
        return self._totals

    def __call__(self, _: WrappedLogger, level: str, event: EventDict) -> EventDict:
        """Pass a line on, or raise `structlog.DropEvent`."""
        name = str(event.get("event", ""))
        self._totals[name, level] += 1
        now = self._clock.monotonic()
        if now - self._window >= WINDOW_S:
            self._window = now
            self._passed.clear()
        self._passed[name] += 1
        most = WARNING_LINES_PER_S if level in _SEVERE else INFO_LINES_PER_S
        if self._passed[name] > most:
            self._left_out[name] += 1
            raise structlog.DropEvent
        left_out = self._left_out.pop(name, 0)
        if left_out:
            event["lines_left_out_before"] = left_out
        return event

    def overdue(self) -> Iterator[tuple[str, int]]:
        """Yield, once, the events of which lines were left out, and how many."""
        while self._left_out:
            yield self._left_out.popitem()

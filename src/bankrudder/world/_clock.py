"""The clock interface, and its implementation by the clocks of the host."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time; tests pass a clock that they advance themselves."""

    def monotonic(self) -> float:
        """Return seconds that never decrease and have no fixed origin."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """The clock of the host.

    Unlike Linux's CLOCK_MONOTONIC, its monotonic time includes time for which the host
    is suspended, so that a lease also expires during a suspension.
    """

    def monotonic(self) -> float:
        """Return the seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the seconds of the real-time clock."""
        return time.time()

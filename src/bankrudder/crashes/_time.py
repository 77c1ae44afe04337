"""Conversion of monotonic times of a host to Unix times."""

from bankrudder.crashes._values import UnixTime
from bankrudder.world import Clock

MIN_CLOCK_STEP_S = 0.5
"""Smallest change of the real-time clock against the monotonic clock that is taken as a
step of the real-time clock."""


class UnixTimes:
    """Converts times of this host's monotonic clock to Unix time.

    The order of two times of one host is preserved: the offset between the clocks
    changes only after a step of the real-time clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()

    def now(self) -> UnixTime:
        """Return the present time of the real-time clock."""
        return UnixTime(self._clock.wall())

    def at(self, monotonic: float) -> UnixTime:
        """Return the Unix time of a monotonic time."""
        offset = self._clock.wall() - self._clock.monotonic()
        if abs(offset - self._offset) > MIN_CLOCK_STEP_S:
            self._offset = offset
        return UnixTime(monotonic + self._offset)

"""A time of day that all hosts agree on although some of their clocks are wrong.

Usage windows must not depend on the wall clock of one host, which may be seconds off or
jump. The store reports the time of its own monotonic clock, whose epoch is unknown.
Each host therefore publishes how far its wall clock is ahead of the store's clock. The
median of these offsets is correct as long as most wall clocks are.
"""

import statistics
from collections import deque
from collections.abc import Callable, Collection

import msgspec

from bankrudder.world import Clock

MAX_COMPARISONS = 8
"""Number of clock comparisons kept, of which the one with the shortest round trip is
used. Each heartbeat yields one. While they are kept, the clocks drift by less than the
error of a comparison."""


MIN_PUBLISHED_CHANGE_S = 0.005
"""Change of a host's clock offset below which the host keeps publishing the former
value: half of the error of a comparison. Where one host reads the store for others, an
unchanged heartbeat is forwarded as a few bytes."""


class _ClockComparison(msgspec.Struct, frozen=True):
    """An offset between two clocks, accurate to half of the round trip."""

    offset_s: float
    round_trip_s: float


class StoreClock:
    """Estimates the store's monotonic clock from the timestamps in its answers."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._comparisons: deque[_ClockComparison] = deque(maxlen=MAX_COMPARISONS)
        self._published_s: float | None = None

    def record_store_time(self, sent_at: float, store_time_s: float) -> None:
        """Record the store's time from an answer that has just arrived.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the call was sent.
        store_time_s : float
            Time of the store's clock in the answer, 0 if the answer has none.
        """
        if not store_time_s:
            return
        now = self._clock.monotonic()
        middle = (sent_at + now) / 2
        self._comparisons.append(_ClockComparison(store_time_s - middle, now - sent_at))

    def time_at(self, monotonic_s: float) -> float | None:
        """Return the store's time at a monotonic time of this host.

        Returns
        -------
        float or None
            None before the first clock comparison.
        """
        if not self._comparisons:
            return None
        best = min(self._comparisons, key=lambda comparison: comparison.round_trip_s)
        return monotonic_s + best.offset_s

    def wall_ahead_s(self) -> float | None:
        """Return how far this host's wall clock is ahead of the store's clock.

        Returns
        -------
        float or None
            None before the first clock comparison.
        """
        now = self.time_at(self._clock.monotonic())
        if now is None:
            return None
        offset_s = self._clock.wall() - now
        if (
            self._published_s is None
            or abs(offset_s - self._published_s) > MIN_PUBLISHED_CHANGE_S
        ):
            self._published_s = offset_s
        return self._published_s


class FleetTime:
    """The time of day by the majority of the hosts' wall clocks.

    Parameters
    ----------
    wall_ahead_values : callable
        Returns, for each host, how far its wall clock is ahead of the store's clock.
    """

    def __init__(
        self,
        store_clock: StoreClock,
        wall_ahead_values: Callable[[], Collection[float]],
        clock: Clock,
    ):
        self._store_clock = store_clock
        self._wall_ahead_values = wall_ahead_values
        self._clock = clock

    def now(self) -> float:
        """Return the seconds since the Unix epoch."""
        return self.time_at(self._clock.monotonic())

    def time_at(self, monotonic_s: float) -> float:
        """Return the agreed time of day at a monotonic time of this host.

        Until an offset to the store's clock is known, this host's own wall clock is
        used.
        """
        store_time = self._store_clock.time_at(monotonic_s)
        ahead = self._wall_ahead_values()
        if store_time is None or not ahead:
            return self._clock.wall() - (self._clock.monotonic() - monotonic_s)
        return store_time + statistics.median(ahead)

"""True time, from many clocks of which some are wrong.

Windows of usage go by true time, and a host's time of day may be seconds off or jump.
The store tells the time of its own steady clock, of no known origin. So each host tells
how far its time of day is ahead of the store's clock; the median over all hosts is
right as long as most clocks are.
"""

import statistics
from collections import deque
from collections.abc import Callable, Collection

import msgspec

from bankrudder.world import Clock

KEPT_READINGS = 8
"""Readings of which the most exact one counts: a heartbeat brings one, and the clocks
that are compared drift by less in that time than the reading is inexact."""


STEADY_S = 0.005
"""Change of a host's difference below which it goes on telling the former one: half of
what a reading is inexact by. Where one host reads the store for others, a heartbeat
that says nothing new is passed on as a few bytes."""


class _Reading(msgspec.Struct, frozen=True):
    """A comparison of two clocks, inexact by half of the time that it took."""

    ahead_s: float
    took_s: float


class StoreClock:
    """The store's steady clock, as far as its answers tell it."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._readings: deque[_Reading] = deque(maxlen=KEPT_READINGS)
        self._told_s: float | None = None

    def note(self, sent_at: float, store_time_s: float) -> None:
        """Note the store's time in an answer that has just come.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which its call was sent.
        store_time_s : float
            0 if the answer does not tell it.
        """
        if not store_time_s:
            return
        now = self._clock.monotonic()
        middle = (sent_at + now) / 2
        self._readings.append(_Reading(store_time_s - middle, now - sent_at))

    def at(self, moment: float) -> float | None:
        """Return the store's time at a monotonic time of this host.

        None before the first reading.
        """
        if not self._readings:
            return None
        best = min(self._readings, key=lambda reading: reading.took_s)
        return moment + best.ahead_s

    def wall_ahead_s(self) -> float | None:
        """Return how far this host's time of day is ahead of the store's clock."""
        now = self.at(self._clock.monotonic())
        if now is None:
            return None
        ahead_s = self._clock.wall() - now
        if self._told_s is None or abs(ahead_s - self._told_s) > STEADY_S:
            self._told_s = ahead_s
        return self._told_s


class TrueTime:
    """The time of day that most hosts agree on.

    Parameters
    ----------
    others : callable
        How far the time of day of each host is ahead of the store's clock.
    """

    def __init__(
        self, store: StoreClock, others: Callable[[], Collection[float]], clock: Clock
    ):
        self._store = store
        self._others = others
        self._clock = clock

    def now(self) -> float:
        """Return the seconds since the Unix epoch."""
        return self.at(self._clock.monotonic())

    def at(self, moment: float) -> float:
        """Return the true time of a monotonic time of this host.

        Before anything is known of the store's clock this host's own is believed.
        """
        store_time = self._store.at(moment)
        ahead = self._others()
        if store_time is None or not ahead:
            return self._clock.wall() - (self._clock.monotonic() - moment)
        return store_time + statistics.median(ahead)

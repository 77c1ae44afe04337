"""Rates and means that forget exponentially."""

import math


class DecayingRate:
    """Events per second, with a memory of `memory_s`."""

    def __init__(self, memory_s: float = 1.0):
        self._memory_s = memory_s
        self._count = 0.0
        self._at = 0.0

    def note(self, now: float) -> None:
        """Record an event."""
        self._count = self._count_at(now) + 1.0
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the recent rate in events per second."""
        return self._count_at(now) / self._memory_s

    def _count_at(self, now: float) -> float:
        age_s = max(now - self._at, 0.0)
        return self._count * math.exp(-age_s / self._memory_s)


class DecayingMean:
    """Mean of a value over time, with a memory of `memory_s`."""

    def __init__(self, memory_s: float = 0.25):
        self._memory_s = memory_s
        self._mean = 0.0
        self._latest = 0.0
        self._at = -math.inf

    @property
    def value(self) -> float:
        """The mean at the time of the latest value."""
        return self._mean

    def note(self, value: float, now: float) -> None:
        """Record a value, which holds until the next one."""
        kept = math.exp((self._at - now) / self._memory_s)
        self._mean = kept * self._mean + (1 - kept) * self._latest
        self._latest = value
        self._at = now

    def restart(self, value: float, now: float) -> None:
        """Forget earlier values, so that the mean is `value` at first."""
        self._mean = self._latest = value
        self._at = now

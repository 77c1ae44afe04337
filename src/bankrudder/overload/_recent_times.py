"""Quantiles of recent times, from a small histogram.

A service whose endpoints slow down or are lost answers at another speed within a few
answers. A mean hides the spread that decides whether an answer can still come in time,
and a list of all times would have to be sorted for each decision. Counts in buckets of
equal ratio give any quantile within `BUCKET_RATIO`; halving the counts forgets old
times.
"""

import math

BUCKET_RATIO = 1.1
"""Ratio of the bounds of a bucket, which is the precision of a quantile."""

SHORTEST_S = 0.001
"""Upper bound of the first bucket."""

BUCKET_COUNT = 120
"""Number of buckets; the last one begins at 76 s."""

MAX_WEIGHT = 40.0
"""Sum of the counts at which they are halved: a change of speed then shows within about
20 answers, and the lowest tenth still consists of several."""


class RecentTimes:
    """Recent times, such as those from the sending of a request to its answer."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._weight = 0.0
        self._quantiles: dict[float, float] = {}

    @property
    def weight(self) -> float:
        """Number of recent times, of which old ones count for less."""
        return self._weight

    def note(self, seconds: float) -> None:
        """Record a time."""
        self._quantiles.clear()
        if self._weight >= MAX_WEIGHT:
            self._counts = {
                each: count / 2 for each, count in self._counts.items() if count > 0.1
            }
            self._weight = sum(self._counts.values())
        bucket = _bucket(seconds)
        self._counts[bucket] = self._counts.get(bucket, 0.0) + 1.0
        self._weight += 1.0

    def quantile_s(self, share: float) -> float | None:
        """Return the time below which a share of the recent times lies.

        None before the first time.
        """
        if not self._weight:
            return None
        # A decision on a long line asks for the same quantile for each request.
        if share not in self._quantiles:
            self._quantiles[share] = self._computed_quantile_s(share)
        return self._quantiles[share]

    def _computed_quantile_s(self, share: float) -> float:
        left = share * self._weight
        for bucket in sorted(self._counts):
            left -= self._counts[bucket]
            if left <= 0:
                break
        return float(SHORTEST_S * BUCKET_RATIO ** (bucket - 0.5))


def _bucket(seconds: float) -> int:
    if seconds <= SHORTEST_S:
        return 0
    steps = math.ceil(math.log(seconds / SHORTEST_S, BUCKET_RATIO))
    return min(steps, BUCKET_COUNT - 1)

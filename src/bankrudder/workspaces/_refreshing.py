"""Rate limit for refreshing the configuration before an unknown key is refused.

A key is valid from the moment at which the operator's change is stored, but hosts learn
of the change up to about a second later. A caller does not retry after its key is
refused, so a host reads the newest configuration once more before it refuses the key.
These refreshes are shared and limited in rate, so that requests with unknown keys
cannot cause an unlimited number of store reads.
"""

from collections.abc import Callable

from bankrudder.world import Clock


class UnknownKeyRefreshLimiter:
    """Limits the rate of one host's refreshes, which the caller carries out.

    Parameters
    ----------
    pause_s : callable
        Returns the minimum number of seconds from the start of one refresh to the
        start of the next.
    """

    def __init__(self, pause_s: Callable[[], float], clock: Clock):
        self._pause_s = pause_s
        self._clock = clock
        self._started_at: float | None = None

    def due_in_s(self) -> float:
        """Return the seconds until a refresh may start."""
        if self._started_at is None:
            return 0.0
        return max(self._started_at + self._pause_s() - self._clock.monotonic(), 0.0)

    def begin(self) -> None:
        """Record that a refresh starts now."""
        self._started_at = self._clock.monotonic()

"""When the newest configuration is looked at before an unknown key is refused.

A key works from the moment at which the operator's change is stored, while hosts learn
of it within a second or so. A caller does not come back after a refusal for its key, so
a host looks once more before it refuses. Whoever sends unknown keys all day must not
buy reads of the store with them, so looks are shared and bounded in rate.
"""

from collections.abc import Callable

from bankrudder.world import Clock


class UnknownKeyRefresh:
    """Paces the looks of one host; it does none itself.

    Parameters
    ----------
    pause_s : callable
        Least seconds from the begin of one look to that of the next.
    """

    def __init__(self, pause_s: Callable[[], float], clock: Clock):
        self._pause_s = pause_s
        self._clock = clock
        self._began_at: float | None = None

    def due_in_s(self) -> float:
        """Return the seconds until a look may begin."""
        if self._began_at is None:
            return 0.0
        return max(self._began_at + self._pause_s() - self._clock.monotonic(), 0.0)

    def begin(self) -> None:
        """Note that a look begins."""
        self._began_at = self._clock.monotonic()

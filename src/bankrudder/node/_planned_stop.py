"""The schedule of a planned stop, within the grace period that the platform gives."""

import msgspec

MIN_ROTATION_S = 2.6
"""Shortest time for which a stopping node still answers new connections: the load
balancer checks readiness once a second and excludes a host after two failed checks."""

BATCHES_GRACE_SHARE = 0.55
"""Share of the grace period in which batches may still finish on this host before they
are handed over: most finish sooner, and a handover takes well under a second."""

CLOSE_MARGIN_S = 1.0
"""Time reserved at the end of the grace period for sending the last answers and for
closing connections."""

EXIT_MARGIN_S = 0.3
"""Time reserved at the very end for the exit of the process."""


class PlannedStop(msgspec.Struct, frozen=True):
    """The times of a planned stop, by the monotonic clock.

    Attributes
    ----------
    begun_at : float
        Time at which the stop was requested.
    grace_s : float
        Time after which the platform kills the process.
    """

    begun_at: float
    grace_s: float

    @property
    def rotation_ends_at(self) -> float:
        """Time until which the load balancer may open connections to this host."""
        return self.begun_at + MIN_ROTATION_S

    @property
    def handover_at(self) -> float:
        """Time at which batches are handed over."""
        return self.begun_at + BATCHES_GRACE_SHARE * self.grace_s

    @property
    def answers_end_at(self) -> float:
        """Time by which all requests must be answered."""
        return self.begun_at + max(self.grace_s - CLOSE_MARGIN_S, 0.0)

    @property
    def closed_at(self) -> float:
        """Time by which everything must be closed."""
        return self.begun_at + max(self.grace_s - EXIT_MARGIN_S, 0.0)

    def has_time_until(self, latest_end: float) -> bool:
        """Whether a request that may end as late as `latest_end` can be taken."""
        return latest_end <= self.answers_end_at

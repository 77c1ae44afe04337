"""Reports a host as not ready while the store rejects its calls.

The store may reject a third of the hosts for several seconds while it serves the
others. Trainers submit batches and read results at any host, each on a new connection.
A host without the store makes them wait and then refuses them, which delays the
training step by one or two seconds.

Such a host therefore reports that it is not ready, and after two checks the load
balancer sends new connections to the other hosts. In a store outage no host is ready,
and the balancer uses all of them as before. A host that is not ready still serves the
requests that it receives.
"""

from datetime import timedelta

from bankrudder.world import Clock

UNREADY_AFTER = timedelta(milliseconds=300)
"""Time for which calls to the store must have failed: longer than the retry after a
single lost reply takes, and shorter than the second between two readiness checks."""


def is_store_unreachable(failing_since: float | None, clock: Clock) -> bool:
    """Whether this host's calls to the store have failed for `UNREADY_AFTER`.

    Parameters
    ----------
    failing_since : float or None
        Monotonic time of the first of the consecutive failed calls, None if the last
        call succeeded.
    """
    if failing_since is None:
        return False
    return clock.monotonic() - failing_since >= UNREADY_AFTER.total_seconds()

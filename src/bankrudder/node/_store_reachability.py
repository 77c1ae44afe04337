"""Whether a host should be sent requests, by what it can do for them.

Pattern: the store turns a third of the hosts away for several seconds and serves the
others. Trainers submit batches and read results at any host, each on a new connection;
one that cannot reach the store keeps them waiting and refuses them in the end, and the
step that waits for its acceptance is late by one or two seconds.

Answer: such a host says that it is not ready, so the balancer sends new connections to
the others, after two questions. If the store is away for all, none is ready, and the
balancer uses all of them as before. What arrives nevertheless is tried as ever.
"""

from datetime import timedelta

from bankrudder.world import Clock

UNREADY_AFTER = timedelta(milliseconds=300)
"""Time for which calls to the store must have failed: longer than a single lost reply
takes to be asked again, and short of the second between two questions."""


def is_store_unreachable(fails_since: float | None, clock: Clock) -> bool:
    """Whether the calls of this host to the store have failed for a while.

    Parameters
    ----------
    fails_since : float or None
        Monotonic time of the first failed call in a row, None if calls succeed.
    """
    if fails_since is None:
        return False
    return clock.monotonic() - fails_since >= UNREADY_AFTER.total_seconds()

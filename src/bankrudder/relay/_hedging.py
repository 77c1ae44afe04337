"""The delay after which an idempotent request is hedged, sent to a second endpoint.

Most answers of a service take a similar time, a few take several times longer, and
occasionally an endpoint hangs. Hedging helps only against a hanging endpoint. A hedge
that is sent while the first attempt may still be answered in the ordinary way occupies
a second slot for the same work and opens a connection, and the connection of the slower
attempt is closed.

A hedge therefore waits until the first attempt takes much longer than the mean latency
of the service's endpoints, and at least half of the route's target. For answers of
0.2 s that are spread by a factor of 1.6, and a target of 0.8 s, this sends 1 % of the
requests twice, in place of 5 % with half of the target alone.
"""

from datetime import timedelta

MIN_TARGET_SHARE = 0.5
"""Earliest time for a hedge, as a share of the route's target: early enough for a
complete answer within the target."""

MEAN_LATENCY_FACTOR = 3.0
"""Multiple of the mean latency after which a hedge is sent. One answer in a hundred
takes this long where answers are spread by a factor of 1.6 around the mean."""

MAX_TARGET_SHARE = 0.9
"""Latest time for a hedge, as a share of the route's target: the mean latency may stem
from other requests that take longer."""

MIN_HEDGE_DELAY = timedelta(milliseconds=60)
"""Shortest delay of a hedge: three times the typical latency of a fast service."""


def hedge_delay(target: timedelta, mean_latency: timedelta | None) -> timedelta:
    """Return the delay after which a request is sent to a second endpoint.

    Parameters
    ----------
    target : timedelta
        Latency target of the route.
    mean_latency : timedelta or None
        Mean latency of the service's endpoints, None before the first answer.
    """
    earliest = max(MIN_TARGET_SHARE * target, MIN_HEDGE_DELAY)
    if mean_latency is None:
        return earliest
    latest = max(MAX_TARGET_SHARE * target, earliest)
    return min(max(MEAN_LATENCY_FACTOR * mean_latency, earliest), latest)

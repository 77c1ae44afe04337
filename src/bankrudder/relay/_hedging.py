"""When an idempotent request goes to a second endpoint as well.

Pattern: most answers of a service take about as long, a few take several times
longer, and now and then an endpoint hangs. A second send helps against the last only.
Sent while the first one may still be answered as usual, it takes a second slot for the
same work, opens a connection, and the one that loses is closed.

Answer: the second send waits until the first one takes much longer than what the
service's endpoints usually take, and at the earliest for half of the time in which an
answer is most useful. For answers of 0.2 s, spread as widely as a factor of 1.6, and a
target of 0.8 s, 1 % of the requests are sent twice in place of 5 %.
"""

from datetime import timedelta

TARGET_SHARE = 0.5
"""Share of a route's target after which a second endpoint is asked at the earliest:
early enough for a whole answer within the target."""

USUAL_FACTOR = 3.0
"""So many times as long as usual an answer takes once in a hundred, where answers are
spread by a factor of 1.6 around the usual time."""

LATEST_SHARE = 0.9
"""Share of a route's target after which a second endpoint is asked at the latest: what
is usual may have been learned from other, longer requests."""

LEAST = timedelta(milliseconds=60)
"""Shortest such time: three times the usual answer of a quick service."""


def hedge_after(target: timedelta, usual: timedelta | None) -> timedelta:
    """Return the time after which a request goes to a second endpoint.

    Parameters
    ----------
    target : timedelta
        Time within which an answer is most useful.
    usual : timedelta or None
        How long the service's endpoints usually take, None before the first answer.
    """
    earliest = max(TARGET_SHARE * target, LEAST)
    if usual is None:
        return earliest
    latest = max(LATEST_SHARE * target, earliest)
    return min(max(USUAL_FACTOR * usual, earliest), latest)

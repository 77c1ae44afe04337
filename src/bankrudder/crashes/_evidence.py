"""Whether an endpoint ended under a request that it left without an answer.

A connection that closes says little: endpoints lose answers, links are reset, planned
stops cut what outlasts them. An endpoint has ended if nobody listens at its address any
more, or if a later run of it is known. The first may also be a cut link that refuses
connections, which shows later: the platform goes on listing an endpoint whose
heartbeats reach it, or lists it again, and drops one that ended.
"""

from enum import Enum

from bankrudder.fleet import Reach, Readiness, TrackedEndpoint

SETTLE_S = 8.0
"""Time after which an endpoint that is still listed lives: the platform drops the entry
of one that ended after three heartbeats, about three seconds, and two more where the
store was away."""

OPEN_S = 3.0
"""Time in which a later run shows of an endpoint that seemed to live: it was back
before it was looked at, and is listed with its next heartbeat. What ends later is
another end."""

FINAL_S = 60.0
"""Time after which an endpoint that is not listed again has ended: cut links heal in
some tens of seconds."""


class Evidence(Enum):
    """What is known of an endpoint that gave no answer."""

    ENDED = "ended"
    PROBABLY_ENDED = "probably_ended"
    """It counts as ended until it shows that it lives."""

    OPEN = "open"
    """Nothing says that it ended, but that may show yet."""

    LIVES = "lives"


def first_evidence(target: TrackedEndpoint, reach: Reach) -> Evidence:
    """Return what is known as soon as a connection was tried."""
    if _was_to_end(target):
        return Evidence.LIVES
    if target.has_ended:
        return Evidence.ENDED
    if not target.is_listed:
        return Evidence.LIVES
    if reach is Reach.NOT_LISTENING:
        return Evidence.PROBABLY_ENDED
    return Evidence.OPEN


def later_evidence(
    target: TrackedEndpoint, before: Evidence, age_s: float, is_listed: bool | None
) -> Evidence:
    """Return what is known some time after the loss.

    Parameters
    ----------
    before : Evidence
        What was known until now, `OPEN` or `PROBABLY_ENDED`.
    age_s : float
        Seconds since the loss.
    is_listed : bool or None
        Whether the platform lists this run now, None while that is not known.
    """
    if _was_to_end(target):
        return Evidence.LIVES
    if target.has_ended:
        return Evidence.ENDED
    if before is Evidence.OPEN:
        return before if age_s < OPEN_S else Evidence.LIVES
    if is_listed and age_s >= SETTLE_S:
        return Evidence.LIVES
    return before if age_s < FINAL_S else Evidence.ENDED


def _was_to_end(target: TrackedEndpoint) -> bool:
    """Whether its end is a planned one."""
    return target.endpoint.readiness is Readiness.DRAINING

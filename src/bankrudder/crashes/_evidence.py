"""Evidence of whether an endpoint crashed while processing a request.

A closed connection is weak evidence: endpoints lose answers, connections are reset, and
planned stops cancel requests that outlast them. An endpoint is considered crashed if
its address refuses connections, or if a later run of it is known. A failing link may
refuse connections, too. The platform's list shows the difference later: an endpoint
whose heartbeats still reach the platform stays listed or is listed again, and a crashed
endpoint is removed.
"""

from enum import Enum

from bankrudder.fleet import ProbeResult, Readiness, TrackedEndpoint

LISTED_ALIVE_S = 8.0
"""Time after which an endpoint that is still listed is considered alive. The platform
removes the entry of a crashed endpoint after three heartbeats, about three seconds, or
two seconds later after a store outage."""

RESTART_DETECTION_S = 3.0
"""Time within which the restart of an endpoint that accepted connections is observed.
Such an endpoint restarted before the probe, and its new run is listed with the next
heartbeat. A restart that is observed later belongs to another crash."""

UNLISTED_ENDED_S = 60.0
"""Time after which an endpoint that is not listed is considered crashed: failed links
recover within some tens of seconds."""


class Evidence(Enum):
    """The evidence for a crash of an endpoint that gave no answer.

    ``ENDED`` stands for a crash, ``LIVES`` for any other cause.
    """

    ENDED = "ended"
    PROBABLY_ENDED = "probably_ended"
    """The endpoint counts as crashed until it is found to be alive."""

    OPEN = "open"
    """There is no evidence for a crash yet, but there may be later.

    The loss is a doubtful strike until then.
    """

    LIVES = "lives"


def first_evidence(target: TrackedEndpoint, probe_result: ProbeResult) -> Evidence:
    """Return the evidence after the first probe of the endpoint's address."""
    if _is_planned_stop(target):
        return Evidence.LIVES
    if target.has_ended:
        return Evidence.ENDED
    if not target.is_listed:
        return Evidence.LIVES
    if probe_result is ProbeResult.NOT_LISTENING:
        return Evidence.PROBABLY_ENDED
    return Evidence.OPEN


def later_evidence(
    target: TrackedEndpoint, before: Evidence, age_s: float, is_listed: bool | None
) -> Evidence:
    """Return the evidence some time after the loss.

    Parameters
    ----------
    before : Evidence
        Evidence so far, `OPEN` or `PROBABLY_ENDED`.
    age_s : float
        Seconds since the loss.
    is_listed : bool or None
        Whether the platform lists this run now, None while this is unknown.
    """
    if _is_planned_stop(target):
        return Evidence.LIVES
    if target.has_ended:
        return Evidence.ENDED
    if before is Evidence.OPEN:
        return before if age_s < RESTART_DETECTION_S else Evidence.LIVES
    if is_listed and age_s >= LISTED_ALIVE_S:
        return Evidence.LIVES
    return before if age_s < UNLISTED_ENDED_S else Evidence.ENDED


def _is_planned_stop(target: TrackedEndpoint) -> bool:
    """Whether the endpoint is draining, so that its end is planned."""
    return target.endpoint.readiness is Readiness.DRAINING

"""Limits of the attempts of a request: times, pauses, refusals."""

from bankrudder.relay._values import IncomingRequest
from bankrudder.routing import Route

REPLY_MARGIN_S = 0.03
"""Time reserved for sending the reply, so that it arrives before the deadline."""

MIN_SEND_S = 0.02
"""Minimum time left before the deadline for another attempt to be made."""

SUSPECT_PAUSE_S = 0.02
"""Pause of a suspect, a request during which endpoints crashed, while every remaining
endpoint works on another suspect. It is a fraction of a typical response time."""

MAX_SUSPECT_WAIT_S = 0.25
"""Longest time for which a suspect that is owed waits for an endpoint that works on no
other suspect: several times a typical response time. A series of crashes makes far more
suspects than there are endpoints, and all of them are due with the results of a step.
"""

MAX_REFUSALS = 6
"""Number of endpoint refusals after which a request is given up."""

ALL_FULL_PAUSE_S = 0.04
"""Pause after a refusal once all endpoints were tried: about a typical response time,
after which one of them has a free slot. Without the pause, `MAX_REFUSALS` refusals come
within a few milliseconds."""

RETRY_AFTER_S = 0.25
"""Retry delay sent with a refusal: a few times a typical response time, in which a full
endpoint finishes the requests that it runs."""


def route_deadline(request: IncomingRequest, route: Route) -> float:
    """Return the monotonic time by which the caller must have a first answer."""
    deadline = min(request.deadline, request.received_at + route.timeout_s)
    return deadline - REPLY_MARGIN_S

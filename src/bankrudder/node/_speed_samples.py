"""Gauges of the speed of endpoints that report the slowdown of their machines.

A host reports only endpoints that answered it, so that the number of samples does not
grow with the fleet.
"""

from collections.abc import Iterable

from bankrudder.fleet import TrackedEndpoint
from bankrudder.observe import Sample


def speed_samples(endpoints: Iterable[TrackedEndpoint], now: float) -> Iterable[Sample]:
    """Yield the gauges of the endpoints that are in use.

    Parameters
    ----------
    now : float
        Monotonic time.
    """
    for tracked in endpoints:
        speed = tracked.speed
        if speed is None:
            continue
        names = {
            "endpoint": tracked.endpoint.id,
            "service": tracked.endpoint.service,
        }
        for measured, seconds, bin_count in (
            ("latency", speed.latency_s, speed.latency_bin_count),
            ("gap", speed.gap_s, speed.gap_bin_count),
        ):
            if seconds is None:
                continue
            yield Sample.gauge(
                "bankrudder_endpoint_lasting_seconds",
                seconds,
                "Duration without momentary slowness, in seconds.",
                measured=measured,
                **names,
            )
            yield Sample.gauge(
                "bankrudder_endpoint_lasting_bins",
                bin_count,
                "Bins of time that the lasting duration is the median of.",
                measured=measured,
                **names,
            )
        yield Sample.gauge(
            "bankrudder_endpoint_slowdown",
            tracked.slowdown(now),
            "Expected duration of work at present, as a multiple of the lasting one.",
            **names,
        )
        yield Sample.gauge(
            "bankrudder_endpoint_report_age_seconds",
            speed.report_age_s(now),
            "Time since the last report of the endpoint's load, in seconds.",
            **names,
        )

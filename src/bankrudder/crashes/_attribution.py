"""Evidence that crashes during a request were not caused by it.

A request that crashes endpoints does so at the same point each time, by its position in
the answer or by the work since the start of the attempt, and nothing crashes while it
is not in progress. Neither holds for a long request that merely runs while endpoints of
its service crash one after the other.
"""

from collections.abc import Collection, Iterable, Mapping

from bankrudder.crashes._content import ContentId
from bankrudder.crashes._values import Crash, Strike
from bankrudder.fleet import EndpointRun

MIN_PROGRESS_EVENTS = 8
"""Number of events between the earliest and the latest crash from which on a request
certainly got past the point of a crash. An endpoint that the request crashes may return
one or two further events in each attempt."""

MIN_VARIATION_EVENTS = 3
"""Difference between the numbers of events of two attempts from which on the crashes
did not come at the same point of an attempt."""

MIN_UNRELATED_RATIO = 2
"""Number of crashes without a request for each one with it from which on its crashes
may be by chance although they came at the same point of its work."""

SERIES_GAP_S = 10.0
"""Time before the first and after the last crash during a request in which other
crashes of the service belong to the same series. Other hosts learn of a crash within
some seconds."""

StrikesByContent = Mapping[ContentId, Mapping[EndpointRun, Strike]]


def progress(strikes: Iterable[Strike]) -> int:
    """Return the number of events between the earliest and the latest crash."""
    return _spread(each.next_event for each in strikes)


def has_progressed(strikes: Iterable[Strike]) -> bool:
    """Whether a request got past the point at which an earlier endpoint crashed."""
    return progress(strikes) >= MIN_PROGRESS_EVENTS


def crashed_at_varying_points(strikes: Collection[Strike]) -> bool:
    """Whether the crashes during a request came at different points of its work."""
    variation = _spread(each.event_count for each in strikes)
    return variation >= MIN_VARIATION_EVENTS or has_progressed(strikes)


def is_amid_series(strikes: Collection[Strike], unrelated_count: int) -> bool:
    """Whether crashes at the same point may be by chance among those of a series.

    This is never assumed of a request that got no event.
    """
    has_begun = any(each.next_event for each in strikes)
    return has_begun and unrelated_count >= MIN_UNRELATED_RATIO * len(strikes)


def _spread(values: Iterable[int]) -> int:
    known = list(values)
    return max(known, default=0) - min(known, default=0)


def unrelated_crash_count(
    content: ContentId,
    strikes: StrikesByContent,
    crashes: Mapping[EndpointRun, Crash],
    limit: int,
) -> int:
    """Count the crashes of a series at which a content was not in progress.

    Crashes of a content with `limit` strikes or more at the same point do not count,
    because the content probably caused them.
    """
    own = strikes[content]
    services = {each.service for each in own.values()}
    first = min(each.lost_at for each in own.values()) - SERIES_GAP_S
    last = max(each.lost_at for each in own.values()) + SERIES_GAP_S
    unrelated = {
        run
        for run, crash in crashes.items()
        if crash.service in services and first <= crash.at <= last
    }
    unrelated -= own.keys()
    for other, runs in strikes.items():
        if (
            other != content
            and len(runs) >= limit
            and not crashed_at_varying_points(runs.values())
        ):
            unrelated -= runs.keys()
    return len(unrelated)

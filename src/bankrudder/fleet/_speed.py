"""The lasting speed of one run of an endpoint, apart from momentary slowness.

Load pattern: endpoints of one service run on machines of different speed, which they
share with other programs. At any moment, 15 % of the machines are 2.5 times slower for
a spell of about 600 ms. A mean over the latest answers follows each spell, and many
answers or events that come during one spell outweigh all others.

Durations are therefore collected in bins of time, and the median of the bins counts.
A spell fills a small part of the bins however much comes during it. Where the endpoint
reports the slowdown of its machine with a short answer, the duration is divided by it,
and by the work that waits, so that a few answers are enough.
"""

import math
from statistics import median

from bankrudder.fleet._values import ReportedLoad

BIN_S = 0.25
"""Duration of a bin in seconds: less than half of a spell of slowness."""

MAX_BIN_COUNT = 16
"""Number of bins kept. They cover 4 s with observations, in which spells of 600 ms for
15 % of the time fill half of the bins in one case of forty. A lasting change is known
once it fills more than half of them: `MAX_CHANGE_DELAY_S`."""

MAX_CHANGE_DELAY_S = (MAX_BIN_COUNT // 2 + 1) * BIN_S
"""Time with observations after which a change of the lasting speed is known."""

REPORT_SCOPE_S = 0.5
"""Time for which a reported slowdown explains a measured duration: less than a spell
lasts. It says little about longer durations, in which other programs start and stop."""

SLOWDOWN_DECAY_S = 0.3
"""Time constant with which a reported slowdown loses its weight. Requests are expected
to be answered within a few tenths of a second, and a spell that was reported longer ago
has probably ended by the time at which a request is processed."""

MAX_REPORT_AGE_S = 1.0
"""Age after which a report is ignored; the weight of its slowdown is 4 % by then."""


class BinnedMedian:
    """The median of durations by bins of time, bounded in memory.

    A bin holds the geometric mean of its durations, because durations are spread by
    factors. The median of bins of one duration each and of many each is then the same.
    """

    __slots__ = ("_bin_size", "_bin_until", "_logs", "_value")

    def __init__(self) -> None:
        self._logs: list[float] = []
        self._bin_size = 0
        self._bin_until = -math.inf
        self._value: float | None = None

    @property
    def value(self) -> float | None:
        """The median, None before the first duration."""
        return self._value

    @property
    def bin_count(self) -> int:
        """Number of bins that the median is taken of, by which it is uncertain."""
        return len(self._logs)

    def note(self, duration_s: float, now: float) -> None:
        """Add a duration; one that is not positive and finite is ignored."""
        if not 0 < duration_s < math.inf:
            return
        log = math.log(duration_s)
        if now >= self._bin_until:
            self._logs.append(log)
            del self._logs[:-MAX_BIN_COUNT]
            self._bin_size = 1
            self._bin_until = now + BIN_S
        else:
            self._bin_size += 1
            self._logs[-1] += (log - self._logs[-1]) / self._bin_size
        self._value = math.exp(median(self._logs))


class RunSpeed:
    """What a host knows of the speed of one run of an endpoint.

    Created with the first report of a slowdown, so that endpoints that are not used, or
    report none, take no memory for it.
    """

    __slots__ = ("_gaps", "_latencies", "_queueing", "_reported_at", "_slowdown")

    def __init__(self) -> None:
        self._gaps: BinnedMedian | None = None
        self._latencies: BinnedMedian | None = None
        self._slowdown = 1.0
        self._queueing = 1.0
        self._reported_at = -math.inf

    @property
    def gap_s(self) -> float | None:
        """Lasting time between stream events, None before the first events."""
        return None if self._gaps is None else self._gaps.value

    @property
    def latency_s(self) -> float | None:
        """Lasting latency of answers, None before the first answer."""
        return None if self._latencies is None else self._latencies.value

    @property
    def gap_bin_count(self) -> int:
        """Number of bins of time in which gaps between events were measured."""
        return 0 if self._gaps is None else self._gaps.bin_count

    @property
    def latency_bin_count(self) -> int:
        """Number of bins of time in which latencies were measured."""
        return 0 if self._latencies is None else self._latencies.bin_count

    def report_age_s(self, now: float) -> float:
        """Return the time since the last report."""
        return max(now - self._reported_at, 0.0)

    def slowdown(self, now: float) -> float:
        """Return the expected duration of work as a multiple of the lasting one.

        The reported slowdown decays towards 1, the usual duration, with its age.
        """
        age_s = self.report_age_s(now)
        if age_s > MAX_REPORT_AGE_S:
            return 1.0
        return 1.0 + (self._slowdown - 1.0) * math.exp(-age_s / SLOWDOWN_DECAY_S)

    def queueing(self, now: float) -> float:
        """Return the reported wait and work of a request, as a multiple of its work."""
        is_recent = self.report_age_s(now) <= MAX_REPORT_AGE_S
        return self._queueing if is_recent else 1.0

    def note_report(self, load: ReportedLoad, now: float) -> None:
        """Record a report of the endpoint's load."""
        self._slowdown = load.slowdown or 1.0
        self._queueing = 1.0 + load.waiting / load.slots
        self._reported_at = now

    def note_gap(self, gap_s: float, now: float) -> None:
        """Record the time between two events of a stream."""
        if self._gaps is None:
            self._gaps = BinnedMedian()
        self._gaps.note(gap_s / self._slowdown_during(gap_s, now), now)

    def note_latency(self, latency_s: float, now: float) -> None:
        """Record the latency of an answer, after the report that came with it."""
        if self._latencies is None:
            self._latencies = BinnedMedian()
        slowdown = self._slowdown_during(latency_s, now)
        queueing = self._queueing if now <= self._reported_at else 1.0
        self._latencies.note(latency_s / (slowdown * queueing), now)

    def _slowdown_during(self, duration_s: float, now: float) -> float:
        """Return the slowdown reported for a duration that has just ended, else 1."""
        is_explained = max(duration_s, now - self._reported_at) <= REPORT_SCOPE_S
        return self._slowdown if is_explained else 1.0

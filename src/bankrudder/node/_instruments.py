"""Metrics of a node."""

from collections.abc import Iterable

from bankrudder.logs import LogRateLimiter
from bankrudder.observe import Metrics, Sample
from bankrudder.relay import (
    Malformed,
    NotFound,
    NotRun,
    Relayed,
    Reply,
    StreamStarted,
    Unanswered,
    Unauthorized,
)
from bankrudder.routing import RouteKind
from bankrudder.world import HostId


class Instruments:
    """Histograms and counters of a node; gauges come from other sources of samples.

    Parameters
    ----------
    line_limit : LogRateLimiter
        Counts the log lines by event.
    """

    def __init__(self, metrics: Metrics, line_limit: LogRateLimiter):
        self._metrics = metrics
        self._line_limit = line_limit
        self._requests = metrics.histogram(
            "bankrudder_request_seconds",
            "Time from the reading of a request to its reply, in seconds.",
        )
        self._store_calls = metrics.histogram(
            "bankrudder_store_call_seconds",
            "Time of a call to the store, in seconds.",
        )
        metrics.add_source(self._decision_samples)

    @classmethod
    def from_config(cls, host: HostId, line_limit: LogRateLimiter) -> "Instruments":
        """Create the instruments of the node on `host`."""
        return cls(Metrics.from_config(host), line_limit)

    @property
    def metrics(self) -> Metrics:
        """All metrics of the node."""
        return self._metrics

    def observe_request(
        self, kind: RouteKind, reply: Reply | StreamStarted, seconds: float
    ) -> None:
        """Record a request and its duration."""
        outcome, reason = _outcome(reply)
        self._requests.observe(seconds, kind=kind.value, outcome=outcome, reason=reason)

    def observe_store_call(self, call: str, outcome: str, seconds: float) -> None:
        """Record a call to the store and its duration."""
        self._store_calls.observe(seconds, call=call, outcome=outcome)

    def _decision_samples(self) -> Iterable[Sample]:
        # Each decision logs one line. The totals include the lines that the limit
        # dropped, so they are the number of decisions.
        for (event, level), count in self._line_limit.totals.items():
            yield Sample.counter(
                "bankrudder_decisions_total",
                count,
                "Decisions and events, by their log line.",
                event=event,
                level=level,
            )


def _outcome(reply: Reply | StreamStarted) -> tuple[str, str]:
    match reply:
        case Relayed(status=status):
            return "answered", f"{status // 100}xx"
        case StreamStarted():
            return "streamed", ""
        case NotRun(reason=reason):
            return "not_run", reason.value
        case NotFound(reason=reason):
            return "not_found", reason.value
        case Unauthorized(reason=refusal):
            return "unauthorized", refusal.value
        case Unanswered(reason=reason):
            return "unanswered", reason.value
        case Malformed():
            return "malformed", ""

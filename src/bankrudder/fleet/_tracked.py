"""The state that this process tracks for one run of an endpoint."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import msgspec

from bankrudder.fleet._speed import RunSpeed
from bankrudder.fleet._values import Endpoint, EndpointRun, Readiness, ReportedLoad
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion

LATENCY_WEIGHT = 0.2
"""Weight of the newest value in the moving averages of the latency and of the time
between events, which follow a change within about ten values."""

FIRST_SUSPENSION_S = 0.4
"""Time for which an endpoint is suspended after its first failure. The time doubles
with each further failure, up to `MAX_SUSPENSION_S`."""

MAX_SUSPENSION_S = 3.0
"""Longest suspension of an endpoint. A restart takes a few seconds, and the endpoint's
new run is not suspended."""

LOADING_TIMEOUT_S = 2.0
"""Time after which an engine is assumed to have loaded a version if no completion is
reported, because the host that gives orders may fail meanwhile. It is twice the
duration of a load."""

MAX_LOAD_AGE_S = 1.0
"""Age after which a reported load is ignored."""

MAX_IDLE_CONNECTIONS = 64
"""Maximum number of idle connections that are counted for an endpoint. One host never
has this many samples in progress there."""


class TrackedEndpoint:
    """One run of an endpoint: its entry in the list and statistics of its requests.

    ``in_flight`` counts this host's requests at the endpoint. ``suspects`` counts those
    among them during which other endpoints crashed; since this endpoint may crash too,
    other requests are preferably sent elsewhere.

    Parameters
    ----------
    are_versions_known : bool
        Whether the versions in the entry are those of this run, and not of an earlier
        one.

    Notes
    -----
    Each host keeps an object for each endpoint, most of which it never sends to, so an
    unused object is kept small: 0.4 KB with slots and empty lists, as opposed to 1.3 KB
    with a dictionary, a deque and a set (traced allocations). The difference is 2.8 MB
    per host with 3,000 endpoints.
    """

    __slots__ = (
        "_endpoint",
        "_event_gap_s",
        "_failures",
        "_has_ended",
        "_idle_until",
        "_is_listed",
        "_is_readable",
        "_latency_s",
        "_load",
        "_load_at",
        "_loading",
        "_on_end",
        "_own_at_report",
        "_speed",
        "_suspended_until",
        "_versions",
        "in_flight",
        "suspects",
    )

    def __init__(self, endpoint: Endpoint, are_versions_known: bool = True):
        self.in_flight = 0
        self.suspects = 0
        self._endpoint = endpoint
        self._versions: dict[ModelName, ModelVersion] = {}
        if are_versions_known:
            self._note_versions(endpoint)
        self._loading: dict[ModelName, tuple[ModelVersion, float]] = {}
        self._latency_s: float | None = None
        self._event_gap_s: float | None = None
        self._load: ReportedLoad | None = None
        self._load_at = 0.0
        self._own_at_report = 0
        self._speed: RunSpeed | None = None
        self._idle_until: list[float] = []
        self._failures = 0
        self._suspended_until = 0.0
        self._is_listed = True
        self._is_readable = True
        self._has_ended = False
        self._on_end: list[Callable[[], None]] = []

    @property
    def endpoint(self) -> Endpoint:
        """The newest entry of the endpoint in the list."""
        return self._endpoint

    @property
    def run(self) -> EndpointRun:
        """The run that this object describes."""
        return self._endpoint.run

    @property
    def is_listed(self) -> bool:
        """Whether the platform lists the endpoint; if not, it gets no new requests."""
        return self._is_listed

    @property
    def is_readable(self) -> bool:
        """Whether the endpoint's newest entry in the list can be decoded."""
        return self._is_readable

    @property
    def has_ended(self) -> bool:
        """Whether a later run of this endpoint is known."""
        return self._has_ended

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent to the endpoint."""
        return (
            self._is_listed
            and self._is_readable
            and not self._has_ended
            and self._endpoint.readiness is Readiness.READY
        )

    @property
    def latency_s(self) -> float | None:
        """Moving average of the latency of answers, None before the first."""
        return self._latency_s

    @property
    def event_gap_s(self) -> float | None:
        """Moving average of the time between stream events, None before the first."""
        return self._event_gap_s

    @property
    def lasting_gap_s(self) -> float | None:
        """Time between stream events without momentary slowness of the machine.

        None before the first events. Where the endpoint reports no slowdown, it is the
        moving average.
        """
        if self._speed is None or not self.reports_slowdown:
            return self._event_gap_s
        return self._speed.gap_s or self._event_gap_s

    @property
    def lasting_latency_s(self) -> float | None:
        """Latency of answers without momentary slowness of the machine.

        None before the first answer. Where the endpoint reports no slowdown, it is the
        moving average.
        """
        if self._speed is None or not self.reports_slowdown:
            return self._latency_s
        return self._speed.latency_s or self._latency_s

    @property
    def speed(self) -> RunSpeed | None:
        """What is known of the run's speed, None unless it reports its slowdown."""
        return self._speed if self.reports_slowdown else None

    @property
    def reports_slowdown(self) -> bool:
        """Whether this run of the endpoint reports the slowdown of its machine."""
        return self._load is not None and self._load.slowdown is not None

    @property
    def versions(self) -> Mapping[ModelName, ModelVersion]:
        """The newest known version of each model that the endpoint serves."""
        return self._versions

    def version_of(self, model: ModelName) -> ModelVersion | None:
        """Return the newest known version of a model that the endpoint serves."""
        return self._versions.get(model)

    @property
    def is_trusted(self) -> bool:
        """Whether the endpoint has responded since its last failure, if any."""
        return self._failures == 0

    def is_suspended(self, now: float) -> bool:
        """Whether other endpoints are preferred because this one failed recently."""
        return now < self._suspended_until

    def is_connected(self, now: float) -> bool:
        """Whether this host is expected to have an idle open connection."""
        while self._idle_until and self._idle_until[0] <= now:
            self._idle_until.pop(0)
        return bool(self._idle_until)

    def other_hosts_load(self, now: float) -> int:
        """Return the requests of other hosts, by the last load report if recent."""
        if self._load is None or now - self._load_at > MAX_LOAD_AGE_S:
            return 0
        return max(self._load.running + self._load.waiting - self.in_flight, 0)

    def load(self, now: float) -> int:
        """Return the requests at the endpoint, by the last load report if recent.

        The requests that this host sent since the report are added to those reported.
        """
        if not self.reports_slowdown:
            return self.in_flight + self.other_hosts_load(now)
        if self._load is None or now - self._load_at > MAX_LOAD_AGE_S:
            return self.in_flight
        reported = self._load.running + self._load.waiting
        return max(reported - self._own_at_report, 0) + self.in_flight

    def slowdown(self, now: float) -> float:
        """Return the expected duration of work, as a multiple of the lasting one.

        It is 1 without a recent report of the slowdown of the endpoint's machine.
        """
        return 1.0 if self.speed is None else self.speed.slowdown(now)

    def usual_latency_s(self, now: float) -> float | None:
        """Return the latency that is expected of an answer, None before the first.

        Momentary slowness of the machine is left out; the reported queue counts.
        """
        if self.speed is None or self.speed.latency_s is None:
            return self._latency_s
        return self.speed.latency_s * self.speed.queueing(now)

    def free_slots(self, now: float) -> int:
        """Return the slots not known to be in use, negative if requests are queued."""
        return self._endpoint.slots - self.in_flight - self.other_hosts_load(now)

    def occupy(self, is_suspect: bool = False) -> Callable[[], None]:
        """Count a request of this host; return a callable to be called at its end."""
        self.in_flight += 1
        self.suspects += is_suspect
        self.take_connection()

        def release() -> None:
            self.in_flight -= 1
            self.suspects -= is_suspect

        return release

    def update(self, endpoint: Endpoint) -> None:
        """Apply a newer entry of the same run."""
        # An entry without a start time is assumed to belong to the known run.
        born = self._endpoint.born if endpoint.born is None else endpoint.born
        self._endpoint = msgspec.structs.replace(endpoint, born=born)
        self._is_listed = True
        self._is_readable = True
        self._note_versions(endpoint)

    def mark_unreadable(self) -> None:
        """Record that the entry cannot be decoded; no new requests until it can be."""
        self._is_readable = False

    def mark_unlisted(self) -> None:
        """Record that the platform no longer lists the endpoint."""
        self._is_listed = False

    def mark_ended(self) -> None:
        """Record that a later run of the endpoint has started."""
        self._has_ended = True
        for callback in list(self._on_end):
            callback()

    @contextmanager
    def end_callback(self, callback: Callable[[], None]) -> Iterator[None]:
        """Call `callback` once the run ends within the context, now if it has ended."""
        if self._has_ended:
            callback()
        self._on_end.append(callback)
        try:
            yield
        finally:
            self._on_end.remove(callback)

    def note_version(self, model: ModelName, version: ModelVersion) -> None:
        """Record that the endpoint serves a version.

        Versions only increase within one run, so an older version is ignored.
        """
        if version > self._versions.get(model, 0):
            self._versions[model] = version

    def note_loading(self, model: ModelName, version: ModelVersion, now: float) -> None:
        """Record that the endpoint loads a version and refuses samples of the model."""
        self._loading[model] = (version, now + LOADING_TIMEOUT_S)

    def is_loading(self, model: ModelName, now: float) -> bool:
        """Whether the endpoint refuses samples of a model while it loads a version."""
        version, until = self._loading.get(model, (ModelVersion(0), 0.0))
        return now < until and self._versions.get(model, 0) < version

    def _note_versions(self, endpoint: Endpoint) -> None:
        for state in endpoint.models:
            self.note_version(state.model, state.version)

    def note_answer(self, latency_s: float, now: float | None = None) -> None:
        """Record a complete answer, after the load report that came with it.

        Parameters
        ----------
        now : float, optional
            Monotonic time of the answer, by default that of the last load report.
        """
        self.note_alive()
        self._latency_s = _updated_mean(self._latency_s, latency_s)
        if self.speed is not None:
            self.speed.note_latency(latency_s, self._load_at if now is None else now)

    def note_connection(self, keep_alive_s: float, now: float) -> None:
        """Record how long the connection of an answer stays open, 0 if it is closed."""
        if keep_alive_s > 0:
            self._idle_until.append(now + keep_alive_s)
            del self._idle_until[:-MAX_IDLE_CONNECTIONS]

    def take_connection(self) -> None:
        """Record that a request uses an idle connection, if there is one."""
        if self._idle_until:
            self._idle_until.pop(0)

    def note_alive(self) -> None:
        """Record a response, such as the first event of a stream."""
        self._failures = 0
        self._suspended_until = 0.0

    def note_event_gap(self, gap_s: float, now: float | None = None) -> None:
        """Record the time between two events of a stream.

        Parameters
        ----------
        now : float, optional
            Monotonic time of the later event, by default that of the last load report.
        """
        self._event_gap_s = _updated_mean(self._event_gap_s, gap_s)
        if self.speed is not None:
            self.speed.note_gap(gap_s, self._load_at if now is None else now)

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Record the load that the endpoint reported."""
        self._load = load
        self._load_at = now
        self._own_at_report = self.in_flight
        if load.slowdown is not None:
            if self._speed is None:
                self._speed = RunSpeed()
            self._speed.note_report(load, now)

    def note_failure(self, now: float) -> float:
        """Record a missing answer; return the duration of the suspension in seconds."""
        self._failures += 1
        self._idle_until.clear()
        seconds: float = min(
            FIRST_SUSPENSION_S * 2 ** (self._failures - 1), MAX_SUSPENSION_S
        )
        self._suspended_until = now + seconds
        return seconds


def _updated_mean(mean: float | None, value: float) -> float:
    if mean is None:
        return value
    return mean + LATENCY_WEIGHT * (value - mean)

"""What this process knows of one run of an endpoint, beside what the platform lists."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import msgspec

from bankrudder.fleet._values import Endpoint, EndpointRun, Readiness, ReportedLoad
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion

LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in the mean latency: follows a change in some ten
answers."""

FIRST_SUSPENSION_S = 0.4
MAX_SUSPENSION_S = 3.0
"""An endpoint that gives no answer is left out this long, doubled up to the most;
a restart takes some seconds, and its new run is not left out."""

LOADING_S = 2.0
"""An engine that was said to load is taken to have loaded after this time, twice what a
load takes, if nobody says so: who gives orders may be lost meanwhile."""

LOAD_AGE_S = 1.0
"""Age in seconds after which a reported load says nothing any more."""

MAX_IDLE_KNOWN = 64
"""Idle connections to an endpoint that are counted: more than one host's samples there
at once."""


class TrackedEndpoint:
    """One run of an endpoint: its entry, the requests here, and how they went.

    ``in_flight`` counts the requests of this host there, ``suspects`` those among them
    under which other endpoints ended: it may end too, so other work goes elsewhere.

    Parameters
    ----------
    are_versions_known : bool
        Whether the entry's versions are those of this run, and not of the one before.

    Notes
    -----
    Each host keeps one for each endpoint, most of which it never sends to, so an unused
    one is kept small: 0.4 KB with slots and empty lists, where a dictionary, a deque
    and a set make it 1.3 KB (traced allocations): 2.8 MB of a host before 3,000.
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
        self._idle_until: list[float] = []
        self._failures = 0
        self._suspended_until = 0.0
        self._is_listed = True
        self._is_readable = True
        self._has_ended = False
        self._on_end: list[Callable[[], None]] = []

    @property
    def endpoint(self) -> Endpoint:
        """The newest entry of the list."""
        return self._endpoint

    @property
    def run(self) -> EndpointRun:
        """The run that all of this is known of."""
        return self._endpoint.run

    @property
    def is_listed(self) -> bool:
        """Whether the platform lists it; if not, nothing new may be sent to it."""
        return self._is_listed

    @property
    def is_readable(self) -> bool:
        """Whether its newest entry of the list can be understood."""
        return self._is_readable

    @property
    def has_ended(self) -> bool:
        """Whether a later run of this endpoint is known."""
        return self._has_ended

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent to it."""
        return (
            self._is_listed
            and self._is_readable
            and not self._has_ended
            and self._endpoint.readiness is Readiness.READY
        )

    @property
    def latency_s(self) -> float | None:
        """Mean seconds of its latest answers, None before the first."""
        return self._latency_s

    @property
    def event_gap_s(self) -> float | None:
        """Mean seconds between two events of its streams, None before the first."""
        return self._event_gap_s

    @property
    def versions(self) -> Mapping[ModelName, ModelVersion]:
        """The newest version of each model that it is known to serve."""
        return self._versions

    def version_of(self, model: ModelName) -> ModelVersion | None:
        """Return the newest version that it is known to serve."""
        return self._versions.get(model)

    @property
    def is_trusted(self) -> bool:
        """Whether it has shown signs of life since it last failed."""
        return self._failures == 0

    def is_suspended(self, now: float) -> bool:
        """Whether it failed so recently that others are better."""
        return now < self._suspended_until

    def is_connected(self, now: float) -> bool:
        """Whether a connection should be open and idle here."""
        while self._idle_until and self._idle_until[0] <= now:
            self._idle_until.pop(0)
        return bool(self._idle_until)

    def others_load(self, now: float) -> int:
        """Return the requests of other hosts that it reported lately."""
        if self._load is None or now - self._load_at > LOAD_AGE_S:
            return 0
        return max(self._load.running + self._load.waiting - self.in_flight, 0)

    def free_places(self, now: float) -> int:
        """Return the slots that nobody is known to use, below 0 if some wait."""
        return self._endpoint.slots - self.in_flight - self.others_load(now)

    def occupy(self, is_suspect: bool = False) -> Callable[[], None]:
        """Count a request of this host; return what is to be called at its end."""
        self.in_flight += 1
        self.suspects += is_suspect
        self.take_connection()

        def leave() -> None:
            self.in_flight -= 1
            self.suspects -= is_suspect

        return leave

    def update(self, endpoint: Endpoint) -> None:
        """Take a newer entry of the list, of the same run."""
        # An entry without a birth is taken as one of the run that is known.
        born = self._endpoint.born if endpoint.born is None else endpoint.born
        self._endpoint = msgspec.structs.replace(endpoint, born=born)
        self._is_listed = True
        self._is_readable = True
        self._note_versions(endpoint)

    def mark_unreadable(self) -> None:
        """Note that its entry cannot be understood: it takes nothing new until then."""
        self._is_readable = False

    def unlist(self) -> None:
        """Note that the platform no longer lists it."""
        self._is_listed = False

    def end(self) -> None:
        """Note that a later run of this endpoint began."""
        self._has_ended = True
        for call in list(self._on_end):
            call()

    @contextmanager
    def calling_at_end(self, call: Callable[[], None]) -> Iterator[None]:
        """Have `call` called once this run has ended, at once if it has."""
        if self._has_ended:
            call()
        self._on_end.append(call)
        try:
            yield
        finally:
            self._on_end.remove(call)

    def note_version(self, model: ModelName, version: ModelVersion) -> None:
        """Note that it serves a version; versions of one run only grow."""
        if version > self._versions.get(model, 0):
            self._versions[model] = version

    def note_loading(self, model: ModelName, version: ModelVersion, now: float) -> None:
        """Note that it began to load a version: it refuses samples of the model."""
        self._loading[model] = (version, now + LOADING_S)

    def is_loading(self, model: ModelName, now: float) -> bool:
        """Whether it refuses samples of a model because it loads."""
        version, until = self._loading.get(model, (ModelVersion(0), 0.0))
        return now < until and self._versions.get(model, 0) < version

    def _note_versions(self, endpoint: Endpoint) -> None:
        for state in endpoint.models:
            self.note_version(state.model, state.version)

    def note_answer(self, latency_s: float) -> None:
        """Note a whole answer."""
        self.note_alive()
        self._latency_s = _mean(self._latency_s, latency_s)

    def note_connection(self, kept_s: float, now: float) -> None:
        """Note for how long the connection of an answer is kept, 0 if it is closed."""
        if kept_s > 0:
            self._idle_until.append(now + kept_s)
            del self._idle_until[:-MAX_IDLE_KNOWN]

    def take_connection(self) -> None:
        """Note that a request takes an idle connection if there is one."""
        if self._idle_until:
            self._idle_until.pop(0)

    def note_alive(self) -> None:
        """Note a sign of life, such as the first event of a stream."""
        self._failures = 0
        self._suspended_until = 0.0

    def note_event_gap(self, gap_s: float) -> None:
        """Note the time between two events of a stream."""
        self._event_gap_s = _mean(self._event_gap_s, gap_s)

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Note what it said of its load."""
        self._load = load
        self._load_at = now

    def note_failure(self, now: float) -> float:
        """Note that no answer came; return for how long it is left out."""
        self._failures += 1
        self._idle_until.clear()
        seconds: float = min(
            FIRST_SUSPENSION_S * 2 ** (self._failures - 1), MAX_SUSPENSION_S
        )
        self._suspended_until = now + seconds
        return seconds


def _mean(mean: float | None, value: float) -> float:
    if mean is None:
        return value
    return mean + LATENCY_WEIGHT * (value - mean)

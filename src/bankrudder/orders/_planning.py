"""What the host that gives orders knows of engines, and which loads follow from it.

It keeps what the decisions need from one look to the next, and does no I/O.
"""

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from typing import Protocol

import structlog

from bankrudder.fleet import EndpointId, TrackedEndpoint
from bankrudder.routing import ModelName, ServiceName
from bankrudder.scheduling import (
    ChosenLoad,
    EngineLoad,
    ModelDemand,
    assign_engines,
    choose_loads,
    followed_models,
)
from bankrudder.world import Clock, ModelVersion

LOADING_SHARE = 0.4
MIN_LOADING = 2
"""Engines of a service that load weights at once: at most this share, and at least
so many. The platform's sheets name two of five or six, and nine of 22 or 23, as the
number from which loads slow each other down."""

OPEN_BATCHES = 2
"""Batches of a model that are open at once: a trainer asks for the next one while the
last samples of the one before are still generated."""

SPARE_ENGINES = 2
"""Engines beyond those that a model's samples fill: one may be lost, one loads."""

FULL_PAUSE_S = 0.2
"""Time after which an engine that was full is asked again: twice the age of what it
tells."""

FIRST_LOAD = timedelta(seconds=1)
LOAD_WEIGHT = 0.3
"""How long a load is taken to last before the first one was seen, and the weight of the
newest one in the mean."""

_log = structlog.get_logger("orders")


class OpenBatches(Protocol):
    """What the batches that are worked on ask of the engines."""

    @property
    def is_loaded(self) -> bool:
        """Whether all of them are known."""
        ...

    def mean_batch_tokens(self, model: ModelName) -> float:
        """Return the size of a model's latest batches in tokens, 0 if unknown."""
        ...

    def largest_batch_sample_count(self, model: ModelName) -> int:
        """Return the samples of a model's largest batch, 0 if none is known."""
        ...

    def open_seconds(self) -> Mapping[ModelName, float]:
        """Return for how long the latest batches of each model were open."""
        ...

    def needed_version(self, model: ModelName) -> ModelVersion:
        """Return the oldest version that every open batch may be made with."""
        ...


class LoadPlanner:
    """Chooses the loads that shall begin.

    Parameters
    ----------
    named : mapping
        Newest version that was named for each model; read anew each time.
    open_batches : OpenBatches
        What the batches that are worked on ask of the engines.
    usual_gaps : callable
        Usual seconds from event to event, by engine, where that is known.
    """

    def __init__(
        self,
        named: Mapping[ModelName, ModelVersion],
        open_batches: OpenBatches,
        usual_gaps: Callable[[], Mapping[EndpointId, float]],
        clock: Clock,
    ):
        self._named = named
        self._open_batches = open_batches
        self._usual_gaps = usual_gaps
        self._clock = clock
        self._assigned: dict[ServiceName, dict[EndpointId, ModelName]] = {}
        self._named_since: dict[ModelName, tuple[ModelVersion, float]] = {}
        self._usual_load = FIRST_LOAD
        self._has_seen_load = False
        self._full_until: dict[EndpointId, float] = {}

    @property
    def usual_load(self) -> timedelta | None:
        """How long a load usually takes, None before the first was seen."""
        return self._usual_load if self._has_seen_load else None

    def named_version(self, model: ModelName) -> ModelVersion:
        """Return the newest version that was named for a model."""
        return self._named[model]

    def forget_assignment(self) -> None:
        """Read from the engines' versions anew which model each follows."""
        self._assigned.clear()

    def note_load(self, lasted: timedelta) -> None:
        """Note how long a load took."""
        if not self._has_seen_load:
            self._usual_load = lasted
            self._has_seen_load = True
        self._usual_load += LOAD_WEIGHT * (lasted - self._usual_load)

    def note_full(self, engine: EndpointId) -> None:
        """Note that hardly any slot of an engine is free."""
        self._full_until[engine] = self._clock.monotonic() + FULL_PAUSE_S

    def choose(
        self,
        service: ServiceName,
        engines: Sequence[TrackedEndpoint],
        loading: Collection[EndpointId],
    ) -> list[ChosenLoad]:
        """Return the loads of a service that shall begin now, the most urgent first.

        Parameters
        ----------
        engines : sequence of TrackedEndpoint
            All engines of the service, by their names.
        loading : collection of EndpointId
            Those that load, or are given an order just now.
        """
        if not self._named or not self._open_batches.is_loaded:
            # Nothing to load, or nothing that tells what engines follow; what is known
            # of some batches only would give their models the engines of the others.
            return []
        self._assign(service, engines)
        most = max(MIN_LOADING, math.floor(LOADING_SHARE * len(engines)))
        followed = self._followed(service, engines, loading)
        return choose_loads(followed, self._demands(), most, self._usual_load)

    def _followed(
        self,
        service: ServiceName,
        engines: Sequence[TrackedEndpoint],
        loading: Collection[EndpointId],
    ) -> list[EngineLoad]:
        """Return the engines that follow a model, and how far they are."""
        assigned = self._assigned[service]
        return [
            EngineLoad(
                each.endpoint.id,
                assigned[each.endpoint.id],
                each.version_of(assigned[each.endpoint.id]) or ModelVersion(0),
                each.endpoint.id in loading,
                self._clock.monotonic() < self._full_until.get(each.endpoint.id, 0.0),
            )
            for each in engines
            if each.endpoint.id in assigned
        ]

    def _demands(self) -> dict[ModelName, ModelDemand]:
        now = self._clock.monotonic()
        demands = {}
        for model, version in self._named.items():
            known = self._named_since.get(model)
            if known is None or known[0] != version:
                known = (version, now)
                self._named_since[model] = known
            named_for = timedelta(seconds=now - known[1])
            demands[model] = ModelDemand(
                version, self._open_batches.needed_version(model), named_for
            )
        return demands

    def _assign(self, service: ServiceName, engines: Sequence[TrackedEndpoint]) -> None:
        models = {state.model for each in engines for state in each.endpoint.models}
        shares = {
            model: self._open_batches.mean_batch_tokens(model) for model in models
        }
        before = self._assigned.get(service)
        if before is None:
            versions = {each.endpoint.id: each.versions for each in engines}
            before = followed_models(versions, self._named)
        most = self._most_engines(models, engines)
        names = [each.endpoint.id for each in engines]
        gaps = self._usual_gaps()
        lasting = self._open_batches.open_seconds()
        after = assign_engines(names, shares, before, most, gaps, lasting)
        if after != self._assigned.get(service):
            self._assigned[service] = after
            _log.info(
                "orders: engines assigned",
                service=service,
                engines=after,
                work={model: round(work) for model, work in shares.items()},
                gaps={key: round(gaps[key], 4) for key in names if key in gaps},
                open_seconds={key: round(each, 2) for key, each in lasting.items()},
            )

    def _most_engines(
        self, models: Collection[ModelName], engines: Sequence[TrackedEndpoint]
    ) -> dict[ModelName, int]:
        """Return how many engines each model's samples can use, where that is known."""
        slots = min((each.endpoint.slots for each in engines), default=1)
        samples = {
            model: self._open_batches.largest_batch_sample_count(model)
            for model in models
        }
        return {
            model: math.ceil(OPEN_BATCHES * count / slots) + SPARE_ENGINES
            for model, count in samples.items()
            if count
        }

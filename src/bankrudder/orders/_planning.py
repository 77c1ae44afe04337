"""Plans the loads of engines on the host that gives the orders.

The planner keeps the state that the scheduling policies need between two calls, and
does no I/O.
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

MAX_LOADING_SHARE = 0.4
MIN_LOADING_LIMIT = 2
"""Largest share of a service's engines that may load weights at the same time, and the
number that may always do so. According to the platform's data sheets, loads slow each
other down from two of five or six engines, and from nine of 22 or 23."""

OPEN_BATCH_COUNT = 2
"""Batches of a model that are open at the same time: a trainer asks for the next batch
while the last samples of the previous one are still generated."""

SPARE_ENGINES = 2
"""Engines beyond those that a model's samples fill: one may be lost and one may be
loading weights."""

FULL_PAUSE_S = 0.2
"""Pause before a full engine is polled again for free slots: twice the largest age
of the state that an engine reports."""

INITIAL_LOAD_TIME = timedelta(seconds=1)
LOAD_TIME_WEIGHT = 0.3
"""Assumed duration of a load before the first one was measured, and the weight of the
newest load in the mean duration."""

_log = structlog.get_logger("orders")


class OpenBatches(Protocol):
    """The open batches, as far as they decide about loads."""

    @property
    def is_loaded(self) -> bool:
        """Whether all open batches are known."""
        ...

    def mean_batch_tokens(self, model: ModelName) -> float:
        """Return the size of a model's latest batches in tokens, 0 if unknown."""
        ...

    def largest_batch_sample_count(self, model: ModelName) -> int:
        """Return the sample count of a model's largest batch, 0 if none is known."""
        ...

    def open_seconds(self) -> Mapping[ModelName, float]:
        """Return how many seconds the latest batches of each model were open."""
        ...

    def needed_version(self, model: ModelName) -> ModelVersion:
        """Return the oldest version that every open batch may be generated with."""
        ...


class LoadPlanner:
    """Chooses the loads that should begin.

    Parameters
    ----------
    newest_versions : mapping
        Newest version that was named for each model. The planner reads the mapping
        again for each decision.
    open_batches : OpenBatches
        The open batches, as far as they decide about loads.
    usual_gaps : callable
        Returns the usual seconds between events, by engine, where known.
    """

    def __init__(
        self,
        newest_versions: Mapping[ModelName, ModelVersion],
        open_batches: OpenBatches,
        usual_gaps: Callable[[], Mapping[EndpointId, float]],
        clock: Clock,
    ):
        self._newest_versions = newest_versions
        self._open_batches = open_batches
        self._usual_gaps = usual_gaps
        self._clock = clock
        self._assigned: dict[ServiceName, dict[EndpointId, ModelName]] = {}
        self._newest_since: dict[ModelName, tuple[ModelVersion, float]] = {}
        self._usual_load = INITIAL_LOAD_TIME
        self._has_seen_load = False
        self._full_until: dict[EndpointId, float] = {}

    @property
    def usual_load(self) -> timedelta | None:
        """Usual duration of a load, None before the first was measured."""
        return self._usual_load if self._has_seen_load else None

    def newest_version(self, model: ModelName) -> ModelVersion:
        """Return the newest version that was named for a model."""
        return self._newest_versions[model]

    def forget_assignment(self) -> None:
        """Infer the assignment again from the engines' versions at the next choice."""
        self._assigned.clear()

    def note_load(self, duration: timedelta) -> None:
        """Add a duration to the mean duration of loads."""
        if not self._has_seen_load:
            self._usual_load = duration
            self._has_seen_load = True
        self._usual_load += LOAD_TIME_WEIGHT * (duration - self._usual_load)

    def note_full(self, engine: EndpointId) -> None:
        """Note that few slots of an engine are free."""
        self._full_until[engine] = self._clock.monotonic() + FULL_PAUSE_S

    def choose(
        self,
        service: ServiceName,
        engines: Sequence[TrackedEndpoint],
        loading: Collection[EndpointId],
    ) -> list[ChosenLoad]:
        """Return the loads of a service that should begin now, the most urgent first.

        Parameters
        ----------
        engines : sequence of TrackedEndpoint
            All engines of the service, ordered by name.
        loading : collection of EndpointId
            Engines that load or are being given an order.
        """
        if not self._newest_versions or not self._open_batches.is_loaded:
            # Either there is nothing to load, or not all open batches are known. An
            # assignment based on some of them would give their models the engines of
            # the other models.
            return []
        self._assign(service, engines)
        limit = max(MIN_LOADING_LIMIT, math.floor(MAX_LOADING_SHARE * len(engines)))
        engine_loads = self._engine_loads(service, engines, loading)
        return choose_loads(engine_loads, self._demands(), limit, self._usual_load)

    def _engine_loads(
        self,
        service: ServiceName,
        engines: Sequence[TrackedEndpoint],
        loading: Collection[EndpointId],
    ) -> list[EngineLoad]:
        """Return the engines that follow a model, with their versions of it."""
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
        for model, version in self._newest_versions.items():
            known = self._newest_since.get(model)
            if known is None or known[0] != version:
                known = (version, now)
                self._newest_since[model] = known
            newest_age = timedelta(seconds=now - known[1])
            demands[model] = ModelDemand(
                version, self._open_batches.needed_version(model), newest_age
            )
        return demands

    def _assign(self, service: ServiceName, engines: Sequence[TrackedEndpoint]) -> None:
        models = {state.model for each in engines for state in each.endpoint.models}
        shares = {
            model: self._open_batches.mean_batch_tokens(model) for model in models
        }
        previous = self._assigned.get(service)
        if previous is None:
            versions = {each.endpoint.id: each.versions for each in engines}
            previous = followed_models(versions, self._newest_versions)
        limit = self._max_engines(models, engines)
        names = [each.endpoint.id for each in engines]
        gaps = self._usual_gaps()
        open_times = self._open_batches.open_seconds()
        assignment = assign_engines(names, shares, previous, limit, gaps, open_times)
        if assignment != self._assigned.get(service):
            self._assigned[service] = assignment
            _log.info(
                "orders: engines assigned",
                service=service,
                engines=assignment,
                work={model: round(work) for model, work in shares.items()},
                gaps={key: round(gaps[key], 4) for key in names if key in gaps},
                open_seconds={key: round(each, 2) for key, each in open_times.items()},
            )

    def _max_engines(
        self, models: Collection[ModelName], engines: Sequence[TrackedEndpoint]
    ) -> dict[ModelName, int]:
        """Return how many engines the samples of each model can use, where known."""
        slots = min((each.endpoint.slots for each in engines), default=1)
        samples = {
            model: self._open_batches.largest_batch_sample_count(model)
            for model in models
        }
        return {
            model: math.ceil(OPEN_BATCH_COUNT * count / slots) + SPARE_ENGINES
            for model, count in samples.items()
            if count
        }

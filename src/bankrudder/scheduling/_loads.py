"""Choice of the engines that load the newest version of their model's weights now.

Load pattern: a trainer that fell behind names two versions within a second and then
none for several seconds, as two of its steps are in progress at once. An engine takes
no new samples of its model for about a second while it loads. If engines load each
version in the same order, the first engine loads twice while the last one keeps weights
that no step may use any more, and the second step finds no usable engine.

Policy: engines whose weights no open batch may use load first, models without any
usable engine before others and older weights before newer ones. Of the other engines,
up to half load as soon as the step that waited for the version has taken its slots. The
next step may still use the previous version and finds the other half. These engines
load once the version has settled and they have free slots, so that no sample waits for
a load, or once the version is overdue. So each engine loads only one of two versions in
quick succession, and several engines with usable weights never all load at once.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from bankrudder.fleet import EndpointId
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion

EARLY_LOAD_SHARE = 0.5
"""Largest share of a model's engines that load a new version before it has settled,
while the previous version may still be used. It is rounded down to whole engines, so
that a single engine waits."""

PLACEMENT_DELAY = timedelta(milliseconds=150)
"""Time after which a new version is loaded on engines whose weights are still usable.
About 80 ms after the version was named, the trainer has opened the step that waited for
it, and the step's samples have taken the free slots. Running samples go on during a
load. So a load on a full engine delays only the samples that wait for its slots, while
a load on an empty engine keeps all of its slots from the step."""

SETTLED_LOAD_FACTOR = 1.5
"""A version has settled after this many times the usual duration of a load. If another
version follows in quick succession and makes the load useless, it is named earlier than
that."""

OVERDUE_LOAD_FACTOR = 4.0
"""A version is overdue after this many times the usual duration of a load, and engines
then load it however full they are. Operators require new weights on all engines within
six seconds, and a load takes about one."""

MAX_MODEL_LOADING_SHARE = 0.34
"""Largest share of a model's engines that may load at the same time while their weights
are still usable, since an engine that loads takes no new samples. One engine may always
load."""


@dataclass(frozen=True)
class EngineLoad:
    """One engine and the model whose weights it follows."""

    id: EndpointId
    model: ModelName
    version: ModelVersion
    """Newest version of the model that the engine has."""

    is_loading: bool
    is_full: bool = False
    """Whether the engine lately reported that few of its slots are free."""


@dataclass(frozen=True)
class ChosenLoad:
    """An engine that should load the newest version of its model."""

    engine: EndpointId
    model: ModelName
    may_wait: bool = False
    """Whether the engine should load only while slots are free, as no batch needs the
    version yet."""


@dataclass(frozen=True)
class ModelDemand:
    """The versions of a model that trainers need."""

    newest_version: ModelVersion
    """Newest version that was named."""

    min_version: ModelVersion
    """Oldest version that every open batch may be generated with."""

    newest_age: timedelta
    """Time since the newest version was named."""


def choose_loads(
    engines: Sequence[EngineLoad],
    demands: Mapping[ModelName, ModelDemand],
    max_loading: int,
    usual_load: timedelta,
) -> list[ChosenLoad]:
    """Return the loads that should begin now, the most urgent first.

    Parameters
    ----------
    engines : sequence of EngineLoad
        All engines of a service that follow a model.
    demands : mapping
        Demand by model. Models of which no version was named have no entry.
    max_loading : int
        Engines that may load at once, including those that already do.
    usual_load : timedelta
        Usual duration of a load.
    """
    free_loads = max_loading - sum(engine.is_loading for engine in engines)
    if free_loads <= 0:
        return []
    outdated: list[tuple[bool, ModelVersion, EndpointId, ModelName]] = []
    usable: list[tuple[ModelVersion, EndpointId, ModelName, bool]] = []
    for model, demand in demands.items():
        model_engines = [engine for engine in engines if engine.model == model]
        behind = [
            engine
            for engine in model_engines
            if engine.version < demand.newest_version and not engine.is_loading
        ]
        has_usable = any(
            engine.version >= demand.min_version for engine in model_engines
        )
        outdated += [
            (has_usable, engine.version, engine.id, model)
            for engine in behind
            if engine.version < demand.min_version
        ]
        is_overdue = demand.newest_age >= OVERDUE_LOAD_FACTOR * usual_load
        has_settled = demand.newest_age >= SETTLED_LOAD_FACTOR * usual_load
        may_wait = has_settled and not is_overdue
        if may_wait:
            behind = [engine for engine in behind if not engine.is_full]
        usable += [
            (engine.version, engine.id, model, may_wait)
            for engine in _usable_to_load(model_engines, behind, demand, has_settled)
            if demand.newest_age >= PLACEMENT_DELAY
        ]
    chosen = [ChosenLoad(engine, model) for *_, engine, model in sorted(outdated)]
    chosen += [
        ChosenLoad(engine, model, may_wait)
        for _, engine, model, may_wait in sorted(usable)
    ]
    return chosen[:free_loads]


def _usable_to_load(
    model_engines: Sequence[EngineLoad],
    behind: Sequence[EngineLoad],
    demand: ModelDemand,
    has_settled: bool,
) -> list[EngineLoad]:
    """Return the engines of one model that load although their weights are usable."""
    candidates = sorted(
        (engine for engine in behind if engine.version >= demand.min_version),
        key=lambda engine: (engine.version, engine.id),
    )
    loading_count = sum(engine.is_loading for engine in model_engines)
    free_loads = (
        max(1, int(MAX_MODEL_LOADING_SHARE * len(model_engines))) - loading_count
    )
    if not has_settled:
        following_count = sum(
            engine.is_loading or engine.version >= demand.newest_version
            for engine in model_engines
        )
        # Engines with unusable weights load in any case, and count towards the share.
        following_count += len(behind) - len(candidates)
        free_loads = min(
            free_loads, int(EARLY_LOAD_SHARE * len(model_engines)) - following_count
        )
    return candidates[: max(free_loads, 0)]

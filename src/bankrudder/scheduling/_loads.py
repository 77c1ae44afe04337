"""Which engines load the newest version of their model's weights, and which wait.

Pattern: a trainer that fell behind names two versions within a second and then none
for several seconds, as two of its steps are in progress at once. An engine takes no new
samples of its model for about a second while it loads. If engines follow each version
in the same order, the first one loads twice while the last one keeps weights that no
step may use any more, and the second step finds no engine at all.

Answer: engines whose weights no open batch may use load first, the oldest first, and
those of a model without any usable engine before others. Of the rest, half follow as
soon as the step that waited for the version has taken its slots, so that the next step,
which may still use the version before, finds the other half; these follow when the
version has settled and they have free slots, so that no sample waits for what a load
delays, or when the version is overdue. So each engine follows every second version of a
quick pair, and never all of them at once.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from bankrudder.fleet import EndpointId
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion

FOLLOWING_SHARE = 0.5
"""Share of a model's engines that follow a new version at once while the version
before may still be used; rounded down, so that a single engine waits."""

PLACING = timedelta(milliseconds=150)
"""Time after a version was named in which the step that waited for it is asked and its
samples take the free slots (80 ms seen). Runs go on during a load, so an engine that is
loaded while it is full delays what its slots free up for, and one that is loaded empty
keeps all of its slots from the step."""

SETTLED_LOADS = 1.5
"""A version has settled after this many times an engine's usual load: a newer one that
was about to be named would by then have made the load useless."""

OVERDUE_LOADS = 4.0
"""After so many times an engine's usual load it loads however full it is: operators ask
for new weights on all engines within six seconds, and a load takes about one."""

MODEL_LOADING_SHARE = 0.34
"""Engines of one model that load at once while they are still of use, at most this
share and at least one: they take no new samples meanwhile."""


@dataclass(frozen=True)
class EngineLoad:
    """One engine and the model whose weights it follows."""

    id: EndpointId
    model: ModelName
    version: ModelVersion
    """The newest that it has."""

    is_loading: bool
    is_full: bool = False
    """Whether it said lately that hardly any slot is free."""


@dataclass(frozen=True)
class ChosenLoad:
    """An engine that shall load the newest version of its model."""

    engine: EndpointId
    model: ModelName
    may_wait: bool = False
    """Whether it should only load while slots are free, as nothing needs it yet."""


@dataclass(frozen=True)
class ModelDemand:
    """What trainers ask of a model's engines."""

    named: ModelVersion
    """The newest version that was named."""

    needed: ModelVersion
    """The oldest version that every open batch may be generated with."""

    named_for: timedelta
    """Time since it was named."""


def choose_loads(
    engines: Sequence[EngineLoad],
    demands: Mapping[ModelName, ModelDemand],
    most: int,
    usual_load: timedelta,
) -> list[ChosenLoad]:
    """Return the loads that shall begin now, the most urgent first.

    Parameters
    ----------
    engines : sequence of EngineLoad
        All engines of a service that follow a model.
    demands : mapping
        Models of which no version was named are left out.
    most : int
        Engines that may load at once, those that do included.
    usual_load : timedelta
        How long a load takes.
    """
    room = most - sum(engine.is_loading for engine in engines)
    if room <= 0:
        return []
    useless: list[tuple[bool, ModelVersion, EndpointId, ModelName]] = []
    useful: list[tuple[ModelVersion, EndpointId, ModelName, bool]] = []
    for model, demand in demands.items():
        own = [engine for engine in engines if engine.model == model]
        behind = [
            engine
            for engine in own
            if engine.version < demand.named and not engine.is_loading
        ]
        has_usable = any(engine.version >= demand.needed for engine in own)
        useless += [
            (has_usable, engine.version, engine.id, model)
            for engine in behind
            if engine.version < demand.needed
        ]
        is_overdue = demand.named_for >= OVERDUE_LOADS * usual_load
        has_settled = demand.named_for >= SETTLED_LOADS * usual_load
        may_wait = has_settled and not is_overdue
        if may_wait:
            behind = [engine for engine in behind if not engine.is_full]
        useful += [
            (engine.version, engine.id, model, may_wait)
            for engine in _useful(own, behind, demand, has_settled)
            if demand.named_for >= PLACING
        ]
    chosen = [ChosenLoad(engine, model) for *_, engine, model in sorted(useless)]
    chosen += [
        ChosenLoad(engine, model, may_wait)
        for _, engine, model, may_wait in sorted(useful)
    ]
    return chosen[:room]


def _useful(
    own: Sequence[EngineLoad],
    behind: Sequence[EngineLoad],
    demand: ModelDemand,
    has_settled: bool,
) -> list[EngineLoad]:
    """Return the engines of one model that load although they are still of use."""
    candidates = sorted(
        (engine for engine in behind if engine.version >= demand.needed),
        key=lambda engine: (engine.version, engine.id),
    )
    loading = sum(engine.is_loading for engine in own)
    room = max(1, int(MODEL_LOADING_SHARE * len(own))) - loading
    if not has_settled:
        following = sum(
            engine.is_loading or engine.version >= demand.named for engine in own
        )
        # Those that are of no use follow anyway, and count among the half.
        following += len(behind) - len(candidates)
        room = min(room, int(FOLLOWING_SHARE * len(own)) - following)
    return candidates[: max(room, 0)]

"""Assignment of engines to models, where several models share the same engines.

Each load of weights stops an engine for about a second and has a price. So an engine
follows the versions of one model only, and each model gets engines in proportion to its
share of the work, but no more than its samples can use.

A host that starts to order loads, after a restart of all hosts or after the loss of the
previous host, knows no assignment. It infers from the versions on the engines which
model each engine followed. An assignment that ignored this would change the model of
half of the engines, which would then load weights while steps wait.

A step takes as long as its longest sample, which depends on the speed of its engine: on
engines that emit events a third slower than others, a step takes ten seconds, although
its results are of value only within seven. The cost differs between trainers. A trainer
that waits for all groups waits for its longest sample in nearly every step and falls
behind for the rest of the day, while a trainer that waits for fewer groups finishes
most of its steps in half of the time that they may take. So the fast engines go to the
models whose latest batches were open longest. Until the open times of all models are
known, each model gets its share of the fast engines, and no model has only slow ones.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from bankrudder.fleet import EndpointId
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion

MIN_ENGINE_DEFICIT = 0.75
"""An engine changes its model only if the new model lacks at least this many engines: a
change costs a load, and shares vary slightly from batch to batch."""

FAST_GAP_RATIO = 1.15
SLOW_GAP_RATIO = 1.2
"""An engine is fast if its time between events is at most the first ratio times the
shortest one, and slow from the second ratio on. The load of an engine changes its time
between events by less than that. Engines between the ratios are not exchanged."""

MIN_OPEN_TIME_RATIO = 1.3
"""Batches of one model must stay open this many times as long as those of another model
before they exchange a slow engine for a fast one. The exchange itself changes the ratio
by as much, so a smaller threshold would undo it."""

MIN_FAST_SHARE = 0.5
"""While open times are unknown, a model gets a fast engine in exchange for a slow one
if it has less than this share of the fast engines that an even distribution would give
it, for example none instead of one. Each exchange costs two loads."""

MAX_EXCESS_FACTOR = 1.25
"""A model keeps up to this many times the engines that it can use: the number of
samples varies slightly from batch to batch."""


def assign_engines(
    engines: Sequence[EndpointId],
    shares: Mapping[ModelName, float],
    previous: Mapping[EndpointId, ModelName],
    max_engines: Mapping[ModelName, int] | None = None,
    event_gaps: Mapping[EndpointId, float] | None = None,
    open_times: Mapping[ModelName, float] | None = None,
) -> dict[EndpointId, ModelName]:
    """Return the model of each engine, without the engines that no model can use.

    Parameters
    ----------
    engines : sequence of EndpointId
        Engines that serve all of the models.
    shares : mapping
        Work of each model, in any unit. If all are zero, models get equal shares.
    previous : mapping
        The previous assignment. Engines keep their model where possible.
    max_engines : mapping, optional
        Most engines that a model can use. A model without an entry can use all.
    event_gaps : mapping, optional
        Usual time between events on each engine, in any unit. Engines without an entry
        are not exchanged.
    open_times : mapping, optional
        How long the latest batches of each model were open, in any unit. Models
        without a finished batch have no entry.
    """
    if not shares:
        return {}
    bounds = max_engines or {}
    target_counts = {
        model: min(count, bounds.get(model, len(engines)))
        for model, count in _target_counts(len(engines), shares).items()
    }
    assigned = {key: previous[key] for key in engines if previous.get(key) in shares}
    _release_excess(bounds, assigned)
    for engine in engines:
        recipient = _model_lacking_most(target_counts, assigned)
        if engine not in assigned and _deficit(recipient, target_counts, assigned) > 0:
            assigned[engine] = recipient
    _move_surplus(target_counts, assigned)
    _balance_fast_engines(event_gaps or {}, open_times or {}, assigned)
    return assigned


def followed_models(
    versions: Mapping[EndpointId, Mapping[ModelName, ModelVersion]],
    newest_versions: Mapping[ModelName, ModelVersion],
) -> dict[EndpointId, ModelName]:
    """Infer which model each engine followed from the versions that it has.

    An engine followed the model whose newest version it is closest to, among the models
    of which it has loaded a version. Of all other models it still has the version that
    engines start with. Engines that give no clear answer are left out.

    Parameters
    ----------
    versions : mapping
        Version of each model that an engine serves.
    newest_versions : mapping
        Newest version that was named, by model.
    """
    oldest = {
        model: min(own[model] for own in versions.values() if model in own)
        for model in newest_versions
        if any(model in own for own in versions.values())
    }
    followed = {}
    for engine, own in versions.items():
        lags = sorted(
            (newest_versions[model] - version, model)
            for model, version in own.items()
            if model in oldest and version > oldest[model]
        )
        if len(lags) == 1 or (len(lags) > 1 and lags[0][0] < lags[1][0]):
            followed[engine] = lags[0][1]
    return followed


def _release_excess(
    max_engines: Mapping[ModelName, int], assigned: dict[EndpointId, ModelName]
) -> None:
    """Remove engines from models that have far more than they can use."""
    for model, bound in max_engines.items():
        engines = sorted(key for key, each in assigned.items() if each == model)
        if len(engines) > MAX_EXCESS_FACTOR * bound:
            for engine in engines[bound:]:
                del assigned[engine]


def _target_counts(
    count: int, shares: Mapping[ModelName, float]
) -> dict[ModelName, float]:
    """Return how many engines each model should have, at least one if there are enough.

    The counts are fractions, as they follow the shares of work.
    """
    total = sum(shares.values())
    if total <= 0:
        return dict.fromkeys(shares, count / len(shares))
    least = 1.0 if count >= len(shares) else 0.0
    rest = count - least * len(shares)
    return {model: least + rest * work / total for model, work in shares.items()}


def _model_lacking_most(
    target_counts: Mapping[ModelName, float], assigned: Mapping[EndpointId, ModelName]
) -> ModelName:
    return max(
        sorted(target_counts),
        key=lambda model: _deficit(model, target_counts, assigned),
    )


def _deficit(
    model: ModelName,
    target_counts: Mapping[ModelName, float],
    assigned: Mapping[EndpointId, ModelName],
) -> float:
    return target_counts[model] - _count(model, assigned.values())


def _count(model: ModelName, models: Collection[ModelName]) -> int:
    return sum(each == model for each in models)


def _move_surplus(
    target_counts: Mapping[ModelName, float], assigned: dict[EndpointId, ModelName]
) -> None:
    """Move engines to models that lack them until no deficit justifies a load."""
    for _ in range(len(assigned)):
        recipient = _model_lacking_most(target_counts, assigned)
        donor = min(
            sorted(target_counts),
            key=lambda model: _deficit(model, target_counts, assigned),
        )
        has_no_engine = _count(recipient, assigned.values()) == 0
        if (
            _deficit(recipient, target_counts, assigned) < MIN_ENGINE_DEFICIT
            and not has_no_engine
        ):
            return
        if _count(donor, assigned.values()) < 2 or donor == recipient:
            return
        moved = min(key for key, model in assigned.items() if model == donor)
        assigned[moved] = recipient


def _balance_fast_engines(
    event_gaps: Mapping[EndpointId, float],
    open_times: Mapping[ModelName, float],
    assigned: dict[EndpointId, ModelName],
) -> None:
    """Exchange slow and fast engines between models where the policy asks for it."""
    known = {engine: gap for engine, gap in event_gaps.items() if engine in assigned}
    if not known:
        return
    shortest_gap = min(known.values())
    fast = {key for key, gap in known.items() if gap <= FAST_GAP_RATIO * shortest_gap}
    slow = {key for key, gap in known.items() if gap >= SLOW_GAP_RATIO * shortest_gap}
    models = set(assigned.values())
    for _ in range(len(assigned)):
        if all(open_times.get(model, 0.0) > 0 for model in models):
            pair = _exchange_by_open_time(fast, slow, open_times, assigned)
        else:
            pair = _exchange_by_fast_share(fast, slow, assigned)
        if pair is None:
            return
        offered, returned = pair
        assigned[offered], assigned[returned] = assigned[returned], assigned[offered]


def _exchange_by_open_time(
    fast: Collection[EndpointId],
    slow: Collection[EndpointId],
    open_times: Mapping[ModelName, float],
    assigned: Mapping[EndpointId, ModelName],
) -> tuple[EndpointId, EndpointId] | None:
    """Return a fast engine and a slow one to exchange for it, None if there are none.

    The fast engine belongs to the model with the shortest open times, the slow one to
    the model with the longest.
    """

    def order(engine: EndpointId) -> tuple[float, ModelName, EndpointId]:
        model = assigned[engine]
        return open_times[model], model, engine

    offered = min(fast, key=order, default=None)
    returned = max(slow, key=order, default=None)
    if offered is None or returned is None:
        return None
    if (
        open_times[assigned[returned]]
        < MIN_OPEN_TIME_RATIO * open_times[assigned[offered]]
    ):
        return None
    return offered, returned


def _exchange_by_fast_share(
    fast: Collection[EndpointId],
    slow: Collection[EndpointId],
    assigned: Mapping[EndpointId, ModelName],
) -> tuple[EndpointId, EndpointId] | None:
    """Return a fast engine and a slow one to exchange for it, None if there are none.

    The slow engine belongs to the model that has the least of its share of the fast
    engines, the fast one to the model that has the most.
    """
    fast_shares = _relative_fast_shares(fast, assigned)
    recipient_model = min(sorted(fast_shares), key=lambda model: fast_shares[model])
    donor = max(sorted(fast_shares), key=lambda model: fast_shares[model])
    offered = [key for key in sorted(fast) if assigned[key] == donor]
    returned = [key for key in sorted(slow) if assigned[key] == recipient_model]
    if (
        fast_shares[recipient_model] >= MIN_FAST_SHARE
        or len(offered) < 2
        or not returned
    ):
        return None
    return offered[0], returned[0]


def _relative_fast_shares(
    fast: Collection[EndpointId], assigned: Mapping[EndpointId, ModelName]
) -> dict[ModelName, float]:
    """Return each model's fast engines relative to an even distribution."""
    counts = Counter(assigned.values())
    fast_counts = Counter(assigned[engine] for engine in fast)
    fair_share = len(fast) / len(assigned)
    return {
        model: fast_counts[model] / (fair_share * count)
        for model, count in counts.items()
    }

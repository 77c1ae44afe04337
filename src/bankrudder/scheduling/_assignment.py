"""Which engine serves which model, where several are trained on the same engines.

Each load of weights stops an engine for about a second and costs. So an engine
follows the versions of one model, and models get engines by their share of the work, no
more than their samples can use.

Who begins to give orders, after a restart of all hosts or when the host before was
lost, knows no assignment. The versions that engines have tell which model each
followed; drawn anew, half of them would change it, and load weights while steps wait.

A step lasts as long as its longest sample, and that one as long as its engine is slow:
on engines that make events a third slower than others, ten seconds where seven count.
Trainers differ in what this costs them: one that waits for all groups waits for its
longest sample in nearly each step and falls behind for the rest of the day, while
another one ends most of its steps in half of their time. So the quick engines go to the
models whose batches last longest, seen by how long the latest ones were open; before
that is known each model gets its share of them, and none only slow ones.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from bankrudder.fleet import EndpointId
from bankrudder.routing import ModelName
from bankrudder.world import ModelVersion

MIN_GAIN = 0.75
"""An engine changes its model only if the model it goes to lacks at least this many
engines: a change costs a load, and shares vary a little from batch to batch."""


QUICK_FACTOR = 1.15
SLOW_FACTOR = 1.2
"""An engine is quick if it takes at most so many times as long from event to event as
the quickest one, and slow from the second figure on. The load of an engine makes less
of a difference; what lies between changes no assignment."""

PRESSED_FACTOR = 1.3
"""Batches of one model must last so many times as long as those of another one before a
quick engine is exchanged for a slow one: what the exchange itself makes of it, so that
it is not undone."""

LEAST_QUICK_SHARE = 0.5
"""Engines are exchanged if a model has less than this share of the quick ones that are
its due: none where it should have one. Each exchange costs two loads."""

USELESS_FACTOR = 1.25
"""How many times as many engines as a model can use it keeps: the number of samples
varies a little from batch to batch."""


def assign_engines(
    engines: Sequence[EndpointId],
    shares: Mapping[ModelName, float],
    before: Mapping[EndpointId, ModelName],
    most: Mapping[ModelName, int] | None = None,
    gaps: Mapping[EndpointId, float] | None = None,
    lasting: Mapping[ModelName, float] | None = None,
) -> dict[EndpointId, ModelName]:
    """Return the model of each engine; one that no model can use is left out.

    Parameters
    ----------
    engines : sequence of EndpointId
        Engines that serve all of the models.
    shares : mapping
        Work of each model, in any unit; equal if all are zero.
    before : mapping
        The last assignment; engines keep their model where they can.
    most : mapping, optional
        Most engines that a model can use; a model that is not in it can use all.
    gaps : mapping, optional
        Usual time from event to event on each engine, in any unit; engines that are
        not in it stay where they are.
    lasting : mapping, optional
        For how long the latest batches of a model were open, in any unit; models of
        which none was ended are left out.
    """
    if not shares:
        return {}
    bounds = most or {}
    wanted = {
        model: min(count, bounds.get(model, len(engines)))
        for model, count in _wanted(len(engines), shares).items()
    }
    assigned = {key: before[key] for key in engines if before.get(key) in shares}
    _release_useless(bounds, assigned)
    for engine in engines:
        neediest = _neediest(wanted, assigned)
        if engine not in assigned and _lack(neediest, wanted, assigned) > 0:
            assigned[engine] = neediest
    _move_surplus(wanted, assigned)
    _share_quick(gaps or {}, lasting or {}, assigned)
    return assigned


def followed_models(
    versions: Mapping[EndpointId, Mapping[ModelName, ModelVersion]],
    named: Mapping[ModelName, ModelVersion],
) -> dict[EndpointId, ModelName]:
    """Return which model each engine followed, as far as its versions tell.

    An engine followed the model whose newest version it lags behind the least, of those
    that were loaded there: of the others all engines have the version that they
    started with.

    Parameters
    ----------
    versions : mapping
        Version of each model that an engine serves.
    named : mapping
        Newest version that was named, by model.
    """
    oldest = {
        model: min(own[model] for own in versions.values() if model in own)
        for model in named
        if any(model in own for own in versions.values())
    }
    followed = {}
    for engine, own in versions.items():
        lags = sorted(
            (named[model] - version, model)
            for model, version in own.items()
            if model in oldest and version > oldest[model]
        )
        if len(lags) == 1 or (len(lags) > 1 and lags[0][0] < lags[1][0]):
            followed[engine] = lags[0][1]
    return followed


def _release_useless(
    most: Mapping[ModelName, int], assigned: dict[EndpointId, ModelName]
) -> None:
    """Leave out engines of models that have far more than they can use."""
    for model, bound in most.items():
        engines = sorted(key for key, each in assigned.items() if each == model)
        if len(engines) > USELESS_FACTOR * bound:
            for engine in engines[bound:]:
                del assigned[engine]


def _wanted(count: int, shares: Mapping[ModelName, float]) -> dict[ModelName, float]:
    """Return how many engines each model should have, one at least if there are."""
    total = sum(shares.values())
    if total <= 0:
        return dict.fromkeys(shares, count / len(shares))
    least = 1.0 if count >= len(shares) else 0.0
    rest = count - least * len(shares)
    return {model: least + rest * work / total for model, work in shares.items()}


def _neediest(
    wanted: Mapping[ModelName, float], assigned: Mapping[EndpointId, ModelName]
) -> ModelName:
    return max(sorted(wanted), key=lambda model: _lack(model, wanted, assigned))


def _lack(
    model: ModelName,
    wanted: Mapping[ModelName, float],
    assigned: Mapping[EndpointId, ModelName],
) -> float:
    return wanted[model] - _count(model, assigned.values())


def _count(model: ModelName, models: Collection[ModelName]) -> int:
    return sum(each == model for each in models)


def _move_surplus(
    wanted: Mapping[ModelName, float], assigned: dict[EndpointId, ModelName]
) -> None:
    """Move engines to models that lack them, until none lacks enough."""
    for _ in range(len(assigned)):
        neediest = _neediest(wanted, assigned)
        richest = min(sorted(wanted), key=lambda model: _lack(model, wanted, assigned))
        is_without = _count(neediest, assigned.values()) == 0
        if _lack(neediest, wanted, assigned) < MIN_GAIN and not is_without:
            return
        if _count(richest, assigned.values()) < 2 or richest == neediest:
            return
        moved = min(key for key, model in assigned.items() if model == richest)
        assigned[moved] = neediest


def _share_quick(
    gaps: Mapping[EndpointId, float],
    lasting: Mapping[ModelName, float],
    assigned: dict[EndpointId, ModelName],
) -> None:
    """Exchange slow and quick engines between models where that is due."""
    known = {engine: gap for engine, gap in gaps.items() if engine in assigned}
    if not known:
        return
    quickest = min(known.values())
    quick = {key for key, gap in known.items() if gap <= QUICK_FACTOR * quickest}
    slow = {key for key, gap in known.items() if gap >= SLOW_FACTOR * quickest}
    models = set(assigned.values())
    for _ in range(len(assigned)):
        if all(lasting.get(model, 0.0) > 0 for model in models):
            pair = _most_pressed(quick, slow, lasting, assigned)
        else:
            pair = _poorest(quick, slow, assigned)
        if pair is None:
            return
        given, taken = pair
        assigned[given], assigned[taken] = assigned[taken], assigned[given]


def _most_pressed(
    quick: Collection[EndpointId],
    slow: Collection[EndpointId],
    lasting: Mapping[ModelName, float],
    assigned: Mapping[EndpointId, ModelName],
) -> tuple[EndpointId, EndpointId] | None:
    """Return a quick engine of a model that can spare it, and a slow one for it."""

    def order(engine: EndpointId) -> tuple[float, ModelName, EndpointId]:
        model = assigned[engine]
        return lasting[model], model, engine

    given = min(quick, key=order, default=None)
    taken = max(slow, key=order, default=None)
    if given is None or taken is None:
        return None
    if lasting[assigned[taken]] < PRESSED_FACTOR * lasting[assigned[given]]:
        return None
    return given, taken


def _poorest(
    quick: Collection[EndpointId],
    slow: Collection[EndpointId],
    assigned: Mapping[EndpointId, ModelName],
) -> tuple[EndpointId, EndpointId] | None:
    """Return engines to exchange for a model with far less than its share of quick."""
    served = _shares_of_quick(quick, assigned)
    poorest = min(sorted(served), key=lambda model: served[model])
    richest = max(sorted(served), key=lambda model: served[model])
    given = [key for key in sorted(quick) if assigned[key] == richest]
    taken = [key for key in sorted(slow) if assigned[key] == poorest]
    if served[poorest] >= LEAST_QUICK_SHARE or len(given) < 2 or not taken:
        return None
    return given[0], taken[0]


def _shares_of_quick(
    quick: Collection[EndpointId], assigned: Mapping[EndpointId, ModelName]
) -> dict[ModelName, float]:
    """Return what each model has of the quick engines that would be its due."""
    counts = Counter(assigned.values())
    quick_counts = Counter(assigned[engine] for engine in quick)
    due = len(quick) / len(assigned)
    return {
        model: quick_counts[model] / (due * count) for model, count in counts.items()
    }

"""Which engine serves which model, where several are trained on the same engines.

Each load of weights stops an engine for about a second and costs. So an engine
follows the versions of one model, and models get engines by their share of the work.
"""

from collections.abc import Collection, Mapping, Sequence

from bankrudder.fleet import EndpointId
from bankrudder.routing import ModelName

MIN_GAIN = 0.75
"""An engine changes its model only if the model it goes to lacks at least this many
engines: a change costs a load, and shares vary a little from batch to batch."""


def assign_engines(
    engines: Sequence[EndpointId],
    shares: Mapping[ModelName, float],
    before: Mapping[EndpointId, ModelName],
) -> dict[EndpointId, ModelName]:
    """Return the model of each engine.

    Parameters
    ----------
    engines : sequence of EndpointId
        Engines that serve all of the models.
    shares : mapping
        Work of each model, in any unit; equal if all are zero.
    before : mapping
        The last assignment; engines keep their model where they can.
    """
    if not shares:
        return {}
    wanted = _wanted(len(engines), shares)
    assigned = {key: before[key] for key in engines if before.get(key) in shares}
    for engine in engines:
        if engine not in assigned:
            assigned[engine] = _neediest(wanted, assigned)
    _move_surplus(wanted, assigned)
    return assigned


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

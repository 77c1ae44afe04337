"""The policies by which work and weights are given out: values in, decision out.

Each module names the load that it answers and what it buys. None of them does I/O; the
parts that carry the decisions out stand beside it.
"""

from bankrudder.scheduling._assignment import assign_engines, followed_models
from bankrudder.scheduling._loads import (
    ChosenLoad,
    EngineLoad,
    ModelDemand,
    choose_loads,
)
from bankrudder.scheduling._moves import is_worth_moving
from bankrudder.scheduling._placement import (
    EngineView,
    PlacementOrder,
    placement_order,
)
from bankrudder.scheduling._ranking import Rank, TokenPace, sample_ranks
from bankrudder.scheduling._supply import (
    HeldNeed,
    PlacePrice,
    engines_needed,
    spread_engines,
)

__all__ = [
    "ChosenLoad",
    "EngineLoad",
    "EngineView",
    "HeldNeed",
    "ModelDemand",
    "PlacePrice",
    "PlacementOrder",
    "Rank",
    "TokenPace",
    "assign_engines",
    "choose_loads",
    "engines_needed",
    "followed_models",
    "is_worth_moving",
    "placement_order",
    "sample_ranks",
    "spread_engines",
]

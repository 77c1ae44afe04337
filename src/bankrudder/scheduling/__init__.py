"""Scheduling policies for samples, engines and model weights, as pure functions.

Each module's docstring names the load pattern that its policy is made for, and the
measured benefit where there is one. The policies do no I/O; the packages that call
them carry out their decisions.
"""

from bankrudder.scheduling._assignment import assign_engines, followed_models
from bankrudder.scheduling._lasting_moves import (
    Move,
    MoveDestination,
    MoveReason,
    RunningSample,
    SustainedGap,
    lasting_move,
    may_move,
)
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
    EngineOffer,
    PeakNeed,
    engines_needed,
    spread_engines,
)

__all__ = [
    "ChosenLoad",
    "EngineLoad",
    "EngineView",
    "Move",
    "MoveDestination",
    "MoveReason",
    "PeakNeed",
    "ModelDemand",
    "EngineOffer",
    "PlacementOrder",
    "Rank",
    "RunningSample",
    "SustainedGap",
    "TokenPace",
    "assign_engines",
    "choose_loads",
    "engines_needed",
    "followed_models",
    "is_worth_moving",
    "lasting_move",
    "may_move",
    "placement_order",
    "sample_ranks",
    "spread_engines",
]

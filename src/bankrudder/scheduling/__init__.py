"""Scheduling policies for samples, engines and model weights, as pure functions.

Each module's docstring names the load pattern that its policy is made for, and the
measured benefit where there is one. The policies do no I/O; the packages that call
them carry out their decisions.
"""

from bankrudder.scheduling._assignment import assign_engines, followed_models
from bankrudder.scheduling._due_times import plan_steps
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
from bankrudder.scheduling._step_work import (
    GroupKey,
    GroupWork,
    SampleWork,
    StepPlan,
    StepWork,
    expected_left_s,
)
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
    "GroupKey",
    "GroupWork",
    "Move",
    "MoveDestination",
    "MoveReason",
    "PeakNeed",
    "ModelDemand",
    "EngineOffer",
    "PlacementOrder",
    "Rank",
    "SampleWork",
    "StepPlan",
    "StepWork",
    "RunningSample",
    "SustainedGap",
    "TokenPace",
    "assign_engines",
    "choose_loads",
    "engines_needed",
    "expected_left_s",
    "followed_models",
    "is_worth_moving",
    "lasting_move",
    "may_move",
    "placement_order",
    "plan_steps",
    "sample_ranks",
    "spread_engines",
]

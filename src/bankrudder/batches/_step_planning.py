"""Ranks of waiting samples when not all groups can be complete when they are due.

The owner of the steps plans over all of its open steps of a model, and again while
samples wait: lengths turn out to differ from their hints, and engines come and go.
Running samples are not interrupted. The text of a late group is not lost, as the group
may be carried over to a later step, and the trainer frees the slots of a step that it
gives up by ending it.

Planning is in force for all services if the settings say so, and otherwise for services
whose engines report the slowdown of their machine: the capacity of such engines cannot
be told from their number.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import structlog

from bankrudder.fleet import EndpointDirectory, TrackedEndpoint
from bankrudder.routing import ModelName, Route, ServiceName
from bankrudder.scheduling import Rank, StepPlan, StepWork, plan_steps
from bankrudder.world import Clock, DataCentreName, ModelVersion, SampleId

PLAN_INTERVAL_S = 0.2
"""Shortest time between two plans: several times shorter than a sample, so that few
slots are granted by an old plan."""

SERVICE_CHECK_INTERVAL_S = 1.0
"""Interval between two checks whether the engines of a service report the slowdown of
their machine. The check reads all engines of the service."""

MAX_PLAN_AGE_S = 1.0
"""Age up to which the metrics show a plan: none is made while no sample waits."""

LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines about the same model."""

_log = structlog.get_logger("batches")


@dataclass(frozen=True)
class StepTimes:
    """Times of a step by the monotonic clock, in seconds."""

    accepted_at: float
    due_at: float
    given_up_at: float

    @classmethod
    def from_route(cls, route: Route, accepted_at: float) -> "StepTimes | None":
        """Return the times of a step, None if its route sets no target for results."""
        if route.result_target_s <= 0:
            return None
        return cls(
            accepted_at,
            accepted_at + route.result_target_s,
            accepted_at + max(route.timeout_s, route.result_target_s),
        )


class StepKind(NamedTuple):
    """What the steps that compete for the same slots have in common."""

    service: ServiceName
    model: ModelName
    data_centres: tuple[DataCentreName, ...]


class OpenStep(Protocol):
    """An open step that this host owns."""

    @property
    def kind(self) -> StepKind | None:
        """The steps that it competes with, None if its service is not configured."""
        ...

    @property
    def min_version(self) -> ModelVersion:
        """Oldest weights that may generate any of its text."""
        ...

    def remaining_work(self) -> StepWork | None:
        """Return what is not complete yet, None while durations are unknown."""
        ...


class StepPlanner:
    """Plans the open steps of this host.

    Parameters
    ----------
    open_steps : callable
        Returns all open steps that this host owns.
    plans_all : bool
        Whether to plan the steps of all services.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        clock: Clock,
        open_steps: Callable[[], Iterable[OpenStep]],
        *,
        plans_all: bool,
    ):
        self._directory = directory
        self._clock = clock
        self._open_steps = open_steps
        self._plans_all = plans_all
        self._planned_at: float | None = None
        self._services: dict[ServiceName, tuple[bool, float]] = {}
        self._plans: dict[StepKind, StepPlan] = {}
        self._logged_at: dict[StepKind, float] = {}

    @property
    def in_time_count(self) -> int:
        """Groups planned to be complete when due, under scarcity."""
        return sum(len(plan.in_time) for plan in self._present_plans())

    @property
    def deferred_count(self) -> int:
        """Groups that come after those which can be complete when due."""
        return sum(
            len(plan.late) + len(plan.given_up) for plan in self._present_plans()
        )

    def plans(self, service: ServiceName) -> bool:
        """Whether the steps of a service are planned."""
        if self._plans_all:
            return True
        now = self._clock.monotonic()
        does_report, checked_at = self._services.get(service, (False, -1e9))
        if not does_report and now - checked_at >= SERVICE_CHECK_INTERVAL_S:
            does_report = any(
                each.reports_slowdown for each in self._directory.of_service(service)
            )
            self._services[service] = (does_report, now)
        return does_report

    def plans_any(self) -> bool:
        """Whether a host may plan steps, as far as this one knows.

        A host that accepts a step for another owner gets no reports of the step's
        engines, but those of other services.
        """
        return self._plans_all or any(
            each.reports_slowdown for each in self._directory.all()
        )

    def plan_anew(self) -> None:
        """Make the next call of `ranks` plan without delay, as a step began."""
        self._planned_at = None

    def ranks(self) -> Mapping[SampleId, Rank] | None:
        """Return the ranks that differ from the usual ones, None without a new plan."""
        now = self._clock.monotonic()
        if self._planned_at is not None and now - self._planned_at < PLAN_INTERVAL_S:
            return None
        self._planned_at = now
        self._plans = {}
        ranks: dict[SampleId, Rank] = {}
        for kind, steps in self._steps_by_kind().items():
            plan = self._plan(kind, steps, now)
            if plan.is_scarce:
                self._plans[kind] = plan
                ranks.update(plan.ranks)
        return ranks

    def _present_plans(self) -> Collection[StepPlan]:
        now = self._clock.monotonic()
        if self._planned_at is None or now - self._planned_at > MAX_PLAN_AGE_S:
            return ()
        return self._plans.values()

    def _steps_by_kind(self) -> dict[StepKind, list[OpenStep]]:
        steps: dict[StepKind, list[OpenStep]] = {}
        for step in self._open_steps():
            kind = step.kind
            if kind is not None and self.plans(kind.service):
                steps.setdefault(kind, []).append(step)
        return steps

    def _plan(
        self, kind: StepKind, steps: Collection[OpenStep], now: float
    ) -> StepPlan:
        remaining = [work for step in steps if (work := step.remaining_work())]
        slots = self._slot_count(kind, min(step.min_version for step in steps))
        plan = plan_steps(remaining, slots, now)
        if plan.is_scarce:
            self._log_scarcity(kind, plan, remaining, slots, now)
        return plan

    def _slot_count(self, kind: StepKind, min_version: ModelVersion) -> int:
        """Return the slots of engines that can generate the steps, or soon can."""
        now = self._clock.monotonic()
        return sum(
            _slot_count(engine, now)
            for engine in self._directory.of_service(kind.service, kind.data_centres)
            if (engine.version_of(kind.model) or 0) >= min_version
            or engine.is_loading(kind.model, now)
        )

    def _log_scarcity(
        self,
        kind: StepKind,
        plan: StepPlan,
        steps: Collection[StepWork],
        slots: int,
        now: float,
    ) -> None:
        if now - self._logged_at.get(kind, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[kind] = now
        _log.info(
            "batches: groups cannot be complete in time",
            service=kind.service,
            model=kind.model,
            batches=[step.id for step in steps],
            in_time=len(plan.in_time),
            late=len(plan.late),
            given_up=len(plan.given_up),
            slots=slots,
            needed_s=round(plan.needed_s, 1),
            due_in_s=[round(step.due_at - now, 1) for step in steps],
        )


def _slot_count(engine: TrackedEndpoint, now: float) -> int:
    if engine.is_suspended(now) or not engine.is_trusted:
        return 0
    return engine.endpoint.slots

"""Orders engines to load the versions that trainers named.

One host gives all orders, under a lease. An engine accepts an order only if the order
states the number of orders that the engine has accepted so far. So an order whose
response was lost can be sent again: the engine carries out at most one of the two.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import structlog

from bankrudder.fleet import (
    EndpointClient,
    EndpointDirectory,
    EndpointRun,
    EngineState,
    OrderOutcome,
    SwitchMode,
    TrackedEndpoint,
    VersionOrder,
)
from bankrudder.leases import Lease
from bankrudder.orders._announcing import EngineVersion, LoadAnnouncer
from bankrudder.orders._planning import LoadPlanner
from bankrudder.routing import ModelName, RoutingTable, ServiceName
from bankrudder.scheduling import ChosenLoad
from bankrudder.world import Clock, HostId, ModelVersion

CHECK_PAUSE_S = 0.05
"""Pause between two checks for engines with an old version."""

STANDBY_CHECK_PAUSE_S = 0.2
"""Pause between two checks of a host whether it has acquired the lease: a fifth of a
load, while the lease changes its holder only a few times a day."""

STATE_POLL_PAUSE_S = 0.05
"""Pause between two polls of an engine whose load is likely to have ended: a twentieth
of a load, as samples wait for its end."""

UNPOLLED_LOAD_SHARE = 0.8
"""Share of a load's usual duration in which the engine is not polled: the durations of
loads vary little."""

FULL_SLOT_SHARE = 0.75
"""Share of taken slots from which an engine counts as full. It will be full soon or was
full a moment ago, so samples wait for its slots, and a load would make them wait
longer."""

LOAD_TIMEOUT_S = 6.0
"""Time after which an accepted order without effect is given again: several times the
duration of a load."""

RETRY_PAUSE_S = 0.3
"""Pause after an unanswered request for the state, or an order without acceptance."""

_log = structlog.get_logger("orders")


class VersionSwitcher:
    """Gives the orders while this host holds the lease.

    Parameters
    ----------
    planner : LoadPlanner
        Chooses the loads that this class orders.
    """

    def __init__(
        self,
        lease: Lease,
        host: HostId,
        directory: EndpointDirectory,
        client: EndpointClient,
        planner: LoadPlanner,
        announcer: LoadAnnouncer,
        routes: Callable[[], RoutingTable | None],
        clock: Clock,
    ):
        self._planner = planner
        self._announcer = announcer
        self._lease = lease
        self._host = host
        self._directory = directory
        self._client = client
        self._routes = routes
        self._clock = clock
        self._tasks: dict[EndpointRun, asyncio.Task[None]] = {}
        self._orders_taken: dict[EndpointRun, int] = {}
        self._fence = 0
        self._announced: set[EndpointRun] = set()

    async def run(self) -> None:
        """Give orders until cancelled."""
        try:
            while True:
                is_holder = self._lease.is_valid
                await asyncio.sleep(
                    CHECK_PAUSE_S if is_holder else STANDBY_CHECK_PAUSE_S
                )
                if self._lease.is_valid:
                    self._reset_for_new_lease()
                    self._start_switches()
                    self._remove_rows_of_gone_engines()
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _reset_for_new_lease(self) -> None:
        # Another host that held the lease meanwhile gave orders not counted here.
        if self._fence != self._lease.fence:
            self._fence = self._lease.fence
            self._orders_taken.clear()
            self._planner.forget_assignment()

    def _remove_rows_of_gone_engines(self) -> None:
        """Remove the announced rows of engines that are no longer listed."""
        listed = {each.run: each for each in self._directory.all()}
        ended = self._announced - listed.keys()
        self._announced -= ended
        self._orders_taken = {
            run: count for run, count in self._orders_taken.items() if run in listed
        }
        for run in ended:
            # The next load replaces the row of an engine that restarted.
            if self._directory.get(run.endpoint) is None:
                task = asyncio.ensure_future(self._announcer.remove_row(run.endpoint))
                self._tasks[run] = task
                task.add_done_callback(partial(self._end_task, run))

    def _start_switches(self) -> None:
        for service in self._directory.services():
            if not self._is_configured(service):
                continue
            engines = sorted(
                (
                    each
                    for each in self._directory.of_service(service)
                    if each.endpoint.models
                ),
                key=lambda each: each.endpoint.id,
            )
            switching = {
                each.endpoint.id for each in engines if each.run in self._tasks
            }
            chosen = self._planner.choose(service, engines, switching)
            loads = {load.engine: load for load in chosen}
            for engine in engines:
                if engine.endpoint.id in loads:
                    self._start(engine, service, loads[engine.endpoint.id])

    def _start(
        self, engine: TrackedEndpoint, service: ServiceName, load: ChosenLoad
    ) -> None:
        task = asyncio.ensure_future(self._switch(engine, service, load))
        self._tasks[engine.run] = task
        task.add_done_callback(partial(self._end_task, engine.run))

    def _end_task(self, run: EndpointRun, task: "asyncio.Task[None]") -> None:
        self._tasks.pop(run, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "orders: switch failed",
                endpoint=run.endpoint,
                exc_info=task.exception(),
            )

    async def _switch(
        self, engine: TrackedEndpoint, service: ServiceName, load: ChosenLoad
    ) -> None:
        """Give one order and wait until the engine has loaded the version."""
        endpoint = engine.endpoint
        model = load.model
        expected = self._orders_taken.get(engine.run)
        if expected is None or load.may_wait:
            state = await self._read_state(engine)
            if state is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                return
            expected = state.orders_taken
            self._orders_taken[engine.run] = expected
            if load.may_wait and state.running >= FULL_SLOT_SHARE * endpoint.slots:
                self._planner.note_full(endpoint.id)
                return
        version = self._planner.newest_version(model)
        if (engine.version_of(model) or 0) >= version or not self._lease.is_valid:
            return
        order = VersionOrder(
            model,
            version,
            self._switch_mode(service),
            self._host,
            self._lease.fence,
            expected,
        )
        outcome = await self._client.order(endpoint, order)
        _log.info(
            "orders: given",
            endpoint=endpoint.id,
            model=model,
            version=version,
            fence=order.fencing_token,
            expected_orders=expected,
            outcome=outcome.value,
        )
        match outcome:
            case OrderOutcome.ACCEPTED:
                self._orders_taken[engine.run] = expected + 1
                await asyncio.gather(
                    self._announce(engine, EngineVersion(model, version, True)),
                    self._wait_loaded(engine, model, version),
                )
            case OrderOutcome.ALREADY_SO:
                engine.note_version(model, version)
                await self._announce(engine, EngineVersion(model, version))
            case _:
                # The next attempt reads the engine's count of accepted orders, which
                # shows whether this order was accepted.
                self._orders_taken.pop(engine.run, None)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _wait_loaded(
        self, engine: TrackedEndpoint, model: ModelName, version: ModelVersion
    ) -> None:
        started_at = self._clock.monotonic()
        deadline = started_at + LOAD_TIMEOUT_S
        if (usual_load := self._planner.usual_load) is not None:
            unpolled_time = UNPOLLED_LOAD_SHARE * usual_load
            await asyncio.sleep(unpolled_time.total_seconds())
        while self._clock.monotonic() < deadline:
            await asyncio.sleep(STATE_POLL_PAUSE_S)
            if not engine.takes_work:
                return
            await self._read_state(engine)
            if engine.has_ended:
                return  # the order was for the engine's previous run
            if (engine.version_of(model) or 0) >= version:
                duration = timedelta(seconds=self._clock.monotonic() - started_at)
                self._planner.note_load(duration)
                await self._announce(engine, EngineVersion(model, version))
                return
        _log.warning(
            "orders: version not loaded in time",
            endpoint=engine.endpoint.id,
            version=version,
        )
        self._orders_taken.pop(engine.run, None)

    async def _announce(self, engine: TrackedEndpoint, state: EngineVersion) -> None:
        if engine.has_ended:
            return
        self._announced.add(engine.run)
        await self._announcer.announce(engine.run, state)

    async def _read_state(self, engine: TrackedEndpoint) -> EngineState | None:
        """Ask an engine for its state and record its versions.

        Returns
        -------
        EngineState or None
            None without an answer, or if another run than that of `engine` answered.
        """
        state = await self._client.state(engine.endpoint)
        if state is None:
            return None
        run = EndpointRun(engine.run.endpoint, state.born or engine.run.born)
        latest = self._directory.note_run(run)
        if latest is None:
            return None
        for model, version in state.versions.items():
            latest.note_version(model, version)
        return state if latest is engine else None

    def _is_configured(self, service: ServiceName) -> bool:
        """Whether a service is configured: the list may contain other services."""
        table = self._routes()
        return table is None or table.serves(service)

    def _switch_mode(self, service: ServiceName) -> SwitchMode:
        table = self._routes()
        for route in table.routes if table else ():
            serves = any(each.service == service for each in route.services)
            if serves and route.is_single_version:
                return SwitchMode.FINISH_FIRST
        return SwitchMode.CONTINUE

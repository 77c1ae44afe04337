"""Bringing the engines to the versions that trainers named.

One host gives all orders, under a lease. An order holds only if the engine has taken
as many orders as the holder believes: an order whose answer was lost can be sent
again, since at most one of the two is carried out.
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

LOOK_S = 0.05
"""How often it is looked for engines with an old version."""

OFF_DUTY_LOOK_S = 0.2
"""How often a host without the lease looks whether it has it now: a fifth of a load,
while a lease changes hands some times a day."""

STATE_PAUSE_S = 0.05
"""Pause between two questions whether an engine has loaded, from when that is likely: a
twentieth of a load, as samples wait for its end."""

SURELY_LOADING_SHARE = 0.8
"""Share of a load's usual time for which nothing is asked; loads vary little."""

FULL_SHARE = 0.75
"""An engine of which more slots are taken is full soon or was just now: samples wait
for those that become free, and would wait for a load as well."""

LOAD_TIMEOUT_S = 6.0
"""An order that was accepted and shows no effect for so long is given anew: several
times a load."""

RETRY_PAUSE_S = 0.3

_log = structlog.get_logger("orders")


class VersionSwitcher:
    """Gives the orders while this host holds the lease.

    Parameters
    ----------
    planner : LoadPlanner
        Chooses the loads; this class carries them out.
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
        self._switching: dict[EndpointRun, asyncio.Task[None]] = {}
        self._orders_taken: dict[EndpointRun, int] = {}
        self._fence = 0
        self._announced: set[EndpointRun] = set()

    async def run(self) -> None:
        """Give orders until cancelled."""
        try:
            while True:
                is_on_duty = self._lease.is_valid
                await asyncio.sleep(LOOK_S if is_on_duty else OFF_DUTY_LOOK_S)
                if self._lease.is_valid:
                    self._forget_other_terms()
                    self._start_switches()
                    self._forget_gone()
        finally:
            for task in self._switching.values():
                task.cancel()

    def _forget_other_terms(self) -> None:
        # While another host held the lease it gave orders that were not counted here.
        if self._fence != self._lease.fence:
            self._fence = self._lease.fence
            self._orders_taken.clear()
            self._planner.forget_assignment()

    def _forget_gone(self) -> None:
        """Remove what was announced of engines that are no longer listed."""
        listed = {each.run: each for each in self._directory.all()}
        ended = self._announced - listed.keys()
        self._announced -= ended
        self._orders_taken = {
            run: count for run, count in self._orders_taken.items() if run in listed
        }
        for run in ended:
            # The row of an engine that started again is replaced by its next load.
            if self._directory.get(run.endpoint) is None:
                task = asyncio.ensure_future(self._announcer.forget(run.endpoint))
                self._switching[run] = task
                task.add_done_callback(partial(self._end, run))

    def _start_switches(self) -> None:
        for service in self._directory.services():
            if not self._is_known(service):
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
                each.endpoint.id for each in engines if each.run in self._switching
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
        self._switching[engine.run] = task
        task.add_done_callback(partial(self._end, engine.run))

    def _end(self, run: EndpointRun, task: "asyncio.Task[None]") -> None:
        self._switching.pop(run, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "orders: switch failed",
                endpoint=run.endpoint,
                exc_info=task.exception(),
            )

    async def _switch(
        self, engine: TrackedEndpoint, service: ServiceName, load: ChosenLoad
    ) -> None:
        """Give one order, and wait until the engine has carried it out."""
        endpoint = engine.endpoint
        model = load.model
        expected = self._orders_taken.get(engine.run)
        if expected is None or load.may_wait:
            state = await self._state_of(engine)
            if state is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                return
            expected = state.orders_taken
            self._orders_taken[engine.run] = expected
            if load.may_wait and state.running >= FULL_SHARE * endpoint.slots:
                self._planner.note_full(endpoint.id)
                return
        version = self._planner.named_version(model)
        if (engine.version_of(model) or 0) >= version or not self._lease.is_valid:
            return
        order = VersionOrder(
            model, version, self._mode(service), self._host, self._lease.fence, expected
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
                # The count is read anew: it tells whether the order was accepted.
                self._orders_taken.pop(engine.run, None)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _wait_loaded(
        self, engine: TrackedEndpoint, model: ModelName, version: ModelVersion
    ) -> None:
        began = self._clock.monotonic()
        until = began + LOAD_TIMEOUT_S
        if (usual_load := self._planner.usual_load) is not None:
            surely = SURELY_LOADING_SHARE * usual_load
            await asyncio.sleep(surely.total_seconds())
        while self._clock.monotonic() < until:
            await asyncio.sleep(STATE_PAUSE_S)
            if not engine.takes_work:
                return
            await self._state_of(engine)
            if engine.has_ended:
                return  # the order was meant for the run before
            if (engine.version_of(model) or 0) >= version:
                lasted = timedelta(seconds=self._clock.monotonic() - began)
                self._planner.note_load(lasted)
                await self._announce(engine, EngineVersion(model, version))
                return
        _log.warning(
            "orders: no effect seen", endpoint=engine.endpoint.id, version=version
        )
        self._orders_taken.pop(engine.run, None)

    async def _announce(self, engine: TrackedEndpoint, state: EngineVersion) -> None:
        if engine.has_ended:
            return
        self._announced.add(engine.run)
        await self._announcer.announce(engine.run, state)

    async def _state_of(self, engine: TrackedEndpoint) -> EngineState | None:
        """Ask an engine for its state and note its versions.

        Returns
        -------
        EngineState or None
            None if it does not tell, or tells of another run than that of `engine`.
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

    def _is_known(self, service: ServiceName) -> bool:
        """Whether operators named a service: the list may name others."""
        table = self._routes()
        return table is None or table.serves(service)

    def _mode(self, service: ServiceName) -> SwitchMode:
        table = self._routes()
        for route in table.routes if table else ():
            serves = any(each.service == service for each in route.services)
            if serves and route.is_single_version:
                return SwitchMode.FINISH_FIRST
        return SwitchMode.CONTINUE

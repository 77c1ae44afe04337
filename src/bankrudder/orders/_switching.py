"""Bringing the engines to the versions that trainers named.

One host gives all orders, under a lease. An order holds only if the engine has taken
as many orders as the holder believes: an order whose answer was lost can be sent
again, since at most one of the two is carried out.
"""

import asyncio
import math
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from functools import partial
from typing import Protocol

import structlog

from bankrudder.fleet import (
    EndpointClient,
    EndpointDirectory,
    EndpointId,
    OrderOutcome,
    SwitchMode,
    TrackedEndpoint,
    VersionOrder,
)
from bankrudder.leases import Lease
from bankrudder.orders._announcing import EngineVersion, LoadAnnouncer
from bankrudder.routing import ModelName, RoutingTable, ServiceName
from bankrudder.scheduling import (
    ChosenLoad,
    EngineLoad,
    ModelDemand,
    assign_engines,
    choose_loads,
    followed_models,
)
from bankrudder.world import Clock, HostId, ModelVersion

LOADING_SHARE = 0.4
MIN_LOADING = 2
"""Engines of a service that load weights at once: at most this share, and at least
so many. The platform's sheets name two of five or six, and nine of 22 or 23, as the
number from which loads slow each other down."""

LOOK_S = 0.05
"""How often it is looked for engines with an old version."""

OPEN_BATCHES = 2
"""Batches of a model that are open at once: a trainer asks for the next one while the
last samples of the one before are still generated."""

SPARE_ENGINES = 2
"""Engines beyond those that a model's samples fill: one may be lost, one loads."""

STATE_PAUSE_S = 0.05
"""Pause between two questions whether an engine has loaded, from when that is likely: a
twentieth of a load, as samples wait for its end."""

SURELY_LOADING_SHARE = 0.8
"""Share of a load's usual time for which nothing is asked; loads vary little."""

FULL_SHARE = 0.75
"""An engine of which more slots are taken is full soon or was just now: samples wait
for those that become free, and would wait for a load as well."""

FULL_PAUSE_S = 0.2
"""Time after which an engine that was full is asked again: twice the age of what it
tells."""

LOAD_TIMEOUT_S = 6.0
"""An order that was accepted and shows no effect for so long is given anew: several
times a load."""

RETRY_PAUSE_S = 0.3

FIRST_LOAD = timedelta(seconds=1)
LOAD_WEIGHT = 0.3
"""How long a load is taken to last before the first one was seen, and the weight of the
newest one in the mean."""

_log = structlog.get_logger("orders")


class OpenBatches(Protocol):
    """What the batches that are worked on ask of the engines."""

    @property
    def is_loaded(self) -> bool:
        """Whether all of them are known."""
        ...

    def work_of(self, model: ModelName) -> float:
        """Return the size of a model's latest batches in tokens, 0 if unknown."""
        ...

    def samples_of(self, model: ModelName) -> int:
        """Return the samples of a model's largest batch, 0 if none is known."""
        ...

    def open_seconds(self) -> Mapping[ModelName, float]:
        """Return for how long the latest batches of each model were open."""
        ...

    def needed_version(self, model: ModelName) -> ModelVersion:
        """Return the oldest version that every open batch may be made with."""
        ...


class VersionSwitcher:
    """Gives the orders while this host holds the lease.

    Parameters
    ----------
    named : mapping
        Newest version that was named for each model; read anew each time.
    open_batches : OpenBatches
        What the batches that are worked on ask of the engines.
    usual_gaps : callable
        Usual seconds from event to event, by engine, where that is known.
    """

    def __init__(
        self,
        lease: Lease,
        host: HostId,
        directory: EndpointDirectory,
        client: EndpointClient,
        named: Mapping[ModelName, ModelVersion],
        open_batches: OpenBatches,
        announcer: LoadAnnouncer,
        usual_gaps: Callable[[], Mapping[EndpointId, float]],
        routes: Callable[[], RoutingTable | None],
        clock: Clock,
    ):
        self._open_batches = open_batches
        self._announcer = announcer
        self._usual_gaps = usual_gaps
        self._lease = lease
        self._host = host
        self._directory = directory
        self._client = client
        self._named = named
        self._assigned: dict[ServiceName, dict[EndpointId, ModelName]] = {}
        self._routes = routes
        self._clock = clock
        self._switching: dict[EndpointId, asyncio.Task[None]] = {}
        self._orders_taken: dict[EndpointId, int] = {}
        self._fence = 0
        self._announced: set[EndpointId] = set()
        self._named_since: dict[ModelName, tuple[ModelVersion, float]] = {}
        self._usual_load = FIRST_LOAD
        self._has_seen_load = False
        self._full_until: dict[EndpointId, float] = {}

    async def run(self) -> None:
        """Give orders until cancelled."""
        try:
            while True:
                await asyncio.sleep(LOOK_S)
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
            self._assigned.clear()

    def _forget_gone(self) -> None:
        """Remove what was announced of engines that are no longer listed."""
        gone = {each for each in self._announced if self._directory.get(each) is None}
        self._announced -= gone
        for engine in gone:
            task = asyncio.ensure_future(self._announcer.forget(engine))
            self._switching[engine] = task
            task.add_done_callback(partial(self._end, engine))

    def _start_switches(self) -> None:
        if not self._named or not self._open_batches.is_loaded:
            # Nothing to load, or nothing that tells what engines follow; what is known
            # of some batches only would give their models the engines of the others.
            return
        for service in self._directory.services():
            engines = sorted(
                (
                    each
                    for each in self._directory.of_service(service)
                    if each.endpoint.models
                ),
                key=lambda each: each.endpoint.id,
            )
            self._assign(service, engines)
            most = max(MIN_LOADING, math.floor(LOADING_SHARE * len(engines)))
            followed = self._followed(service, engines)
            chosen = choose_loads(followed, self._demands(), most, self._usual_load)
            loads = {load.engine: load for load in chosen}
            for engine in engines:
                if engine.endpoint.id in loads:
                    self._start(engine, service, loads[engine.endpoint.id])

    def _followed(
        self, service: ServiceName, engines: Sequence[TrackedEndpoint]
    ) -> list[EngineLoad]:
        """Return the engines that follow a model, and how far they are."""
        assigned = self._assigned[service]
        return [
            EngineLoad(
                each.endpoint.id,
                assigned[each.endpoint.id],
                each.version_of(assigned[each.endpoint.id]) or ModelVersion(0),
                each.endpoint.id in self._switching,
                self._clock.monotonic() < self._full_until.get(each.endpoint.id, 0.0),
            )
            for each in engines
            if each.endpoint.id in assigned
        ]

    def _demands(self) -> dict[ModelName, ModelDemand]:
        now = self._clock.monotonic()
        demands = {}
        for model, version in self._named.items():
            known = self._named_since.get(model)
            if known is None or known[0] != version:
                known = (version, now)
                self._named_since[model] = known
            named_for = timedelta(seconds=now - known[1])
            demands[model] = ModelDemand(
                version, self._open_batches.needed_version(model), named_for
            )
        return demands

    def _assign(self, service: ServiceName, engines: list[TrackedEndpoint]) -> None:
        models = {state.model for each in engines for state in each.endpoint.models}
        shares = {model: self._open_batches.work_of(model) for model in models}
        before = self._assigned.get(service)
        if before is None:
            versions = {each.endpoint.id: each.versions for each in engines}
            before = followed_models(versions, self._named)
        most = self._most_engines(models, engines)
        names = [each.endpoint.id for each in engines]
        gaps = self._usual_gaps()
        lasting = self._open_batches.open_seconds()
        after = assign_engines(names, shares, before, most, gaps, lasting)
        if after != self._assigned.get(service):
            self._assigned[service] = after
            _log.info(
                "orders: engines assigned",
                service=service,
                engines=after,
                work={model: round(work) for model, work in shares.items()},
                gaps={key: round(gaps[key], 4) for key in names if key in gaps},
                open_seconds={key: round(each, 2) for key, each in lasting.items()},
            )

    def _most_engines(
        self, models: Collection[ModelName], engines: Sequence[TrackedEndpoint]
    ) -> dict[ModelName, int]:
        """Return how many engines each model's samples can use, where that is known."""
        slots = min((each.endpoint.slots for each in engines), default=1)
        samples = {model: self._open_batches.samples_of(model) for model in models}
        return {
            model: math.ceil(OPEN_BATCHES * count / slots) + SPARE_ENGINES
            for model, count in samples.items()
            if count
        }

    def _start(
        self, engine: TrackedEndpoint, service: ServiceName, load: ChosenLoad
    ) -> None:
        task = asyncio.ensure_future(self._switch(engine, service, load))
        self._switching[engine.endpoint.id] = task
        task.add_done_callback(partial(self._end, engine.endpoint.id))

    def _end(self, endpoint: EndpointId, task: "asyncio.Task[None]") -> None:
        self._switching.pop(endpoint, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "orders: switch failed", endpoint=endpoint, exc_info=task.exception()
            )

    async def _switch(
        self, engine: TrackedEndpoint, service: ServiceName, load: ChosenLoad
    ) -> None:
        """Give one order, and wait until the engine has carried it out."""
        endpoint = engine.endpoint
        model = load.model
        expected = self._orders_taken.get(endpoint.id)
        if expected is None or load.may_wait:
            state = await self._client.state(endpoint)
            if state is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                return
            self._note_versions(engine, state.versions)
            expected = state.orders_taken
            self._orders_taken[endpoint.id] = expected
            if load.may_wait and state.running >= FULL_SHARE * endpoint.slots:
                self._full_until[endpoint.id] = self._clock.monotonic() + FULL_PAUSE_S
                return
        version = self._named[model]
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
                self._orders_taken[endpoint.id] = expected + 1
                await asyncio.gather(
                    self._announce(engine, EngineVersion(model, version, True)),
                    self._wait_loaded(engine, model, version),
                )
            case OrderOutcome.ALREADY_SO:
                engine.note_version(model, version)
                await self._announce(engine, EngineVersion(model, version))
            case _:
                # The count is read anew: it tells whether the order was accepted.
                self._orders_taken.pop(endpoint.id, None)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _wait_loaded(
        self, engine: TrackedEndpoint, model: ModelName, version: ModelVersion
    ) -> None:
        began = self._clock.monotonic()
        until = began + LOAD_TIMEOUT_S
        if self._has_seen_load:
            surely = SURELY_LOADING_SHARE * self._usual_load
            await asyncio.sleep(surely.total_seconds())
        while self._clock.monotonic() < until:
            await asyncio.sleep(STATE_PAUSE_S)
            if not engine.takes_work:
                return
            state = await self._client.state(engine.endpoint)
            if state is not None:
                self._note_versions(engine, state.versions)
            if (engine.version_of(model) or 0) >= version:
                self._note_load(timedelta(seconds=self._clock.monotonic() - began))
                await self._announce(engine, EngineVersion(model, version))
                return
        _log.warning(
            "orders: no effect seen", endpoint=engine.endpoint.id, version=version
        )
        self._orders_taken.pop(engine.endpoint.id, None)

    def _note_load(self, lasted: timedelta) -> None:
        if not self._has_seen_load:
            self._usual_load = lasted
            self._has_seen_load = True
        self._usual_load += LOAD_WEIGHT * (lasted - self._usual_load)

    async def _announce(self, engine: TrackedEndpoint, state: EngineVersion) -> None:
        self._announced.add(engine.endpoint.id)
        await self._announcer.announce(engine.endpoint.id, state)

    def _note_versions(
        self, engine: TrackedEndpoint, versions: Mapping[ModelName, ModelVersion]
    ) -> None:
        for model, version in versions.items():
            engine.note_version(model, version)

    def _mode(self, service: ServiceName) -> SwitchMode:
        table = self._routes()
        for route in table.routes if table else ():
            serves = any(each.service == service for each in route.services)
            if serves and route.is_single_version:
                return SwitchMode.FINISH_FIRST
        return SwitchMode.CONTINUE

"""One host of the system: its parts, its start, and its planned stop."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol, Self

import msgspec
import structlog
import uuid_utils

from bankrudder.batches import (
    BatchReader,
    BatchRepository,
    BatchService,
    Cleaner,
    ProgressStore,
    Scorer,
)
from bankrudder.fleet import EndpointClient, EndpointDirectory
from bankrudder.leases import Lease
from bankrudder.logs import LineLimit
from bankrudder.node._gateway import Gateway
from bankrudder.node._instruments import Instruments
from bankrudder.node._settings import NodeSettings
from bankrudder.node._world_view import Documents, WorldView
from bankrudder.observe import ObserveServer, Sample
from bankrudder.orders import LOADED_TABLE, LoadAnnouncer, VersionSwitcher
from bankrudder.presence import Lifetime, Presence
from bankrudder.relay import Forwarder, StreamForwarder
from bankrudder.routing import RoutingTable
from bankrudder.store import MeasuredStore, Store, TableFollower
from bankrudder.world import Clock

NOTICE_S = 2.6
"""Time for which new connections are still answered after the request to stop: the
balancer asks once a second and leaves a host out after two questions."""

BATCHES_SHARE = 0.55
"""Share of the grace time in which batches may still end here before they are handed
over: most end sooner, and a handover takes well under a second."""

STOP_MARGIN_S = 1.0
"""Time that is kept at the end of the grace time for closing connections."""

RELEASE_PAUSE_S = 0.2
"""Pause before another try to hand batches over while the store does not take it."""

POLL_S = 0.05

_log = structlog.get_logger("node")


class Listener(Protocol):
    """A socket that is served."""

    async def start(self) -> None:
        """Listen."""
        ...

    async def stop(self) -> None:
        """Stop listening and close what is left."""
        ...


class CallerListening(Listener, Protocol):
    """The listener for callers."""

    @property
    def in_progress(self) -> int:
        """Number of requests that are not answered yet."""
        ...


class Adapter(Protocol):
    """What connects a host to the outside."""

    @property
    def store(self) -> Store:
        """The client of the store."""
        ...

    @property
    def endpoints(self) -> EndpointClient:
        """The client of endpoints."""
        ...

    @property
    def documents(self) -> Documents:
        """Where documents are, and how they are decoded."""
        ...

    def caller_listener(
        self, settings: NodeSettings, gateway: Gateway, clock: Clock
    ) -> CallerListening:
        """Make the listener for callers."""
        ...

    def readiness_listener(self, settings: NodeSettings, gateway: Gateway) -> Listener:
        """Make the listener for the balancer."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class Node:
    """One daemon."""

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        lines: LineLimit,
    ):
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._instruments = Instruments.from_config(settings.host, lines)
        self._instruments.metrics.add_source(self._samples)
        store = MeasuredStore(adapter.store, clock, self._instruments.note_store_call)
        self._directory = EndpointDirectory(settings.data_centre, clock)
        directory = self._directory
        self._lifetime = Lifetime(str(uuid_utils.uuid4()))
        self._view = WorldView(store, adapter.documents, directory, clock)
        room = settings.processor_share * settings.processor_speed
        self._presence = Presence(store, settings.host, self._lifetime, clock, room)
        forwarder = Forwarder(directory, adapter.endpoints, clock)
        repository = BatchRepository(store, clock, settings.store.row_bytes)
        scorer = Scorer(forwarder, directory, self._routes, clock)
        announcer = LoadAnnouncer(store, directory)
        self._batches = BatchService(
            store,
            repository,
            ProgressStore(store, settings.store.row_bytes),
            self._presence,
            directory,
            adapter.endpoints,
            scorer,
            self._routes,
            clock,
            TableFollower(
                store,
                LOADED_TABLE,
                clock,
                on_row=announcer.take,
                on_removed=lambda _: None,
            ),
        )
        self._lease = Lease(
            store,
            "orders",
            settings.host,
            self._lifetime,
            self._presence.duty_hosts,
            clock,
            settings.lease_ms / 1000,
            self._presence.set_holds_lease,
        )
        self._switcher = VersionSwitcher(
            self._lease,
            settings.host,
            directory,
            adapter.endpoints,
            self._view.named_versions,
            self._batches.owners.work_of,
            self._batches.owners.needed_version,
            announcer,
            self._routes,
            clock,
        )
        self._gateway = Gateway(
            self._routes,
            lambda: self._view.is_complete,
            forwarder,
            StreamForwarder(directory, adapter.endpoints, clock),
            self._batches,
            BatchReader(repository, clock),
            repository,
            self._instruments,
            clock,
        )
        self._cleaner = Cleaner(
            store, repository, self._lease, settings.status_retention_s
        )
        self._metrics_server = (
            ObserveServer.from_config(
                settings.metrics_address,
                self._instruments.metrics,
                lambda: self._gateway.is_ready,
            )
            if settings.metrics_address is not None
            else None
        )
        self._callers = adapter.caller_listener(settings, self._gateway, clock)
        self._readiness = adapter.readiness_listener(settings, self._gateway)
        self._stop_asked = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        lines: LineLimit,
    ) -> Self:
        """Make a node that `run` starts."""
        return cls(settings, adapter, clock, lines)

    def reload(self, settings: NodeSettings) -> None:
        """Take the settings that may change while the node runs.

        These are the grace time and the length of leases; listeners, names and the
        store stay as they were until the next start.
        """
        _log.info(
            "node: settings reloaded",
            grace_s=settings.grace_s,
            lease_ms=settings.lease_ms,
        )
        self._settings = msgspec.structs.replace(
            self._settings, grace_s=settings.grace_s, lease_ms=settings.lease_ms
        )
        self._lease.set_duration(settings.lease_ms / 1000)

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop_asked.set()

    async def run(self) -> None:
        """Serve until a planned stop is through.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        await self._readiness.start()
        await self._callers.start()
        if self._metrics_server is not None:
            await self._metrics_server.start()
        _log.info("node: started", host=self._settings.host, lifetime=self._lifetime)
        self._start("view", self._view.run)
        self._start("presence", self._presence.run)
        self._start("batches", self._batches.run)
        self._start("lease", self._lease.run)
        self._start("orders", self._switcher.run)
        self._start("cleaning", self._cleaner.run)
        await self._stop_asked.wait()
        await self._drain()

    def _samples(self) -> Iterable[Sample]:
        """Yield what the node holds now, for its metrics."""
        routes = self._view.routes
        levels = {
            "bankrudder_batches_in_work": self._batches.running_count,
            "bankrudder_samples_waiting": self._batches.waiting_count,
            "bankrudder_endpoints_listed": len(self._directory),
            "bankrudder_requests_in_progress": self._callers.in_progress,
            "bankrudder_orders_lease_held": int(self._lease.is_valid),
            "bankrudder_hosts_alive": len(self._presence.live_hosts()),
            "bankrudder_ready": int(self._gateway.is_ready),
            "bankrudder_configuration_revision": (
                routes.configuration.revision if routes else 0
            ),
        }
        for name, value in levels.items():
            yield Sample.gauge(name, value)
        for table, age_s in self._view.ages().items():
            yield Sample.gauge("bankrudder_table_age_seconds", age_s, table=table)

    def _routes(self) -> RoutingTable | None:
        return self._view.routes

    def _start(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.ensure_future(self._kept_running(name, work)))

    async def _kept_running(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a part; one that fails is logged and run again."""
        while True:
            try:
                await work()
            except Exception:
                _log.exception("node: part failed, starting it again", part=name)
            await asyncio.sleep(POLL_S)

    async def _drain(self) -> None:
        began = self._clock.monotonic()
        grace_s = self._settings.grace_s
        _log.info("node: stop begins", in_progress=self._callers.in_progress)
        self._gateway.leave()
        self._presence.leave()
        await asyncio.gather(self._presence.announce(), self._lease.release())
        await self._wait(
            began + BATCHES_SHARE * grace_s,
            lambda: self._batches.running_count == 0,
            began + NOTICE_S,
        )
        end = began + grace_s - STOP_MARGIN_S
        while not await self._batches.release_all():
            if self._clock.monotonic() >= end:
                break
            await asyncio.sleep(RELEASE_PAUSE_S)
        await self._wait(
            end,
            lambda: self._callers.in_progress == 0,
            began + NOTICE_S,
        )
        for task in self._tasks:
            task.cancel()
        await self._callers.stop()
        await self._readiness.stop()
        if self._metrics_server is not None:
            await self._metrics_server.stop()
        await self._adapter.close()
        _log.info("node: stopped", seconds=round(self._clock.monotonic() - began, 3))

    async def _wait(
        self, until: float, is_done: Callable[[], bool], not_before: float
    ) -> None:
        while (now := self._clock.monotonic()) < until:
            if is_done() and now >= not_before:
                return
            await asyncio.sleep(POLL_S)

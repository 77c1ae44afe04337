"""Creation of a node's components and their dependencies."""

from collections.abc import Awaitable, Callable

import uuid_utils

from bankrudder.batches import (
    BatchReader,
    BatchRepository,
    BatchService,
    Cleaner,
    ProgressStore,
    Scorer,
)
from bankrudder.crashes import CrashGuard
from bankrudder.duties import DutyApi
from bankrudder.feeds import (
    FeedCache,
    FeedMessage,
    FeedPublisher,
    FeedRole,
    ReaderElection,
    RelayedStore,
)
from bankrudder.fleet import EndpointDirectory
from bankrudder.leases import repeat_on_duty
from bankrudder.logs import LogRateLimiter
from bankrudder.node._adapter import Adapter
from bankrudder.node._feeds import FeedRowFilter
from bankrudder.node._gateway import Gateway
from bankrudder.node._instruments import Instruments
from bankrudder.node._key_refresher import KeyRefresher
from bankrudder.node._leases import HostLeases
from bankrudder.node._platform_state import PlatformState
from bankrudder.node._settings import FeedSettings, NodeSettings
from bankrudder.node._store_reachability import is_store_unreachable
from bankrudder.node._supply import SUPPLY_LEASE, SupplyComponents
from bankrudder.node._usage import USAGE_LEASE, UsageComponents
from bankrudder.observe import Tracer
from bankrudder.orders import (
    LOADED_TABLE,
    EnginePaces,
    LoadAnnouncer,
    LoadPlanner,
    VersionSwitcher,
)
from bankrudder.overload import RequestLines
from bankrudder.presence import (
    NO_ADDRESS,
    HostCleaner,
    Lifetime,
    Presence,
)
from bankrudder.relay import Forwarder, StreamForwarder
from bankrudder.routing import RoutingTable
from bankrudder.store import (
    PROBE_PAUSE_S,
    PROBE_SHARE,
    MeasuredStore,
    ReadPace,
    RecoveringStore,
    TableFollower,
)
from bankrudder.usage import FleetTime, StoreClock
from bankrudder.world import Clock

ORDERS_LEASE = "orders"
"""Lease of the host that assigns model versions to engines and removes old rows."""

AsyncFunction = Callable[[], Awaitable[None]]


class NodeComponents:
    """All components of one node; creating them starts none."""

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        line_limit: LogRateLimiter,
    ):
        self._settings = settings
        self._clock = clock
        self._endpoints = adapter.endpoints
        self.budget = adapter.budget
        self._limits = adapter.limits
        self._documents = adapter.documents
        self.lifetime = Lifetime(str(uuid_utils.uuid4()))
        self.instruments = Instruments.from_config(settings.host, line_limit)
        self.tracer = Tracer.from_config(settings.host, settings.traces, clock)
        measured = MeasuredStore(
            adapter.store, clock, self.instruments.observe_store_call
        )
        self._feed_cache = FeedCache(clock)
        self.pace = ReadPace(
            self._host_count, settings.store.reads_per_s, self._is_feed_in_use
        )
        probe_pause_s = self._probe_pace().pause(PROBE_SHARE, PROBE_PAUSE_S)
        self._recovering = RecoveringStore(measured, clock, probe_pause_s)
        self.store = RelayedStore(self._recovering, self._feed_cache)
        self.directory = EndpointDirectory(settings.data_centre, clock)
        self.platform_state = PlatformState(
            self.store, adapter.documents, self.directory, clock, self.pace
        )
        self._store_clock = StoreClock(clock)
        self.presence = self._make_presence()
        self.leases = HostLeases(
            settings, self.store, self.lifetime, self.presence, clock
        )
        self.usage = self._make_usage(adapter.duties)
        meter = self.usage.counter if self.usage is not None else None
        self.crashes = self._make_crash_guard()
        self.lines = self._make_lines()
        self.forwarder = Forwarder(
            self.directory,
            self._endpoints,
            self.crashes,
            clock,
            self.tracer,
            meter=meter,
            lines=self.lines,
        )
        self.streams = StreamForwarder(
            self.directory, self._endpoints, self.crashes, clock, meter
        )
        self._announcer = LoadAnnouncer(self.store, self.directory, clock)
        self.paces = EnginePaces(self.store, self.directory)
        self.repository = BatchRepository(self.store, clock, settings.store.row_bytes)
        self.batches = self._make_batches()
        self.supply = self._make_supply(adapter.duties)
        self.lease = self.leases.make(ORDERS_LEASE, self.presence.set_holds_lease)
        self.switcher = self._make_switcher()
        self.batch_cleaner = Cleaner(
            self.store, self.repository, self.lease, settings.status_retention_s
        )
        self.host_cleaner = HostCleaner(self.store, self.presence)
        self.gateway = self._make_gateway()

    def while_lease_held(
        self, duty: str, pause_s: float, function: AsyncFunction
    ) -> AsyncFunction:
        """Return a loop that calls `function` while this host has the orders lease."""

        async def repeat() -> None:
            await repeat_on_duty(duty, lambda: self.lease.is_valid, pause_s, function)

        return repeat

    def make_election(self, feeds: FeedSettings) -> ReaderElection:
        """Create the election of the host that reads the store for the data centre."""
        row_filter = FeedRowFilter(self._documents)

        def make_publisher(send: Callable[[FeedMessage], None]) -> FeedPublisher:
            return FeedPublisher(
                send,
                row_filter.significant_content,
                row_filter.relays_touches,
                self._clock,
            )

        return ReaderElection(
            self.store,
            self._feed_cache,
            self.presence,
            self._settings.data_centre,
            feeds.address,
            feeds.min_hosts,
            self._limits.subscribers,
            make_publisher,
        )

    def _make_crash_guard(self) -> CrashGuard:
        return CrashGuard(
            self.store,
            self._endpoints,
            self.directory,
            self._clock,
            lambda: self.platform_state.endpoints_current_for_s(),
            self.pace,
        )

    def _make_lines(self) -> RequestLines | None:
        overload = self._settings.overload
        if overload is None or not overload.limits_requests:
            return None
        return RequestLines(self.directory, self._clock)

    def _make_presence(self) -> Presence:
        settings = self._settings
        capacity = settings.processor_share * settings.processor_speed
        return Presence(
            self.store,
            settings.host,
            self.lifetime,
            self._clock,
            capacity,
            settings.data_centre,
            settings.rpc.address if settings.rpc is not None else NO_ADDRESS,
            settings.feeds.address if settings.feeds is not None else NO_ADDRESS,
            self.pace,
            self._store_clock.record_store_time,
            self._wall_ahead_s,
        )

    def _wall_ahead_s(self) -> float | None:
        """Return how far the wall clock is ahead of the store's clock.

        None if it is not known yet, or if the platform has no duties. Reports of usage,
        one of the duties, need this figure from all hosts.
        """
        if self._settings.duties is None:
            return None
        ahead_s = self._store_clock.wall_ahead_s()
        return None if ahead_s is None else round(ahead_s, 4)

    def _make_usage(self, api: DutyApi | None) -> UsageComponents | None:
        duties = self._settings.duties
        if api is None or duties is None or duties.usage is None:
            return None
        time = FleetTime(self._store_clock, self.presence.seen.wall_ahead, self._clock)
        return UsageComponents(
            self._settings,
            duties,
            duties.usage,
            api,
            self.leases.make(USAGE_LEASE),
            self.lifetime,
            self.presence,
            self.store,
            time,
            self._clock,
        )

    def _make_supply(self, api: DutyApi | None) -> SupplyComponents | None:
        duties = self._settings.duties
        if api is None or duties is None or not duties.orders_endpoints:
            return None
        return SupplyComponents(
            self._settings,
            duties,
            api,
            self.leases.make(SUPPLY_LEASE),
            self._routes,
            self.directory,
            self.batches.owners,
            self._clock,
        )

    def _make_batches(self) -> BatchService:
        return BatchService(
            self.store,
            self.repository,
            ProgressStore(self.store, self._settings.store.row_bytes),
            self.presence,
            self.directory,
            self._endpoints,
            self.crashes,
            Scorer(self.forwarder, self.directory, self._routes, self._clock),
            self._routes,
            self._clock,
            self.tracer,
            self.pace,
            self._make_loads_follower(),
            self._store_clock.time_at,
            self._plans_steps,
            self.budget,
        )

    @property
    def _plans_steps(self) -> bool:
        """Whether the settings call for the planning of all steps."""
        overload = self._settings.overload
        return overload is not None and overload.plans_steps

    def _make_loads_follower(self) -> TableFollower:
        return TableFollower(
            self.store,
            LOADED_TABLE,
            self._clock,
            on_row=self._announcer.apply_row,
            on_removed=lambda _: None,
        )

    def _make_switcher(self) -> VersionSwitcher:
        planner = LoadPlanner(
            self.platform_state.named_versions,
            self.batches.owners,
            lambda: self.paces.usual_gaps,
            self._clock,
        )
        return VersionSwitcher(
            self.lease,
            self._settings.host,
            self.directory,
            self._endpoints,
            planner,
            self._announcer,
            self._routes,
            self._clock,
        )

    def _make_gateway(self) -> Gateway:
        return Gateway(
            self._routes,
            self._can_serve_requests,
            self.forwarder,
            self.streams,
            self.batches,
            BatchReader(self.repository, self._clock),
            self.repository,
            self.instruments,
            # Each host refreshes its keys itself, even if one reads for the others.
            KeyRefresher.from_config(
                self.platform_state.refresh_configuration,
                self._probe_pace(),
                self._clock,
            ),
            self.tracer,
            self._clock,
        )

    def _can_serve_requests(self) -> bool:
        """Whether this host can serve the requests that it receives."""
        return (
            self.platform_state.is_complete
            and self.presence.is_announced
            and not is_store_unreachable(self._recovering.failing_since, self._clock)
        )

    def _probe_pace(self) -> ReadPace:
        """Return the pace of reads that each host makes itself, even with a feed."""
        return ReadPace(self._host_count, self._settings.store.reads_per_s)

    def _host_count(self) -> int:
        return self.presence.host_count()

    def _is_feed_in_use(self) -> bool:
        """Whether one host of each data centre reads the store for the others."""
        return self.store.role is not FeedRole.DIRECT

    def _routes(self) -> RoutingTable | None:
        return self.platform_state.routes

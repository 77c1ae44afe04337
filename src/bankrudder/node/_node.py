"""The node: starts its components, keeps them running, and drains before a stop."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Self

import msgspec
import structlog

from bankrudder.feeds import FeedRole
from bankrudder.logs import LogRateLimiter
from bankrudder.node._adapter import Adapter
from bankrudder.node._background import background_tasks
from bankrudder.node._components import NodeComponents
from bankrudder.node._planned_stop import PlannedStop
from bankrudder.node._settings import NodeSettings
from bankrudder.node._speed_samples import speed_samples
from bankrudder.observe import MonitoringServer, Sample
from bankrudder.scheduling import MoveReason
from bankrudder.usage import UsageWriter
from bankrudder.world import Clock

if TYPE_CHECKING:
    from bankrudder.node._rpc_interface import RpcInterface

HANDOVER_RETRY_PAUSE_S = 0.2
"""Pause before a handover that the store did not commit is tried again."""

SAVE_LIMIT_S = 0.5
"""Time limit of the last write of usage; counts that are not written then are lost."""

POLL_INTERVAL_S = 0.05
"""Interval between two checks while draining, and pause before a component that ended
is run again."""

_log = structlog.get_logger("node")


class Node:
    """One daemon: components, listeners and background tasks.

    Parameters
    ----------
    line_limit : LogRateLimiter
        Also counts the log lines, for the metric of decisions.
    """

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        line_limit: LogRateLimiter,
    ):
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._components = NodeComponents(settings, adapter, clock, line_limit)
        self._components.instruments.metrics.add_source(self._gauge_samples)
        self._metrics_server = self._make_metrics_server()
        self._rpc_interface = self._make_rpc_interface()
        self._callers = adapter.caller_listener(
            settings, self._components.gateway, clock
        )
        self._readiness = adapter.readiness_listener(
            settings, self._components.gateway, clock
        )
        self._stop_requested = asyncio.Event()
        self._stop_requested_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        line_limit: LogRateLimiter,
    ) -> Self:
        """Create a node; `run` starts it."""
        return cls(settings, adapter, clock, line_limit)

    def reload(self, settings: NodeSettings) -> None:
        """Apply the settings that may change while the node runs.

        These are the grace period and the duration of leases; the level of the log is
        applied by the caller. Changes of listeners, names and the store take effect at
        the next start.
        """
        _log.info(
            "node: settings reloaded",
            grace_s=settings.grace_s,
            lease_ms=settings.lease_ms,
            log_level=settings.log_level.value,
        )
        self._settings = msgspec.structs.replace(
            self._settings, grace_s=settings.grace_s, lease_ms=settings.lease_ms
        )
        self._components.leases.set_duration(settings.lease_ms / 1000)

    def stop(self) -> None:
        """Request a planned stop; `run` drains and returns."""
        if not self._stop_requested.is_set():
            self._stop_requested_at = self._clock.monotonic()
            self._stop_requested.set()

    async def run(self) -> None:
        """Serve until a planned stop has completed.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        await self._readiness.start()
        await self._callers.start()
        if self._metrics_server is not None:
            await self._metrics_server.start()
        if self._rpc_interface is not None:
            await self._rpc_interface.start()
        _log.info(
            "node: started",
            host=self._settings.host,
            lifetime=self._components.lifetime,
        )
        self._start_task("view", self._components.platform_state.run)
        self._start_task("presence", self._components.presence.run)
        self._start_task("batches", self._components.batches.run)
        self._start_task("crashes", self._components.crashes.run)
        self._start_task("lease", self._components.lease.run)
        self._start_task("orders", self._components.switcher.run)
        for name, function in background_tasks(self._components).items():
            self._start_task(name, function)
        if self._settings.feeds is not None:
            election = self._components.make_election(self._settings.feeds)
            self._start_task("feeds", election.run)
        if self._rpc_interface is not None:
            self._start_task("interface", self._rpc_interface.run)
        await self._stop_requested.wait()
        await self._drain()

    def _make_metrics_server(self) -> MonitoringServer | None:
        if self._settings.metrics_address is None:
            return None
        return MonitoringServer.from_config(
            self._settings.metrics_address,
            self._components.instruments.metrics,
            lambda: self._components.gateway.is_ready,
            find_spans=self._components.tracer.find_spans,
        )

    def _make_rpc_interface(self) -> "RpcInterface | None":
        rpc = self._settings.rpc
        if rpc is None:
            return None
        from bankrudder.node._rpc_interface import RpcInterface

        return RpcInterface(
            self._settings,
            rpc,
            self._components,
            self._clock,
            self.stop,
            self._adapter.limits.rpc_connections,
        )

    def _gauge_samples(self) -> Iterable[Sample]:
        """Yield the gauges of the node, at each scrape of its metrics."""
        routes = self._components.platform_state.routes
        gauges = {
            "bankrudder_batches_in_work": self._components.batches.running_batch_count,
            "bankrudder_samples_waiting": (
                self._components.batches.waiting_sample_count
            ),
            "bankrudder_groups_in_time": (
                self._components.batches.step_planner.in_time_count
            ),
            "bankrudder_groups_deferred": (
                self._components.batches.step_planner.deferred_count
            ),
            "bankrudder_endpoints_listed": len(self._components.directory),
            "bankrudder_endpoints_unreadable": (
                self._components.directory.unreadable_count
            ),
            "bankrudder_crashing_contents": len(self._components.crashes),
            "bankrudder_crashing_contents_refused": (
                self._components.crashes.refused_count
            ),
            "bankrudder_requests_in_progress": self._callers.in_progress,
            "bankrudder_held_bytes": self._callers.held_bytes,
            "bankrudder_caller_connections": self._callers.connection_count,
            "bankrudder_orders_lease_held": int(self._components.lease.is_valid),
            "bankrudder_hosts_alive": len(self._components.presence.live_hosts()),
            "bankrudder_ready": int(self._components.gateway.is_ready),
            "bankrudder_reads_for_others": int(
                self._components.store.role is FeedRole.READER
            ),
            "bankrudder_configuration_revision": (
                routes.configuration.revision if routes else 0
            ),
        }
        for name, value in gauges.items():
            yield Sample.gauge(name, value)
        yield Sample.counter(
            "bankrudder_caller_connections_closed_total",
            self._callers.closed_connection_count,
        )
        for table, age_s in self._components.platform_state.table_ages_s().items():
            yield Sample.gauge("bankrudder_table_age_seconds", age_s, table=table)
        yield from self._line_samples()
        yield from self._move_samples()
        yield from speed_samples(
            self._components.directory.all(), self._clock.monotonic()
        )

    def _move_samples(self) -> Iterable[Sample]:
        """Yield the moves of running samples, and the time that these saved."""
        moves = self._components.batches.moves
        for reason in MoveReason:
            yield Sample.counter(
                "bankrudder_sample_moves_total",
                moves.counts[reason],
                reason=reason.name.lower(),
            )
        savings_s = {"expected": moves.expected_saving_s, "seen": moves.seen_saving_s}
        for kind, seconds in savings_s.items():
            yield Sample.gauge(
                "bankrudder_sample_move_saving_seconds", seconds, kind=kind
            )

    def _line_samples(self) -> Iterable[Sample]:
        """Yield the gauges of the lines in which requests wait for slots."""
        lines = self._components.lines
        for state in lines.states() if lines is not None else ():
            gauges = {
                "bankrudder_line_requests": state.waiting,
                "bankrudder_repeat_budget": state.repeat_budget,
                "bankrudder_answer_estimate_seconds": state.estimate_s,
            }
            for name, value in gauges.items():
                yield Sample.gauge(
                    name,
                    value,
                    service=state.key.service,
                    data_centres=",".join(state.key.data_centres),
                )

    def _start_task(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(
            asyncio.ensure_future(self._run_with_restarts(name, function))
        )

    async def _run_with_restarts(
        self, name: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a component until cancelled; log failures and run it again."""
        while True:
            try:
                await function()
            except Exception:
                _log.exception("node: part failed, starting it again", part=name)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _drain(self) -> None:
        stop = PlannedStop(self._stop_requested_at, self._settings.grace_s)
        _log.info("node: stop begins", in_progress=self._callers.in_progress)
        self._components.gateway.leave(stop)
        if self._rpc_interface is not None:
            self._rpc_interface.leave()
        self._components.presence.leave()
        await self._hand_over(stop)
        await self._wait_until(
            stop.answers_end_at, lambda: self._in_progress == 0, stop.rotation_ends_at
        )
        # What was taken since the last check of the requests is answered, too.
        self._components.gateway.refuse_all()
        await self._wait_until(stop.answers_end_at, lambda: self._in_progress == 0)
        self._callers.end_requests()
        if self._rpc_interface is not None:
            self._rpc_interface.end_requests()
        async with self._until(stop.closed_at, "close"):
            await self._close()
        _log.info(
            "node: stopped",
            seconds=round(self._clock.monotonic() - stop.begun_at, 3),
        )

    async def _hand_over(self, stop: PlannedStop) -> None:
        """Let batches finish for a while, and hand the others over."""
        async with self._until(stop.handover_at, "announce the stop"):
            await asyncio.gather(
                self._components.presence.announce(), self._components.leases.release()
            )
        await self._wait_until(
            stop.handover_at,
            lambda: self._components.batches.running_batch_count == 0,
            stop.rotation_ends_at,
        )
        async with self._until(stop.answers_end_at, "hand over batches"):
            while True:
                if await self._components.batches.hand_over_all():
                    return
                await asyncio.sleep(HANDOVER_RETRY_PAUSE_S)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        closing = [self._callers.stop(), self._readiness.stop()]
        if self._rpc_interface is not None:
            closing.append(self._rpc_interface.stop())
        if self._metrics_server is not None:
            closing.append(self._metrics_server.stop())
        if self._components.usage is not None:
            closing.append(self._save_usage(self._components.usage.writer))
        await asyncio.gather(*closing)
        await self._adapter.close()
        await self._components.tracer.stop()

    async def _save_usage(self, writer: UsageWriter) -> None:
        async with self._until(self._clock.monotonic() + SAVE_LIMIT_S, "save usage"):
            await writer.write_unsaved()

    @asynccontextmanager
    async def _until(self, deadline: float, purpose: str) -> AsyncIterator[None]:
        """Cancel the block at a deadline."""
        left_s = max(deadline - self._clock.monotonic(), 0.0)
        try:
            async with asyncio.timeout(left_s) as scope:
                yield
        except TimeoutError:
            if not scope.expired():
                raise
            _log.warning("node: no time left", purpose=purpose, limit_s=left_s)

    @property
    def _in_progress(self) -> int:
        rpc_in_progress = (
            self._rpc_interface.in_progress if self._rpc_interface is not None else 0
        )
        return self._callers.in_progress + rpc_in_progress

    async def _wait_until(
        self, deadline: float, is_done: Callable[[], bool], not_before: float = 0.0
    ) -> None:
        while (now := self._clock.monotonic()) < deadline:
            if is_done() and now >= not_before:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

"""One host of the system: its parts, its start, and its planned stop."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Self

import msgspec
import structlog

from bankrudder.feeds import FeedRole
from bankrudder.logs import LogRateLimiter
from bankrudder.node._adapter import Adapter
from bankrudder.node._parts import Parts
from bankrudder.node._settings import NodeSettings
from bankrudder.observe import MonitoringServer, Sample
from bankrudder.world import Clock

if TYPE_CHECKING:
    from bankrudder.node._interface import OwnInterface

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


class Node:
    """One daemon."""

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        lines: LogRateLimiter,
    ):
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._parts = Parts(settings, adapter, clock, lines)
        self._parts.instruments.metrics.add_source(self._samples)
        self._metrics_server = self._make_metrics_server()
        self._interface = self._make_interface()
        self._callers = adapter.caller_listener(settings, self._parts.gateway, clock)
        self._readiness = adapter.readiness_listener(settings, self._parts.gateway)
        self._stop_asked = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        adapter: Adapter,
        clock: Clock,
        lines: LogRateLimiter,
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
        self._parts.leases.set_duration(settings.lease_ms / 1000)

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
        if self._interface is not None:
            await self._interface.start()
        _log.info(
            "node: started", host=self._settings.host, lifetime=self._parts.lifetime
        )
        self._start("view", self._parts.view.run)
        self._start("presence", self._parts.presence.run)
        self._start("batches", self._parts.batches.run)
        self._start("crashes", self._parts.crashes.run)
        self._start("lease", self._parts.lease.run)
        self._start("orders", self._parts.switcher.run)
        self._start("paces", self._parts.share_paces)
        for name, work in self._parts.platform_duties().items():
            self._start(name, work)
        for name, clean in self._parts.cleaning().items():
            self._start(f"cleaning {name}", clean)
        if self._settings.feeds is not None:
            election = self._parts.make_election(self._settings.feeds)
            self._start("feeds", election.run)
        if self._interface is not None:
            self._start("interface", self._interface.run)
        await self._stop_asked.wait()
        await self._drain()

    def _make_metrics_server(self) -> MonitoringServer | None:
        if self._settings.metrics_address is None:
            return None
        return MonitoringServer.from_config(
            self._settings.metrics_address,
            self._parts.instruments.metrics,
            lambda: self._parts.gateway.is_ready,
            find_spans=self._parts.tracer.find_spans,
        )

    def _make_interface(self) -> "OwnInterface | None":
        rpc = self._settings.rpc
        if rpc is None:
            return None
        from bankrudder.node._interface import OwnInterface

        return OwnInterface(self._settings, rpc, self._parts, self._clock, self.stop)

    def _samples(self) -> Iterable[Sample]:
        """Yield what the node holds now, for its metrics."""
        routes = self._parts.view.routes
        levels = {
            "bankrudder_batches_in_work": self._parts.batches.running_batch_count,
            "bankrudder_samples_waiting": self._parts.batches.waiting_sample_count,
            "bankrudder_endpoints_listed": len(self._parts.directory),
            "bankrudder_endpoints_unreadable": self._parts.directory.unreadable_count,
            "bankrudder_crashing_contents": len(self._parts.crashes),
            "bankrudder_crashing_contents_refused": self._parts.crashes.refused_count,
            "bankrudder_requests_in_progress": self._callers.in_progress,
            "bankrudder_orders_lease_held": int(self._parts.lease.is_valid),
            "bankrudder_hosts_alive": len(self._parts.presence.live_hosts()),
            "bankrudder_ready": int(self._parts.gateway.is_ready),
            "bankrudder_reads_for_others": int(
                self._parts.store.role is FeedRole.READER
            ),
            "bankrudder_configuration_revision": (
                routes.configuration.revision if routes else 0
            ),
        }
        for name, value in levels.items():
            yield Sample.gauge(name, value)
        for table, age_s in self._parts.view.ages().items():
            yield Sample.gauge("bankrudder_table_age_seconds", age_s, table=table)

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
        self._parts.gateway.leave()
        if self._interface is not None:
            self._interface.leave()
        self._parts.presence.leave()
        await asyncio.gather(
            self._parts.presence.announce(), self._parts.leases.release()
        )
        await self._wait(
            began + BATCHES_SHARE * grace_s,
            lambda: self._parts.batches.running_batch_count == 0,
            began + NOTICE_S,
        )
        end = began + grace_s - STOP_MARGIN_S
        while not await self._parts.batches.hand_over_all():
            if self._clock.monotonic() >= end:
                break
            await asyncio.sleep(RELEASE_PAUSE_S)
        await self._wait(
            end,
            lambda: self._in_progress == 0,
            began + NOTICE_S,
        )
        if self._parts.usage is not None:
            await self._parts.usage.writer.write_unsaved()
        for task in self._tasks:
            task.cancel()
        await self._callers.stop()
        await self._readiness.stop()
        if self._interface is not None:
            await self._interface.stop()
        if self._metrics_server is not None:
            await self._metrics_server.stop()
        await self._adapter.close()
        await self._parts.tracer.stop()
        _log.info("node: stopped", seconds=round(self._clock.monotonic() - began, 3))

    @property
    def _in_progress(self) -> int:
        own = self._interface.in_progress if self._interface is not None else 0
        return self._callers.in_progress + own

    async def _wait(
        self, until: float, is_done: Callable[[], bool], not_before: float
    ) -> None:
        while (now := self._clock.monotonic()) < until:
            if is_done() and now >= not_before:
                return
            await asyncio.sleep(POLL_S)

"""Reading of what an owner needs to work on a batch.

Reads of the batch and its results are repeated until the store answers. Progress is
optional: if it cannot be read, the samples are generated from the start.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence

import msgspec
import structlog

from bankrudder.batches._progress import ProgressStore
from bankrudder.batches._repository import (
    BatchRepository,
    UnknownBatchError,
    store_failure_reason,
)
from bankrudder.batches._values import (
    Batch,
    BatchId,
    Progress,
    SampleResult,
)
from bankrudder.routing import Route, RouteKind, RoutingTable
from bankrudder.store import StoreUnavailableError, UnreadableRowError
from bankrudder.world import SampleId

RELOAD_PAUSE_S = 0.2
"""Pause before a failed read of a batch is tried again."""

CONFIGURATION_PAUSE_S = 0.2
"""Pause between two checks for a configuration; none is known right after a start."""

DEFAULT_RETENTION_S = 60.0
"""Time after which samples are given up if their route sets no retention, or is no
longer configured."""

_log = structlog.get_logger("batches")


class LoadedBatch(msgspec.Struct, frozen=True):
    """A batch, its listed results, and the saved progress of its samples."""

    batch: Batch
    listed: Sequence[SampleResult]
    progress: Mapping[SampleId, Progress]


class BatchLoader:
    """Reads batches from the store, and their routes from the configuration."""

    def __init__(
        self,
        repository: BatchRepository,
        progress: ProgressStore,
        routes: Callable[[], RoutingTable | None],
    ):
        self._repository = repository
        self._progress_store = progress
        self._routes = routes

    async def load(self, batch_id: BatchId, batch: Batch | None) -> LoadedBatch | None:
        """Return a batch with its results and progress; None if it is not stored.

        Parameters
        ----------
        batch : Batch, optional
            The batch if this host has just accepted it: it has no results yet.
        """
        while True:
            try:
                if batch is not None:
                    return LoadedBatch(batch, (), await self._load_progress(batch))
                loaded = await self._repository.load(batch_id)
                listed = await self._repository.all_results(batch_id)
                progress = await self._load_progress(loaded)
                return LoadedBatch(loaded, listed, progress)
            except (UnknownBatchError, UnreadableRowError):
                _log.error("batches: samples not found", batch=batch_id)
                return None
            except StoreUnavailableError as error:
                _log.warning(
                    "batches: not read from the store yet",
                    batch=batch_id,
                    reason=store_failure_reason(error),
                )
                await asyncio.sleep(RELOAD_PAUSE_S)

    async def route_of(self, batch: Batch) -> Route | None:
        """Return the route of a batch, None if it is no longer configured.

        Waits until a configuration is known.
        """
        while self._routes() is None:
            _log.warning("batches: no configuration yet", batch=batch.id)
            await asyncio.sleep(CONFIGURATION_PAUSE_S)
        route = self._configured_route(batch)
        if route is None:
            _log.warning("batches: route no longer configured", batch=batch.id)
        return route

    @staticmethod
    def retention_s(route: Route | None) -> float:
        """Return the time after which samples of a batch are given up."""
        return (route.retention_s if route else 0.0) or DEFAULT_RETENTION_S

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the rollout route configured for a sample, None if there is none."""
        table = self._routes()
        route = table.match(host, target.partition("?")[0]) if table else None
        return route if route and route.kind is RouteKind.ROLLOUT else None

    def _configured_route(self, batch: Batch) -> Route | None:
        """Return the route of a batch, None if none is known."""
        table = self._routes()
        routes = table.routes if table else ()
        return next((route for route in routes if route.name == batch.route), None)

    async def _load_progress(self, batch: Batch) -> dict[SampleId, Progress]:
        """Return the saved progress of a batch, empty if it cannot be read."""
        try:
            progress = await self._progress_store.of_model(batch.model)
        except StoreUnavailableError as error:
            _log.warning(
                "batches: progress not read",
                batch=batch.id,
                reason=store_failure_reason(error),
            )
            return {}
        sample_ids = {sample.id for sample in batch.samples}
        return {key: each for key, each in progress.items() if key in sample_ids}

"""All batches as this host sees them: acceptance, ownership, ends."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import structlog

from bankrudder.batches._carried import CarriedSamples
from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._loading import BatchLoader
from bankrudder.batches._ownership import OwnerBook
from bankrudder.batches._progress import ProgressStore
from bankrudder.batches._repository import (
    OWNERS_TABLE,
    BatchRepository,
    row_trouble,
)
from bankrudder.batches._run import BatchRun
from bankrudder.batches._scoring import Scorer
from bankrudder.batches._values import Batch, BatchId, Owner
from bankrudder.crashes import CrashGuard
from bankrudder.fleet import EndpointClient, EndpointDirectory
from bankrudder.observe import Tracer
from bankrudder.presence import Presence
from bankrudder.routing import RoutingTable
from bankrudder.scheduling import TokenPace
from bankrudder.store import (
    ABSENT,
    NotSettledError,
    ReadPace,
    Row,
    RowKey,
    RowVersion,
    Store,
    StoreUnavailableError,
    TableFollower,
)
from bankrudder.world import Clock

OWNERS_SHARE = 0.2
OWNERS_WAIT_S = 0.8
"""Share of the reads of the store that the owners' rows may take, and the shortest time
for which these reads may be held."""

LOOK_S = 0.15
"""How often batches without an owner are looked for."""

_log = structlog.get_logger("batches")


class BatchService:
    """Accepts batches, works on its own ones, takes over those of lost hosts.

    Parameters
    ----------
    loaded : TableFollower, optional
        Tells which versions engines have loaded; it runs while there is work here.
    """

    def __init__(
        self,
        store: Store,
        repository: BatchRepository,
        progress: ProgressStore,
        presence: Presence,
        directory: EndpointDirectory,
        client: EndpointClient,
        crashes: CrashGuard,
        scorer: Scorer,
        routes: Callable[[], RoutingTable | None],
        clock: Clock,
        tracer: Tracer,
        pace: ReadPace,
        loaded: TableFollower | None = None,
    ):
        self._tracer = tracer
        self._loaded = loaded
        self._following: asyncio.Task[None] | None = None
        self._repository = repository
        self._progress = progress
        self._loader = BatchLoader(repository, progress, routes)
        self._presence = presence
        self._directory = directory
        self._client = client
        self._crashes = crashes
        self._scorer = scorer
        self._clock = clock
        self._dispatcher = Dispatcher(directory, clock)
        self._pace = TokenPace()
        self._owners = OwnerBook(presence, clock, lambda: self._follower.is_loaded)
        self._carried = CarriedSamples()
        self._runs: dict[BatchId, asyncio.Task[None]] = {}
        self._batches: dict[BatchId, BatchRun] = {}
        self._fences: dict[BatchId, RowVersion] = {}
        self._is_leaving = False
        self._background: set[asyncio.Task[None]] = set()
        self._follower = TableFollower(
            store,
            OWNERS_TABLE,
            clock,
            on_row=self._on_owner,
            on_removed=self._on_ended,
            wait_s=pace.pause(OWNERS_SHARE, OWNERS_WAIT_S),
        )

    @property
    def owners(self) -> OwnerBook:
        """Who works on which batch."""
        return self._owners

    @property
    def running_count(self) -> int:
        """Number of batches that this host works on."""
        return len(self._runs)

    @property
    def waiting_count(self) -> int:
        """Number of samples that wait for an engine."""
        return self._dispatcher.waiting_count

    async def accept(self, batch: Batch) -> bool:
        """Keep a batch and begin with it; False if one of its name is another one.

        Raises
        ------
        StoreUnavailableError
            If nothing is kept and nothing will be.
        NotSettledError
            If that is not known.
        """
        owner = self._owners.pick(batch, may_be_me=not self._is_leaving)
        outcome = await self._repository.accept(batch, owner)
        _log.info(
            "batches: accepted" if outcome.fence else "batches: accepted before",
            batch=batch.id,
            workspace=batch.workspace,
            samples=len(batch.samples),
            min_version=batch.min_version,
            is_same=outcome.is_same,
        )
        if outcome.fence and self._owners.is_mine(owner):
            self._begin(batch.id, outcome.fence, batch)
        return outcome.is_same

    async def run(self) -> None:
        """Follow the owners and take over what is without one, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._dispatcher.run())
            group.create_task(self._look_for_ownerless())

    async def release_all(self) -> bool:
        """Hand all batches over to other hosts, with what was generated.

        Returns
        -------
        bool
            Whether none is left; if not, work on the rest goes on here.
        """
        self._is_leaving = True
        for batch_id in list(self._runs):
            await self._release(batch_id)
        return not self._runs

    async def _release(self, batch_id: BatchId) -> None:
        run = self._batches.get(batch_id)
        fence = self._fences.get(batch_id)
        if run is None or fence is None:
            await self._stop(batch_id)
            return
        if not await self._progress.save(run.batch.model, run.unfinished()):
            return
        before = self._owners.get(batch_id) or Owner("", "", run.batch.model)
        nobody = msgspec.structs.replace(before, host="", lifetime="")
        try:
            is_released = await self._repository.set_owner(batch_id, fence, nobody)
        except (StoreUnavailableError, NotSettledError) as error:
            _log.warning(
                "batches: not handed over", batch=batch_id, reason=row_trouble(error)
            )
            return
        if is_released is None:
            _log.info("batches: had another owner already", batch=batch_id)
        else:
            _log.info("batches: handed over", batch=batch_id)
        await self._stop(batch_id)

    def _begin(
        self, batch_id: BatchId, fence: RowVersion, batch: Batch | None = None
    ) -> None:
        if batch_id in self._runs:
            if self._fences.get(batch_id) == fence:
                return
            self._runs[batch_id].cancel()
        self._fences[batch_id] = fence
        task = asyncio.ensure_future(self._work(batch_id, fence, batch))
        self._runs[batch_id] = task
        self._follow_loads()
        self._presence.set_busy(True)
        task.add_done_callback(lambda done: self._forget(batch_id, done))

    def _forget(self, batch_id: BatchId, task: "asyncio.Task[None]") -> None:
        if self._runs.get(batch_id) is task:
            del self._runs[batch_id]
            self._batches.pop(batch_id, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "batches: work failed", batch=batch_id, exc_info=task.exception()
            )

    async def _work(
        self, batch_id: BatchId, fence: RowVersion, batch: Batch | None
    ) -> None:
        found = await self._loader.load(batch_id, batch)
        if found is None:
            return
        batch, listed, progress = found.batch, found.listed, found.progress
        retention_s = await self._loader.retention_s(batch)
        carried = self._carried.note(batch)
        run = BatchRun(
            batch,
            self._loader.route_now,
            fence,
            listed,
            progress,
            retention_s,
            carried,
            repository=self._repository,
            progress_store=self._progress,
            dispatcher=self._dispatcher,
            pace=self._pace,
            scorer=self._scorer,
            client=self._client,
            crashes=self._crashes,
            clock=self._clock,
            tracer=self._tracer,
        )
        self._batches[batch_id] = run
        _log.info(
            "batches: work begins",
            batch=batch_id,
            fence=fence,
            listed=len(listed),
            resumed=len(progress),
            carried=len(carried),
        )
        await run.run()
        useless = run.saved_and_listed()
        if useless:
            await self._progress.drop(batch.model, useless)

    async def _stop(self, batch_id: BatchId) -> None:
        task = self._runs.get(batch_id)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _on_owner(self, row: Row) -> None:
        batch_id = BatchId(row.key.part)
        owner = msgspec.json.decode(row.value, type=Owner)
        self._owners.put(batch_id, owner, row.version)
        fence = self._fences.get(batch_id, ABSENT)
        is_mine = self._owners.is_mine(owner)
        if not is_mine and batch_id in self._runs and row.version > fence:
            _log.warning("batches: lost to another owner", batch=batch_id)
            self._runs[batch_id].cancel()
        if is_mine and not self._is_leaving and row.version > fence:
            # The reply to the acceptance or the takeover was lost.
            self._begin(batch_id, row.version)

    def _on_ended(self, key: RowKey) -> None:
        batch_id = BatchId(key.part)
        self._owners.remove(batch_id)
        self._fences.pop(batch_id, None)
        run = self._batches.get(batch_id)
        if batch_id in self._runs:
            _log.info("batches: ended", batch=batch_id)
            self._runs[batch_id].cancel()
        if run is not None:
            self._spawn(self._keep_progress(run))

    async def _keep_progress(self, run: BatchRun) -> None:
        """Keep what a batch leaves behind, and nothing else of it."""
        unfinished = run.unfinished()
        await self._progress.save(run.batch.model, unfinished)
        left = {sample_id for sample_id, _ in unfinished}
        useless = [key for key in run.saved_and_listed() if key not in left]
        if useless:
            await self._progress.drop(run.batch.model, useless)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _look_for_ownerless(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self._follow_loads()
            self._presence.set_busy(bool(self._runs))
            if self._is_leaving or self._follower.failing_since is not None:
                continue
            for batch_id, owner, version in self._owners.due_for_me():
                await self._take_over(batch_id, owner, version)

    def _follow_loads(self) -> None:
        """Follow the loaded versions while there is work, as each change is a read."""
        if self._loaded is None:
            return
        if self._runs and self._following is None:
            self._following = asyncio.ensure_future(self._follow_until_done())
        elif not self._runs and self._following is not None:
            self._following.cancel()
            self._following = None

    async def _follow_until_done(self) -> None:
        assert self._loaded is not None
        while True:
            try:
                await self._loaded.run()
            except Exception:
                _log.exception("batches: loaded versions not followed, trying again")
            await asyncio.sleep(LOOK_S)

    async def _take_over(
        self, batch_id: BatchId, before: Owner, version: RowVersion
    ) -> None:
        owner = self._owners.mine(before)
        try:
            fence = await self._repository.set_owner(batch_id, version, owner)
        except (StoreUnavailableError, NotSettledError) as error:
            _log.warning(
                "batches: not taken over", batch=batch_id, reason=row_trouble(error)
            )
            return
        if fence is None:
            return
        _log.info(
            "batches: taken over",
            batch=batch_id,
            fence=fence,
            owner_before=before.host,
            lifetime_before=before.lifetime,
        )
        self._owners.put(batch_id, owner, fence)
        self._begin(batch_id, fence)

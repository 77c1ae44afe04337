"""Batches of this host: acceptance, work on owned batches, takeover and handover.

The owner rows in the store decide which host works on a batch. The service follows
them, works on the batches whose rows name this run of the host, and takes over batches
whose owner is lost.
"""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import structlog

from bankrudder.batches._carried import CarriedSamples
from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._load_following import LoadFollowing
from bankrudder.batches._loading import BatchLoader, LoadedBatch
from bankrudder.batches._moving import MovePlanner
from bankrudder.batches._ownership import OwnerRegistry
from bankrudder.batches._progress import ProgressStore
from bankrudder.batches._repository import (
    OWNERS_TABLE,
    BatchRepository,
    owner_key,
    store_failure_reason,
)
from bankrudder.batches._room import (
    LOADING_BYTES,
    BatchPlace,
    BatchRoom,
    batch_bytes,
)
from bankrudder.batches._run import BatchRun
from bankrudder.batches._scoring import Scorer
from bankrudder.batches._step_planning import StepPlanner, StepTimes
from bankrudder.batches._values import Batch, BatchId, Owner
from bankrudder.crashes import CrashGuard
from bankrudder.decoding import UnreadableDocumentError, decode_json
from bankrudder.fleet import EndpointClient, EndpointDirectory
from bankrudder.memory import MemoryBudget
from bankrudder.observe import Tracer
from bankrudder.offloading import LongWork
from bankrudder.presence import Presence
from bankrudder.routing import Route, RoutingTable
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

OWNERS_READ_SHARE = 0.2
MIN_OWNERS_WAIT_S = 0.8
"""Share of the store's reads for following the owner rows, and the shortest time for
which the store may hold such a read while nothing changes."""

TAKEOVER_CHECK_INTERVAL_S = 0.15
"""Interval between two checks for batches without a live owner."""

MANY_SAMPLES = 2000
"""Number of samples from which the work on a batch is prepared in a thread."""

_log = structlog.get_logger("batches")


class BatchService:
    """Accepts batches, works on owned ones, and takes over those of lost hosts.

    Parameters
    ----------
    loaded : TableFollower, optional
        Follows the versions that engines have loaded; it runs while this host has work.
    store_time : callable
        Returns the store's time at a monotonic time of this host, None if unknown.
    plans_steps : bool
        Whether the samples of all services are planned by due time; otherwise those of
        services whose engines report the slowdown of their machine.
    budget : MemoryBudget, optional
        Memory for the batches that this host works on.
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
        store_time: Callable[[float], float | None] = lambda _: None,
        plans_steps: bool = False,
        budget: MemoryBudget | None = None,
    ):
        self._room = BatchRoom(budget or MemoryBudget.of_unknown_process())
        self._tracer = tracer
        self._load_following = LoadFollowing(loaded)
        self._repository = repository
        self._progress_store = progress
        self._loader = BatchLoader(repository, progress, routes)
        self._presence = presence
        self._directory = directory
        self._client = client
        self._crashes = crashes
        self._scorer = scorer
        self._clock = clock
        self._step_planner = StepPlanner(
            directory, clock, lambda: self._runs.values(), plans_all=plans_steps
        )
        self._dispatcher = Dispatcher(directory, clock, self._step_planner.ranks)
        self._token_pace = TokenPace()
        self._owners = OwnerRegistry(
            presence, clock, lambda: self._follower.is_loaded, store_time
        )
        self._carried = CarriedSamples()
        self._tasks: dict[BatchId, asyncio.Task[None]] = {}
        self._runs: dict[BatchId, BatchRun] = {}
        self._fences: dict[BatchId, RowVersion] = {}
        self._is_leaving = False
        self._preparing = LongWork()
        self._background: set[asyncio.Task[None]] = set()
        self._follower = TableFollower(
            store,
            OWNERS_TABLE,
            clock,
            on_row=self._on_owner_row,
            on_removed=self._on_owner_removed,
            wait_s=pace.pause(OWNERS_READ_SHARE, MIN_OWNERS_WAIT_S),
        )

    @property
    def owners(self) -> OwnerRegistry:
        """The owners of all open batches."""
        return self._owners

    @property
    def step_planner(self) -> StepPlanner:
        """The planner of the steps of this host."""
        return self._step_planner

    @property
    def running_batch_count(self) -> int:
        """Number of batches that this host works on."""
        return len(self._tasks)

    @property
    def waiting_sample_count(self) -> int:
        """Number of samples that wait for a slot."""
        return self._dispatcher.waiting_sample_count

    @property
    def moves(self) -> MovePlanner:
        """The moves of running samples."""
        return self._dispatcher.moves

    @property
    def has_room(self) -> bool:
        """Whether further batches may be accepted; too many may wait for memory."""
        return not self._room.is_full

    async def accept(self, batch: Batch) -> bool:
        """Store a batch, and start work on it if this host is its owner.

        Returns
        -------
        bool
            False if another batch is stored under the same identifier.

        Raises
        ------
        StoreUnavailableError
            If the batch is not stored and will not be.
        NotSettledError
            If it is not known whether the batch is stored.
        """
        submitted_at = self._clock.monotonic()
        owner = self._owners.choose_owner(
            batch,
            may_choose_this_host=not self._is_leaving,
            records_time=self._step_planner.plans_any(),
        )
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
            self._start_work(batch.id, outcome.fence, batch, submitted_at)
        return outcome.is_same

    async def run(self) -> None:
        """Follow the owner rows and take over batches, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._dispatcher.run())
            group.create_task(self._take_over_ownerless())

    async def hand_over_all(self) -> bool:
        """Hand all batches and their progress over to other hosts.

        Returns
        -------
        bool
            Whether all are handed over; if not, work on the others continues here.
        """
        self._is_leaving = True
        for batch_id in list(self._tasks):
            await self._hand_over(batch_id)
        return not self._tasks

    async def _hand_over(self, batch_id: BatchId) -> None:
        run = self._runs.get(batch_id)
        fence = self._fences.get(batch_id)
        if run is None or fence is None:
            await self._stop_work(batch_id)
            return
        if not await self._progress_store.save(
            run.batch.model, run.unfinished_progress()
        ):
            return
        before = self._owners.get(batch_id) or Owner("", "", run.batch.model)
        unowned = msgspec.structs.replace(before, host="", lifetime="")
        try:
            is_released = await self._repository.set_owner(batch_id, fence, unowned)
        except (StoreUnavailableError, NotSettledError) as error:
            _log.warning(
                "batches: not handed over",
                batch=batch_id,
                reason=store_failure_reason(error),
            )
            return
        if is_released is None:
            _log.info("batches: had another owner already", batch=batch_id)
        else:
            _log.info("batches: handed over", batch=batch_id)
        await self._stop_work(batch_id)

    def _start_work(
        self,
        batch_id: BatchId,
        fence: RowVersion,
        batch: Batch | None = None,
        submitted_at: float | None = None,
    ) -> None:
        if fence <= self._fences.get(batch_id, ABSENT):
            return  # The work of this owner row or a later one has begun, or is done.
        if batch_id in self._tasks:
            self._tasks[batch_id].cancel()
        self._fences[batch_id] = fence
        work = self._work(batch_id, fence, batch, submitted_at)
        task = asyncio.ensure_future(work)
        self._tasks[batch_id] = task
        self._load_following.set_active(bool(self._tasks))
        self._presence.set_busy(True)
        task.add_done_callback(lambda done: self._on_work_done(batch_id, done))

    def _on_work_done(self, batch_id: BatchId, task: "asyncio.Task[None]") -> None:
        if self._tasks.get(batch_id) is task:
            del self._tasks[batch_id]
            self._runs.pop(batch_id, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error(
                "batches: work failed", batch=batch_id, exc_info=task.exception()
            )

    async def _work(
        self,
        batch_id: BatchId,
        fence: RowVersion,
        batch: Batch | None,
        submitted_at: float | None,
    ) -> None:
        with self._room.enter(batch_id) as place:
            loading = self._load(batch_id, batch, place)
            del batch  # it is not kept while it waits for room
            found = await loading
            if found is not None:
                await self._generate(batch_id, fence, found, submitted_at)

    async def _load(
        self, batch_id: BatchId, batch: Batch | None, place: BatchPlace
    ) -> LoadedBatch | None:
        """Return a batch for which there is room, None if it is not stored."""
        needed_bytes = LOADING_BYTES
        if batch is not None:
            needed_bytes = batch_bytes(batch)
            if not place.try_hold(needed_bytes):
                batch = None  # it is read again once there is room
        while True:
            await place.hold(needed_bytes)
            found = await self._loader.load(batch_id, batch)
            if found is None:
                return None
            needed_bytes = batch_bytes(found.batch)
            if place.try_hold(needed_bytes):
                return found
            del found

    async def _generate(
        self,
        batch_id: BatchId,
        fence: RowVersion,
        found: LoadedBatch,
        submitted_at: float | None,
    ) -> None:
        batch, listed, progress = found.batch, found.listed, found.progress
        route = await self._loader.route_of(batch)
        retention_s = self._loader.retention_s(route)
        carried = self._carried.note(batch)
        prepare = functools.partial(
            BatchRun,
            batch,
            self._loader.find_route,
            fence,
            listed,
            progress,
            retention_s,
            carried,
            repository=self._repository,
            progress_store=self._progress_store,
            dispatcher=self._dispatcher,
            pace=self._token_pace,
            scorer=self._scorer,
            client=self._client,
            crashes=self._crashes,
            clock=self._clock,
            tracer=self._tracer,
            times=self._step_times(batch_id, route, submitted_at),
        )
        is_large = len(batch.samples) >= MANY_SAMPLES
        run = await self._preparing.run(prepare) if is_large else prepare()
        self._runs[batch_id] = run
        self._step_planner.plan_anew()
        self._dispatcher.update_ranks()
        _log.info(
            "batches: work begins",
            batch=batch_id,
            fence=fence,
            listed=len(listed),
            resumed=len(progress),
            carried=len(carried),
        )
        await run.run()
        obsolete = run.obsolete_progress_ids()
        if obsolete:
            await self._progress_store.drop(batch.model, obsolete)

    def _step_times(
        self, batch_id: BatchId, route: Route | None, submitted_at: float | None
    ) -> StepTimes | None:
        if route is None or not self._step_planner.plans(route.services[0].service):
            return None
        if submitted_at is None:
            submitted_at = self._owners.accepted_at(batch_id)
        return StepTimes.from_route(route, submitted_at)

    async def _stop_work(self, batch_id: BatchId) -> None:
        task = self._tasks.get(batch_id)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _on_owner_row(self, row: Row) -> None:
        batch_id = BatchId(row.key.part)
        if row.key != owner_key(batch_id):
            return
        try:
            owner = decode_json(row.value, Owner)
        except UnreadableDocumentError:
            self._owners.put_unreadable(batch_id, row.version)
            if batch_id in self._tasks and row.version > self._fences[batch_id]:
                self._tasks[batch_id].cancel()
            raise
        self._owners.put(batch_id, owner, row.version)
        fence = self._fences.get(batch_id, ABSENT)
        is_mine = self._owners.is_mine(owner)
        if not is_mine and batch_id in self._tasks and row.version > fence:
            _log.warning("batches: lost to another owner", batch=batch_id)
            self._tasks[batch_id].cancel()
        if is_mine and not self._is_leaving and row.version > fence:
            # Another host accepted the batch and chose this host as its owner, or this
            # host accepted the batch or took it over and the reply was lost.
            self._start_work(batch_id, row.version)

    def _on_owner_removed(self, key: RowKey) -> None:
        batch_id = BatchId(key.part)
        if key != owner_key(batch_id):
            return
        self._owners.remove(batch_id)
        self._fences.pop(batch_id, None)
        run = self._runs.get(batch_id)
        if batch_id in self._tasks:
            _log.info("batches: ended", batch=batch_id)
            self._tasks[batch_id].cancel()
        if run is not None:
            self._spawn(self._save_unfinished(run))

    async def _save_unfinished(self, run: BatchRun) -> None:
        """Save the progress of incomplete groups; drop obsolete progress."""
        unfinished_progress = run.unfinished_progress()
        await self._progress_store.save(run.batch.model, unfinished_progress)
        unfinished_ids = {sample_id for sample_id, _ in unfinished_progress}
        obsolete = [
            key for key in run.obsolete_progress_ids() if key not in unfinished_ids
        ]
        if obsolete:
            await self._progress_store.drop(run.batch.model, obsolete)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _take_over_ownerless(self) -> None:
        while True:
            await asyncio.sleep(TAKEOVER_CHECK_INTERVAL_S)
            self._load_following.set_active(bool(self._tasks))
            self._presence.set_busy(bool(self._tasks))
            if self._is_leaving or self._follower.failing_since is not None:
                continue
            for batch_id, owner, version in self._owners.takeover_candidates():
                await self._take_over(batch_id, owner, version)

    async def _take_over(
        self, batch_id: BatchId, before: Owner, version: RowVersion
    ) -> None:
        owner = self._owners.claimed_row(before)
        try:
            fence = await self._repository.set_owner(batch_id, version, owner)
        except (StoreUnavailableError, NotSettledError) as error:
            _log.warning(
                "batches: not taken over",
                batch=batch_id,
                reason=store_failure_reason(error),
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
        self._start_work(batch_id, fence)

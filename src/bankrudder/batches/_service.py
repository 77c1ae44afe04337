"""All batches as this host sees them: acceptance, ownership, ends."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec
import structlog

from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._repository import (
    OWNERS_TABLE,
    BatchRepository,
    UnknownBatchError,
    row_trouble,
)
from bankrudder.batches._run import BatchRun
from bankrudder.batches._scoring import Scorer
from bankrudder.batches._values import (
    Batch,
    BatchId,
    Owner,
    Progress,
    SampleId,
    SampleResult,
)
from bankrudder.fleet import EndpointClient, EndpointDirectory
from bankrudder.presence import Lifetime, Presence
from bankrudder.routing import ModelName, Route, RoutingTable
from bankrudder.store import (
    ABSENT,
    NotSettledError,
    Row,
    RowKey,
    RowVersion,
    Store,
    StoreUnavailableError,
    TableFollower,
)
from bankrudder.world import Clock, HostId, ModelVersion

LOOK_S = 0.15
"""How often batches without an owner are looked for."""

RANK_DELAY_S = 0.4
"""Hosts take over one after the other, this far apart, so that seldom two try."""

MAX_RANK = 3
"""Hosts beyond it wait no longer than this rank."""

DEFAULT_RETENTION_S = 60.0
"""Time for which samples are tried if the route does not say it."""

WORK_WEIGHT = 0.3
"""Weight of the newest batch in the mean size of a model's batches."""

USUAL_TOKENS = 1000
"""Tokens that a sample is expected to generate if it says nothing."""

RELOAD_PAUSE_S = 0.2
"""Pause after a batch could not be read from the store."""

_Found = tuple[Batch, Sequence[SampleResult], dict[SampleId, Progress]]

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
        presence: Presence,
        directory: EndpointDirectory,
        client: EndpointClient,
        scorer: Scorer,
        routes: Callable[[], RoutingTable | None],
        clock: Clock,
        loaded: TableFollower | None = None,
    ):
        self._loaded = loaded
        self._following: asyncio.Task[None] | None = None
        self._repository = repository
        self._presence = presence
        self._directory = directory
        self._client = client
        self._scorer = scorer
        self._routes = routes
        self._clock = clock
        self._dispatcher = Dispatcher(directory, clock)
        self._owners: dict[BatchId, tuple[Owner, RowVersion]] = {}
        self._ownerless_since: dict[BatchId, float] = {}
        self._runs: dict[BatchId, asyncio.Task[None]] = {}
        self._batches: dict[BatchId, BatchRun] = {}
        self._fences: dict[BatchId, RowVersion] = {}
        self._last_owner: dict[ModelName, HostId] = {}
        self._mean_work: dict[ModelName, float] = {}
        self._is_leaving = False
        self._background: set[asyncio.Task[None]] = set()
        self._follower = TableFollower(
            store,
            OWNERS_TABLE,
            clock,
            on_row=self._on_owner,
            on_removed=self._on_ended,
        )

    @property
    def running_count(self) -> int:
        """Number of batches that this host works on."""
        return len(self._runs)

    @property
    def waiting_count(self) -> int:
        """Number of samples that wait for an engine."""
        return self._dispatcher.waiting_count

    async def accept(self, batch: Batch, route: Route) -> bool:
        """Keep a batch and begin with it; False if one of its name is another one.

        Raises
        ------
        StoreUnavailableError
            If nothing is kept and nothing will be.
        NotSettledError
            If that is not known.
        """
        owner = self._pick_owner(batch)
        outcome = await self._repository.accept(batch, owner)
        _log.info(
            "batches: accepted" if outcome.fence else "batches: accepted before",
            batch=batch.id,
            samples=len(batch.samples),
            min_version=batch.min_version,
            is_same=outcome.is_same,
        )
        if outcome.fence and owner.lifetime == self._presence.lifetime:
            self._begin(batch.id, outcome.fence, batch)
        return outcome.is_same

    def work_of(self, model: ModelName) -> float:
        """Return the mean size of a model's latest batches in tokens, 0 if unknown."""
        return self._mean_work.get(model, 0.0)

    def needed_version(self, model: ModelName) -> ModelVersion:
        """Return the newest of the oldest versions that open batches allow."""
        needed = (
            owner.min_version
            for owner, _ in self._owners.values()
            if owner.model == model
        )
        return max(needed, default=ModelVersion(0))

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
        if not await self._repository.save_progress(run.batch.model, run.unfinished()):
            return
        known = self._owners.get(batch_id)
        before = known[0] if known else Owner("", "", run.batch.model)
        nobody = msgspec.structs.replace(before, host="", lifetime="")
        try:
            await self._repository.set_owner(batch_id, fence, nobody)
        except (StoreUnavailableError, NotSettledError) as error:
            _log.warning(
                "batches: not handed over", batch=batch_id, reason=row_trouble(error)
            )
            return
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
        found = await self._found(batch_id, batch)
        if found is None:
            return
        batch, listed, progress = found
        route = await self._route_of(batch)
        run = BatchRun(
            batch,
            route,
            route.services[0].service,
            fence,
            listed,
            progress,
            route.retention_s or DEFAULT_RETENTION_S,
            repository=self._repository,
            dispatcher=self._dispatcher,
            scorer=self._scorer,
            client=self._client,
            clock=self._clock,
        )
        self._batches[batch_id] = run
        _log.info(
            "batches: work begins",
            batch=batch_id,
            fence=fence,
            listed=len(listed),
            resumed=len(progress),
        )
        await run.run()
        useless = run.saved_and_listed()
        if useless:
            await self._repository.drop_progress(batch.model, useless)

    async def _found(self, batch_id: BatchId, batch: Batch | None) -> _Found | None:
        """Return a batch and what was done of it; None if its samples are not kept."""
        while True:
            try:
                if batch is not None:
                    return batch, (), await self._progress(batch)
                loaded = await self._repository.load(batch_id)
                listed = await self._repository.all_results(batch_id)
                return loaded, listed, await self._progress(loaded)
            except UnknownBatchError:
                _log.error("batches: samples not found", batch=batch_id)
                return None
            except StoreUnavailableError as error:
                _log.warning(
                    "batches: not read yet", batch=batch_id, reason=row_trouble(error)
                )
                await asyncio.sleep(RELOAD_PAUSE_S)

    async def _progress(self, batch: Batch) -> dict[SampleId, Progress]:
        """Return what was generated of the samples before; none if it is not told."""
        try:
            progress = await self._repository.progress(batch.model)
        except StoreUnavailableError as error:
            _log.warning(
                "batches: progress not read", batch=batch.id, reason=row_trouble(error)
            )
            return {}
        wanted = {sample.id for sample in batch.samples}
        return {key: each for key, each in progress.items() if key in wanted}

    async def _route_of(self, batch: Batch) -> Route:
        while True:
            table = self._routes()
            for route in table.configuration.routes if table else ():
                if route.name == batch.route:
                    return route
            _log.warning("batches: route not configured", batch=batch.id)
            await asyncio.sleep(1.0)

    async def _stop(self, batch_id: BatchId) -> None:
        task = self._runs.get(batch_id)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _on_owner(self, row: Row) -> None:
        batch_id = BatchId(row.key.part)
        owner = msgspec.json.decode(row.value, type=Owner)
        if batch_id not in self._owners:
            self._note_work(owner)
        self._owners[batch_id] = (owner, row.version)
        if owner.host:
            self._last_owner[owner.model] = HostId(owner.host)
        fence = self._fences.get(batch_id, ABSENT)
        is_mine = owner.lifetime == self._presence.lifetime
        if not is_mine and batch_id in self._runs and row.version > fence:
            _log.warning("batches: lost to another owner", batch=batch_id)
            self._runs[batch_id].cancel()
        if is_mine and not self._is_leaving and row.version > fence:
            # The reply to the acceptance or the takeover was lost.
            self._begin(batch_id, row.version)

    def _pick_owner(self, batch: Batch) -> Owner:
        """Return who shall work on a batch: the owner of the model's last one.

        That host has connections to the engines and knows how quick they are.
        """
        live = [
            host
            for host in self._presence.batch_hosts()
            if host != self._presence.host or not self._is_leaving
        ]
        host = self._last_owner.get(batch.model)
        if host not in live:
            host = self._roomiest(live, batch.model)
        lifetime = self._presence.lifetime_of(host) if host is not None else None
        if host == self._presence.host:
            lifetime = self._presence.lifetime
        is_known = host is not None and lifetime is not None
        return Owner(
            host=host if host is not None and is_known else "",
            lifetime=lifetime if lifetime is not None else "",
            model=batch.model,
            work=_expected_tokens(batch),
            min_version=batch.min_version,
        )

    def _roomiest(self, hosts: Sequence[HostId], model: ModelName) -> HostId | None:
        """Return a host with much room, another one for each model if there are."""
        taken = set(self._last_owner.values())
        return max(
            hosts,
            key=lambda host: (
                self._presence.room_of(host),
                host not in taken,
                hashlib.md5(f"{model}/{host}".encode()).digest(),
            ),
            default=None,
        )

    def _note_work(self, owner: Owner) -> None:
        mean = self._mean_work.get(owner.model, owner.work)
        self._mean_work[owner.model] = mean + WORK_WEIGHT * (owner.work - mean)

    def _on_ended(self, key: RowKey) -> None:
        batch_id = BatchId(key.part)
        self._owners.pop(batch_id, None)
        self._ownerless_since.pop(batch_id, None)
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
        await self._repository.save_progress(run.batch.model, unfinished)
        left = {sample_id for sample_id, _ in unfinished}
        useless = [key for key in run.saved_and_listed() if key not in left]
        if useless:
            await self._repository.drop_progress(run.batch.model, useless)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _look_for_ownerless(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self._follow_loads()
            self._presence.set_busy(bool(self._runs))
            if self._is_leaving or self._follower.lost_since is not None:
                continue
            now = self._clock.monotonic()
            for batch_id, (owner, version) in list(self._owners.items()):
                if self._has_owner(owner):
                    self._ownerless_since.pop(batch_id, None)
                    continue
                since = self._ownerless_since.setdefault(batch_id, now)
                if now - since >= self._rank(batch_id) * RANK_DELAY_S:
                    await self._take_over(batch_id, owner, version)

    def _follow_loads(self) -> None:
        """Follow the loaded versions while there is work, as each change is a read."""
        if self._loaded is None:
            return
        if self._runs and self._following is None:
            self._following = asyncio.ensure_future(self._loaded.run())
        elif not self._runs and self._following is not None:
            self._following.cancel()
            self._following = None

    def _has_owner(self, owner: Owner) -> bool:
        if not owner.host:
            return False
        return self._presence.is_alive(HostId(owner.host), Lifetime(owner.lifetime))

    def _rank(self, batch_id: BatchId) -> int:
        """Return this host's place among those that would take a batch over."""
        hosts = sorted(
            self._presence.live_hosts(),
            key=lambda host: hashlib.md5(f"{batch_id}/{host}".encode()).digest(),
        )
        if self._presence.host not in hosts:
            return MAX_RANK
        return min(hosts.index(self._presence.host), MAX_RANK)

    async def _take_over(
        self, batch_id: BatchId, before: Owner, version: RowVersion
    ) -> None:
        owner = msgspec.structs.replace(
            before, host=self._presence.host, lifetime=self._presence.lifetime
        )
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
        self._owners[batch_id] = (owner, fence)
        self._begin(batch_id, fence)


def _expected_tokens(batch: Batch) -> int:
    return sum(sample.length_hint or USUAL_TOKENS for sample in batch.samples)

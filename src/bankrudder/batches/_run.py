"""Work on one batch by its owner.

All samples are generated and scored concurrently. Their results are listed, which means
written to the store at consecutive positions, under the fencing token of the owner.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

import structlog

from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._failures import SampleFailedError
from bankrudder.batches._progress import ProgressStore
from bankrudder.batches._repository import (
    MAX_TRANSACTION_BYTES,
    BatchRepository,
    store_failure_reason,
)
from bankrudder.batches._room import MAX_WAITING_SAMPLES
from bankrudder.batches._sampling import SampleGenerator
from bankrudder.batches._scoring import ScoreFailedError, Scorer
from bankrudder.batches._step_planning import StepKind, StepTimes
from bankrudder.batches._step_work import remaining_work
from bankrudder.batches._values import (
    Batch,
    Progress,
    ResultState,
    Sample,
    SampleResult,
)
from bankrudder.crashes import CrashGuard
from bankrudder.fleet import EndpointClient
from bankrudder.observe import Tracer
from bankrudder.routing import Route
from bankrudder.scheduling import StepWork, TokenPace, sample_ranks
from bankrudder.store import NotSettledError, RowVersion, StoreUnavailableError
from bankrudder.world import Clock, ModelVersion, SampleId

SAVE_INTERVAL_S = 0.4
"""Pause between two saves of progress: a new owner repeats at most this much of each
sample, besides the time until the loss of the owner is detected."""

MIN_UNSAVED_EVENT_COUNT = 10
"""Events since the last save after which a sample is saved again, about 0.4 s of
generation. A quarter of the samples ends sooner and is never saved."""

MAX_RESULTS_PER_TRANSACTION = 40
"""Largest number of results in one transaction, which bounds its size."""

_log = structlog.get_logger("batches")


class BatchRun:
    """The work of one owner on one batch.

    Parameters
    ----------
    fence : RowVersion
        Version of the row that makes this host the owner.
    listed : sequence of SampleResult
        Results that earlier owners listed.
    progress : mapping
        Saved progress of samples.
    retention_left_s : float
        Seconds from now after which unfinished samples are given up.
    carried : frozenset of SampleId
        Samples that were in an earlier batch.
    times : StepTimes, optional
        When the batch is due; None if its samples are not planned by due time.
    """

    def __init__(
        self,
        batch: Batch,
        find_route: Callable[[str, str], Route | None],
        fence: RowVersion,
        listed: Sequence[SampleResult],
        progress: Mapping[SampleId, Progress],
        retention_left_s: float,
        carried: frozenset[SampleId] = frozenset(),
        *,
        repository: BatchRepository,
        progress_store: ProgressStore,
        dispatcher: Dispatcher,
        pace: TokenPace,
        scorer: Scorer,
        client: EndpointClient,
        crashes: CrashGuard,
        clock: Clock,
        tracer: Tracer,
        times: StepTimes | None = None,
    ):
        self._tracer = tracer
        self._times = times
        self._batch = batch
        self._find_route = find_route
        self._fence = fence
        self._next_position = len(listed)
        self._repository = repository
        self._progress_store = progress_store
        self._dispatcher = dispatcher
        self._scorer = scorer
        self._client = client
        self._clock = clock
        self._deadline = clock.monotonic() + retention_left_s
        self._unlisted_results: asyncio.Queue[SampleResult] = asyncio.Queue()
        done = {result.id for result in listed}
        self._carried = carried | progress.keys()
        ranks = sample_ranks(
            batch.samples,
            batch.target_groups,
            self._carried,
            clock.monotonic(),
            pace.seconds,
        )
        self._token_pace = pace
        self._generators = [
            SampleGenerator(
                batch,
                sample,
                find_route,
                ranks[sample.id],
                dispatcher,
                client,
                crashes,
                clock,
                self._deadline,
                tracer,
                progress.get(sample.id),
                times.due_at if times is not None else None,
                pace.expected_events,
            )
            for sample in batch.samples
            if sample.id not in done
        ]
        self._samplers: set[asyncio.Task[None]] = set()
        self._listed_samples: set[SampleId] = set()
        # Progress that was not used is still removed once its sample is listed.
        self._saved_event_numbers = dict.fromkeys(progress, 0)
        self._saved_event_numbers |= {
            each.sample.id: each.text.next_number
            for each in self._generators
            if each.resumed_event_count
        }

    @property
    def batch(self) -> Batch:
        """The batch that is generated."""
        return self._batch

    @property
    def kind(self) -> StepKind | None:
        """The steps that it competes with, None if its route is not configured."""
        if not self._batch.samples:
            return None
        route = self._find_route(self._batch.host, self._batch.samples[0].target)
        if route is None:
            return None
        service = route.services[0].service
        return StepKind(service, self._batch.model, route.data_centres)

    @property
    def min_version(self) -> ModelVersion:
        """Oldest weights that may generate any of the batch's text."""
        return self._batch.min_version

    @property
    def fence(self) -> RowVersion:
        """Version of the row that makes this host the owner."""
        return self._fence

    def obsolete_progress_ids(self) -> list[SampleId]:
        """Return the listed samples whose progress is saved and no longer needed."""
        return [key for key in self._saved_event_numbers if key in self._listed_samples]

    def unfinished_progress(self) -> list[tuple[SampleId, Progress]]:
        """Return the progress of samples whose group is not fully listed."""
        open_groups = {
            each.sample.group
            for each in self._generators
            if each.sample.id not in self._listed_samples
        }
        return [
            (each.sample.id, each.progress)
            for each in self._generators
            if each.sample.group in open_groups and len(each.text)
        ]

    def remaining_work(self) -> StepWork | None:
        """Return what is not complete yet, None while durations are unknown."""
        if self._times is None or not self._token_pace.seconds:
            return None
        unlisted = [
            each
            for each in self._generators
            if each.sample.id not in self._listed_samples
        ]
        return remaining_work(
            self._batch, self._times, unlisted, self._carried, self._token_pace
        )

    async def run(self) -> None:
        """Generate until all samples are listed or another owner took over."""
        began = self._clock.monotonic()
        starter = asyncio.ensure_future(self._start_samples())
        saver = asyncio.ensure_future(self._save_progress())
        try:
            is_owner = await self._list_results(len(self._generators))
        finally:
            tasks = (starter, saver, *self._samplers)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        _log.info(
            "batches: work done" if is_owner else "batches: owner changed",
            batch=self._batch.id,
            listed=self._next_position,
            seconds=round(self._clock.monotonic() - began, 3),
        )

    async def _start_samples(self) -> None:
        """Start the samples, of which only so many wait for slots at the same time."""
        waiting = asyncio.Semaphore(MAX_WAITING_SAMPLES)
        for generator in self._start_order():
            await waiting.acquire()
            place = _WaitingPlace(waiting)
            task = asyncio.ensure_future(self._complete_sample(generator, place.leave))
            self._samplers.add(task)
            task.add_done_callback(self._samplers.discard)
            task.add_done_callback(place.leave)

    def _start_order(self) -> list[SampleGenerator]:
        """Return the samples in the order in which they ask for slots.

        Free slots are granted at once, so planned samples have to ask by rank.
        """
        if self._times is None:
            return self._generators
        return sorted(
            self._generators,
            key=lambda each: self._dispatcher.rank_of(each.sample.id, each.rank),
        )

    async def _save_progress(self) -> None:
        """Save the progress of long samples periodically, for a later owner."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            due = [
                (each.sample.id, each.progress)
                for each in self._generators
                if self._needs_saving(each)
            ]
            if due and await self._progress_store.save(self._batch.model, due):
                for sample_id, progress in due:
                    self._saved_event_numbers[sample_id] = progress.next_number

    def _needs_saving(self, generator: SampleGenerator) -> bool:
        sample_id = generator.sample.id
        if sample_id in self._listed_samples:
            return False
        saved = self._saved_event_numbers.get(sample_id, 0)
        return generator.text.next_number - saved >= MIN_UNSAVED_EVENT_COUNT

    async def _complete_sample(
        self, generator: SampleGenerator, on_slot: Callable[[], None]
    ) -> None:
        sample = generator.sample
        began = self._clock.monotonic()
        span = self._tracer.span(
            "batches.sample",
            self._batch.trace,
            batch=self._batch.id,
            sample=sample.id,
        )
        try:
            with span:
                async with asyncio.timeout(self._deadline - began):
                    await generator.run(span.traceparent, on_slot)
                    whole_at = self._clock.monotonic()
                    ran_s = whole_at - began - generator.waited_s
                    self._token_pace.note(
                        sample.length_hint,
                        timedelta(seconds=ran_s),
                        len(generator.text),
                    )
                    score = await self._score(sample, span.traceparent)
        except (SampleFailedError, ScoreFailedError, TimeoutError) as error:
            _log.warning(
                "batches: sample given up",
                batch=self._batch.id,
                sample=sample.id,
                reason=str(error) or "out of time",
            )
            result = SampleResult(sample.id, ResultState.ABORTED)
        except Exception:
            _log.exception("batches: sample failed", sample=sample.id)
            raise
        else:
            _log.info(
                "batches: sample done",
                batch=self._batch.id,
                sample=sample.id,
                group=sample.group,
                events=len(generator.text),
                runs=generator.run_count,
                resumed_events=generator.resumed_event_count,
                resume_after=generator.run_start.resume_after,
                first_number=generator.run_start.first_number,
                waited_s=round(generator.waited_s, 3),
                longest_gap_s=round(generator.longest_gap_s, 3),
                whole_after_s=round(whole_at - began, 3),
                scored_after_s=round(self._clock.monotonic() - began, 3),
            )
            result = SampleResult(
                sample.id,
                ResultState.SUCCEEDED,
                generator.text.text,
                generator.text.versions,
                score,
                generator.text.version_events,
            )
        self._unlisted_results.put_nowait(result)

    async def _score(self, sample: Sample, trace: str) -> str:
        if sample.reward is None:
            return ""
        return await self._scorer.score(sample.reward, trace)

    async def _list_results(self, count: int) -> bool:
        """List `count` results as samples finish; False if another owner took over."""
        while count:
            results = await self._next_results()
            while not await self._try_list(results):
                if self._is_replaced:
                    return False
            self._next_position += len(results)
            self._listed_samples.update(result.id for result in results)
            count -= len(results)
        return True

    _is_replaced = False

    async def _try_list(self, results: Sequence[SampleResult]) -> bool:
        # Until the outcome is known, the same results are sent to the same positions.
        try:
            listed = await self._repository.add_results(
                self._batch.id, self._fence, self._next_position, results
            )
        except (StoreUnavailableError, NotSettledError) as error:
            _log.warning(
                "batches: results not listed yet",
                batch=self._batch.id,
                position=self._next_position,
                reason=store_failure_reason(error),
            )
            await asyncio.sleep(0.1)
            return False
        self._is_replaced = not listed
        return listed

    async def _next_results(self) -> list[SampleResult]:
        results = [await self._unlisted_results.get()]
        size = _text_bytes(results[0])
        while (
            not self._unlisted_results.empty()
            and len(results) < MAX_RESULTS_PER_TRANSACTION
        ):
            if size > MAX_TRANSACTION_BYTES // 2:
                break
            results.append(self._unlisted_results.get_nowait())
            size += _text_bytes(results[-1])
        return results


class _WaitingPlace:
    """The place of a sample among those that wait, which it leaves once."""

    def __init__(self, waiting: asyncio.Semaphore):
        self._waiting = waiting
        self._has_left = False

    def leave(self, *_: object) -> None:
        """Let another sample wait."""
        if not self._has_left:
            self._has_left = True
            self._waiting.release()


def _text_bytes(result: SampleResult) -> int:
    """Return the size of a result's text in the store."""
    return len(result.text.encode())

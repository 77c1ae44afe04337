"""Steps: a batch of samples for a job, delivered once each.

A step is a batch like any other, named by its job, its number and the oldest version
that it allows, so that it may be opened again at any host: what the trainer does not
hold yet comes again, unchanged. A trainer that published a newer version meanwhile
opens another batch of the same samples; what was generated goes on if it still fits.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable, Iterable

import structlog

from bankrudder.batches import (
    Batch,
    BatchId,
    BatchReader,
    BatchRepository,
    BatchService,
    ResultState,
    Sample,
    SampleResult,
    UnknownBatchError,
)
from bankrudder.config import (
    ConfigurationService,
    PlacementGuard,
    job_route,
    model_of,
)
from bankrudder.exceptions import (
    FailedError,
    InvalidError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from bankrudder.fleet import Generation
from bankrudder.routing import ModelName
from bankrudder.steps._values import StepOrder
from bankrudder.store import StoreUnavailableError, told_as_failures
from bankrudder.world import (
    Caller,
    Clock,
    GroupId,
    Job,
    JobName,
    ModelVersion,
    SampleId,
    SampleSlot,
    StepEnd,
    StepNumber,
    StepSample,
    StepShape,
    VersionSpan,
)

MAX_SAMPLES = 8192
"""Most samples of one step: twice what the largest trainers ask for."""

READ_WAIT_S = 1.0
"""Longest time for which one read of results is held; then it is looked whether this
host is about to stop."""

RETRY_PAUSE_S = 0.2
"""Pause after results could not be read."""

RETRY_AFTER_S = 0.5

_log = structlog.get_logger("steps")


class StepService:
    """Opens and ends steps.

    Parameters
    ----------
    is_leaving : callable
        Whether this host is about to stop; open steps then go on elsewhere.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        placement: PlacementGuard,
        batches: BatchService,
        reader: BatchReader,
        repository: BatchRepository,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ):
        self._configuration = configuration
        self._placement = placement
        self._batches = batches
        self._reader = reader
        self._repository = repository
        self._is_leaving = is_leaving
        self._clock = clock

    async def open(
        self, trainer: Caller, order: StepOrder
    ) -> AsyncGenerator[StepSample | StepEnd, None]:
        """Yield each sample that the trainer does not hold, then the end.

        Raises
        ------
        InvalidError
            If the order is wrong, or the step has other prompts.
        NotRunError
            If the step cannot be opened here now; another host may.
        OutcomeUnknownError
            If it is not known whether it was opened.
        FailedError
            If samples were given up; all others were delivered.
        """
        job = self._job_of(trainer, order.job)
        _check_shape(order)
        batch = self._batch(trainer, job, order)
        await self._accept(batch, order)
        delivered = 0
        async for sample in self._samples(batch.id, order.shape):
            if sample.slot not in order.held:
                delivered += 1
                yield sample
        yield StepEnd(delivered)

    async def ack(
        self,
        trainer: Caller,
        job_name: JobName,
        step: StepNumber,
        slots: Iterable[SampleSlot],
        shape: StepShape,
        opened_versions: Iterable[ModelVersion],
    ) -> None:
        """Note what the trainer holds; a step of which it holds all ends.

        Parameters
        ----------
        opened_versions : iterable of ModelVersion
            Each version that the step was opened with.

        Raises
        ------
        InvalidError
            If the job is not the trainer's.
        NotRunError, OutcomeUnknownError
            If the step did not end, or perhaps.
        """
        job = self._job_of(trainer, job_name)
        if not shape.slots <= frozenset(slots):
            return
        names = {
            _batch_id(job_name, step, _min_version(job, version))
            for version in opened_versions
        }
        with told_as_failures("no reply", RETRY_AFTER_S):
            for name in sorted(names):
                await self._repository.end(name)

    def model_of(self, trainer: Caller, job_name: JobName) -> ModelName:
        """Return the model whose versions a trainer publishes for a job."""
        job = self._job_of(trainer, job_name)
        return model_of(self._configuration.index.pool(job.pool), job)

    def _job_of(self, trainer: Caller, name: JobName) -> Job:
        index = self._configuration.index
        job = index.job(name)
        if job.trainer != trainer.name:
            raise InvalidError(
                FailureReason.NOT_ALLOWED, f"{trainer.name} does not train {job.name}"
            )
        self._placement.check(index.allowed(job.data_class))
        return job

    def _batch(self, trainer: Caller, job: Job, order: StepOrder) -> Batch:
        index = self._configuration.index
        pool = index.pool(job.pool)
        route = job_route(pool, job, tuple(sorted(index.allowed(job.data_class))))
        model = model_of(pool, job)
        priority = index.caller_class(job.caller_class).priority
        generation = Generation(model, order.max_tokens or job.max_tokens, priority)
        min_version = _min_version(job, order.current_version)
        batch_id = _batch_id(job.name, order.step, min_version)
        names = f"step.{job.name}.{order.step}"
        samples = tuple(
            Sample(
                id=SampleId(f"{names}.{slot.group}.{slot.index}"),
                target=f"{route.path_prefix}{order.step}",
                headers=(),
                body=order.prompts[slot.group],
                group=GroupId(f"{names}.{slot.group}"),
                generation=generation,
            )
            for slot in sorted(order.shape.slots)
        )
        return Batch(
            id=batch_id,
            route=route.name,
            host=route.host,
            model=model,
            min_version=min_version,
            target_groups=len(order.prompts),
            samples=samples,
            data_centres=route.data_centres,
            trace=order.trace,
            workspace=trainer.workspace,
        )

    async def _accept(self, batch: Batch, order: StepOrder) -> None:
        unsettled = "the step may be open; it may be opened again"
        with told_as_failures(unsettled, RETRY_AFTER_S):
            is_same = await self._batches.accept(batch)
            if is_same or await self._has_prompts_of(batch):
                return
        raise InvalidError(
            FailureReason.STEP_CONFLICT,
            f"step {order.step} of {order.job} has other prompts",
            field="groups",
        )

    async def _has_prompts_of(self, batch: Batch) -> bool:
        """Whether the step that is kept asks for the same samples.

        The rest may differ: operators may have moved the job meanwhile.
        """
        try:
            kept = await self._repository.load(batch.id)
        except UnknownBatchError:
            return False
        return [(each.id, each.body) for each in kept.samples] == [
            (each.id, each.body) for each in batch.samples
        ]

    async def _samples(
        self, batch_id: BatchId, shape: StepShape
    ) -> AsyncGenerator[StepSample, None]:
        position = 0
        given_up = 0
        while position < len(shape.slots):
            results, position = await self._next_results(batch_id, position)
            for result in results:
                if result.state is ResultState.ABORTED:
                    given_up += 1
                else:
                    yield _sample(result)
        if given_up:
            raise FailedError(
                FailureReason.SAMPLES_GIVEN_UP, f"{given_up} samples were given up"
            )

    async def _next_results(
        self, batch_id: BatchId, position: int
    ) -> tuple[tuple[SampleResult, ...], int]:
        while True:
            if self._is_leaving():
                raise NotRunError(
                    FailureReason.STOPPING,
                    "the step goes on; open it at another host",
                    retry_after_s=0.0,
                )
            try:
                page = await self._reader.results(batch_id, position, READ_WAIT_S)
            except StoreUnavailableError as error:
                _log.info(
                    "steps: results not read yet",
                    batch=batch_id,
                    reason=error.trouble.value,
                )
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if page is None:
                raise OutcomeUnknownError(
                    FailureReason.INTERNAL, "the step is no longer kept"
                )
            if page.results:
                return page.results, page.next_position


def _check_shape(order: StepOrder) -> None:
    if not order.prompts or order.samples_per_group < 1:
        raise InvalidError(
            FailureReason.BAD_REQUEST, "at least one sample is needed", field="groups"
        )
    count = len(order.prompts) * order.samples_per_group
    if count > MAX_SAMPLES:
        raise InvalidError(
            FailureReason.TOO_LARGE,
            f"{count} samples: allowed are {MAX_SAMPLES}",
            field="groups",
        )


def _min_version(job: Job, current_version: ModelVersion) -> ModelVersion:
    """Return the oldest version that may make any of a step's samples."""
    return ModelVersion(max(current_version - job.max_staleness, 1))


def _batch_id(job: JobName, step: StepNumber, min_version: ModelVersion) -> BatchId:
    return BatchId(f"step.{job}.{step}.v{min_version}")


def _sample(result: SampleResult) -> StepSample:
    *_, group, index = result.id.split(".")
    spans = tuple(
        VersionSpan(version, events)
        for version, events in zip(result.versions, result.version_events, strict=True)
    )
    slot = SampleSlot(int(group), int(index))
    return StepSample(slot, result.text.encode(), spans, result.id)

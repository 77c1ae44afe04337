"""Opens and ends training steps; each sample of a step is delivered once.

A step is a batch whose identifier consists of its job, its number and the oldest
version that it allows. A trainer may therefore open the step again at any host, and
gets the samples that it does not hold yet, unchanged. If the trainer published a newer
version meanwhile, reopening the step creates another batch of the same samples; what
was already generated is continued if its version is still allowed.
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
from bankrudder.steps._values import StepSpec
from bankrudder.store import StoreUnavailableError, translate_store_errors
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

MAX_SAMPLES_PER_STEP = 8192
"""Twice the number of samples that the largest trainers request."""

READ_WAIT_S = 1.0
"""Longest time that one read waits for results; between reads, the service checks
whether this host is about to stop."""

RETRY_PAUSE_S = 0.2
"""Pause after a failed read of results."""

RETRY_AFTER_S = 0.5

_log = structlog.get_logger("steps")


class StepService:
    """Opens steps for trainers and ends them.

    Parameters
    ----------
    is_leaving : callable
        Returns whether this host is about to stop; open steps then continue at
        another host.
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
        self, trainer: Caller, spec: StepSpec
    ) -> AsyncGenerator[StepSample | StepEnd, None]:
        """Yield each sample that the trainer does not hold, then the `StepEnd`.

        Raises
        ------
        InvalidError
            If the spec is invalid, or the step was opened with other prompts.
        NotRunError
            If this host cannot open the step now; another host may be able to.
        OutcomeUnknownError
            If it is unknown whether the step was opened.
        FailedError
            If samples were aborted; all other samples were delivered.
        """
        job = self._job_of_trainer(trainer, spec.job)
        _check_shape(spec.shape)
        batch = self._build_batch(trainer, job, spec)
        await self._accept_batch(batch, spec)
        delivered_count = 0
        async for sample in self._stream_samples(batch.id, spec.shape):
            if sample.slot not in spec.held:
                delivered_count += 1
                yield sample
        yield StepEnd(delivered_count)

    async def ack(
        self,
        trainer: Caller,
        job_name: JobName,
        step: StepNumber,
        slots: Iterable[SampleSlot],
        shape: StepShape,
        opened_versions: Iterable[ModelVersion],
    ) -> None:
        """End a step if the trainer holds all of its samples.

        Parameters
        ----------
        slots : iterable of SampleSlot
            Samples that the trainer holds.
        opened_versions : iterable of ModelVersion
            All versions with which the step was opened.

        Raises
        ------
        InvalidError
            If the job does not belong to the trainer, or `shape` is none of a step.
        NotRunError, OutcomeUnknownError
            If the step did not end, or if that is unknown.
        """
        job = self._job_of_trainer(trainer, job_name)
        _check_shape(shape)
        if not shape.slots <= frozenset(slots):
            return
        batch_ids = {
            _batch_id(job_name, step, _min_version(job, version))
            for version in opened_versions
        }
        with translate_store_errors("the store gave no reply", RETRY_AFTER_S):
            for batch_id in sorted(batch_ids):
                await self._repository.end(batch_id)

    def model_of(self, trainer: Caller, job_name: JobName) -> ModelName:
        """Return the model for which a trainer publishes versions in a job."""
        job = self._job_of_trainer(trainer, job_name)
        return model_of(self._configuration.index.pool(job.pool), job)

    def _job_of_trainer(self, trainer: Caller, name: JobName) -> Job:
        index = self._configuration.index
        job = index.job(name)
        if job.trainer != trainer.name:
            raise InvalidError(
                FailureReason.NOT_ALLOWED,
                f"trainer {trainer.name} does not train job {job.name}",
            )
        self._placement.check(index.allowed(job.data_class))
        return job

    def _build_batch(self, trainer: Caller, job: Job, spec: StepSpec) -> Batch:
        index = self._configuration.index
        pool = index.pool(job.pool)
        route = job_route(pool, job, tuple(sorted(index.allowed(job.data_class))))
        model = model_of(pool, job)
        priority = index.caller_class(job.caller_class).priority
        generation = Generation(model, spec.max_tokens or job.max_tokens, priority)
        min_version = _min_version(job, spec.current_version)
        batch_id = _batch_id(job.name, spec.step, min_version)
        id_prefix = f"step.{job.name}.{spec.step}"
        samples = tuple(
            Sample(
                id=SampleId(f"{id_prefix}.{slot.group}.{slot.index}"),
                target=f"{route.path_prefix}{spec.step}",
                headers=(),
                body=spec.prompts[slot.group],
                group=GroupId(f"{id_prefix}.{slot.group}"),
                generation=generation,
            )
            for slot in sorted(spec.shape.slots)
        )
        return Batch(
            id=batch_id,
            route=route.name,
            host=route.host,
            model=model,
            min_version=min_version,
            target_groups=len(spec.prompts),
            samples=samples,
            data_centres=route.data_centres,
            trace=spec.trace,
            workspace=trainer.workspace,
        )

    async def _accept_batch(self, batch: Batch, spec: StepSpec) -> None:
        unsettled = (
            "the store gave no reply; the step may be open and may be opened again"
        )
        with translate_store_errors(unsettled, RETRY_AFTER_S):
            is_same = await self._batches.accept(batch)
            if is_same or await self._has_prompts_of(batch):
                return
        raise InvalidError(
            FailureReason.STEP_CONFLICT,
            f"step {spec.step} of job {spec.job} was opened with other prompts",
            field="groups",
        )

    async def _has_prompts_of(self, batch: Batch) -> bool:
        """Return whether the stored step has the same samples.

        Other fields may differ, because operators may have moved the job meanwhile.
        """
        try:
            stored_batch = await self._repository.load(batch.id)
        except UnknownBatchError:
            return False
        return [(each.id, each.body) for each in stored_batch.samples] == [
            (each.id, each.body) for each in batch.samples
        ]

    async def _stream_samples(
        self, batch_id: BatchId, shape: StepShape
    ) -> AsyncGenerator[StepSample, None]:
        position = 0
        aborted_count = 0
        while position < len(shape.slots):
            results, position = await self._next_results(batch_id, position)
            for result in results:
                if result.state is ResultState.ABORTED:
                    aborted_count += 1
                else:
                    yield _sample(result)
        if aborted_count:
            raise FailedError(
                FailureReason.SAMPLES_GIVEN_UP, f"{aborted_count} samples were aborted"
            )

    async def _next_results(
        self, batch_id: BatchId, position: int
    ) -> tuple[tuple[SampleResult, ...], int]:
        while True:
            if self._is_leaving():
                raise NotRunError(
                    FailureReason.STOPPING,
                    "this host is stopping; the step continues and may be opened at"
                    " another host",
                    retry_after_s=0.0,
                )
            try:
                page = await self._reader.results(batch_id, position, READ_WAIT_S)
            except StoreUnavailableError as error:
                _log.info(
                    "steps: results not read yet",
                    batch=batch_id,
                    reason=error.error_kind.value,
                )
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if page is None:
                raise OutcomeUnknownError(
                    FailureReason.INTERNAL, "the step is no longer stored"
                )
            if page.results:
                return page.results, page.next_position


def _check_shape(shape: StepShape) -> None:
    if shape.groups < 1 or shape.samples_per_group < 1:
        raise InvalidError(
            FailureReason.BAD_REQUEST,
            "at least one prompt and one sample per group are required",
            field="groups",
        )
    count = shape.groups * shape.samples_per_group
    if count > MAX_SAMPLES_PER_STEP:
        raise InvalidError(
            FailureReason.TOO_LARGE,
            f"step has {count} samples, limit {MAX_SAMPLES_PER_STEP}",
            field="groups",
        )


def _min_version(job: Job, current_version: ModelVersion) -> ModelVersion:
    """Return the oldest version that may generate samples of a step."""
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

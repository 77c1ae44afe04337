"""gRPC service ``Trainers``: opens steps and publishes versions of weights."""

from collections.abc import AsyncIterator, Iterable
from contextlib import AbstractContextManager, aclosing

from google.protobuf.message import Message

from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.observe import Tracer
from bankrudder.rpc._context import RpcContext
from bankrudder.rpc._identity import metadata_value
from bankrudder.rpc._types import ServicerContext
from bankrudder.steps import StepService, StepSpec, VersionRegistry
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.wire import TRACE_KEY
from bankrudder.world import (
    Caller,
    CallerRole,
    JobName,
    ModelVersion,
    SampleSlot,
    StepEnd,
    StepNumber,
    StepSample,
    StepShape,
)


class TrainersServicer(pb_grpc.TrainersServicer):
    """Serves requests of trainers for steps and versions of weights."""

    def __init__(
        self,
        rpc: RpcContext,
        steps: StepService,
        versions: VersionRegistry,
        tracer: Tracer,
    ):
        self._rpc = rpc
        self._steps = steps
        self._versions = versions
        self._tracer = tracer

    async def OpenStep(
        self, request: pb.OpenStepRequest, context: ServicerContext
    ) -> AsyncIterator[pb.StepEvent]:
        """Stream each sample that the trainer does not hold, then a ``StepEnd``."""
        parent = metadata_value(context, TRACE_KEY)
        with (
            self._tracer.span("rpc.step", parent=parent, job=request.job) as span,
            self._admitted_trainer(context, request) as trainer,
        ):
            spec = _step_spec(request, span.traceparent)
            async with aclosing(self._steps.open(trainer, spec)) as events:
                async for event in events:
                    yield _event_to_proto(event)

    async def Ack(
        self, request: pb.AckRequest, context: ServicerContext
    ) -> pb.AckReply:
        """End a step if the request names all of its samples.

        A stopping node still accepts this, so that its open steps can end.
        """
        with self._admitted_trainer(context, request, is_new=False) as trainer:
            await self._steps.ack(
                trainer,
                JobName(request.job),
                StepNumber(request.step),
                _slots_from(request.slots),
                StepShape(request.groups, request.samples_per_group),
                [ModelVersion(version) for version in request.opened_versions],
            )
        return pb.AckReply()

    async def Publish(
        self, request: pb.PublishRequest, context: ServicerContext
    ) -> pb.PublishReply:
        """Publish a version of the weights of the job's model; return the newest."""
        _check_not_negative(request, "version")
        with self._admitted_trainer(context, request) as trainer:
            model = self._steps.model_of(trainer, JobName(request.job))
            version = await self._versions.publish(model, ModelVersion(request.version))
        return pb.PublishReply(version=version)

    def _admitted_trainer(
        self, context: ServicerContext, request: Message, *, is_new: bool = True
    ) -> AbstractContextManager[Caller]:
        return self._rpc.admitted(
            context, request.ByteSize(), CallerRole.TRAINER, is_new=is_new
        )


def _check_not_negative(request: Message, *fields: str) -> None:
    for field in fields:
        if getattr(request, field) < 0:
            raise InvalidError(
                FailureReason.BAD_REQUEST, "must be 0 or more", field=field
            )


def _slots_from(slots: Iterable[pb.SampleSlot]) -> tuple[SampleSlot, ...]:
    return tuple(SampleSlot(slot.group, slot.index) for slot in slots)


def _step_spec(request: pb.OpenStepRequest, trace: str) -> StepSpec:
    _check_not_negative(request, "step", "current_version", "max_tokens")
    return StepSpec(
        job=JobName(request.job),
        step=StepNumber(request.step),
        prompts=tuple(group.prompt for group in request.groups),
        samples_per_group=request.samples_per_group,
        current_version=ModelVersion(request.current_version),
        held=frozenset(_slots_from(request.held)),
        max_tokens=request.max_tokens,
        trace=trace,
    )


def _event_to_proto(event: StepSample | StepEnd) -> pb.StepEvent:
    match event:
        case StepSample():
            spans = [
                pb.VersionSpan(version=span.version, events=span.events)
                for span in event.versions
            ]
            sample = pb.Sample(
                slot=pb.SampleSlot(group=event.slot.group, index=event.slot.index),
                text=event.text,
                versions=spans,
                sample_id=event.sample_id,
            )
            return pb.StepEvent(sample=sample)
        case StepEnd():
            return pb.StepEvent(end=pb.StepEnd(delivered=event.delivered))

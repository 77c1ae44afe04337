"""The client for trainers.

A step yields one sample for each slot: broken streams are opened again, duplicates are
dropped, and samples that lag the published weights too far are requested again.
"""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterable, Sequence
from contextlib import aclosing
from typing import Self

import grpc
import msgspec
import structlog

from bankrudder.client._received import ReceivedStep
from bankrudder.client._trainer_connection import (
    GrpcTrainerConnection,
    TrainerConnection,
)
from bankrudder.exceptions import (
    BankrudderError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.world import (
    Address,
    Clock,
    ModelVersion,
    SampleSlot,
    StepSample,
    SystemClock,
    VersionSpan,
)

_log = structlog.get_logger("client")

ConnectionFactory = Callable[[Address], TrainerConnection]


class TrainerSettings(msgspec.Struct, frozen=True):
    """Retry settings of a trainer's client; times are in seconds.

    Attributes
    ----------
    backoff_s, max_backoff_s : float
        First and longest wait after a failure; a longer wait that the failure asks
        for takes precedence.
    patience_s : float
        Time without a sample after which a failure is raised instead of retried.
    acks : int
        Maximum number of attempts to acknowledge a step. The nodes end a step without
        an acknowledgement once it has been open for their time limit.
    """

    backoff_s: float = 0.1
    max_backoff_s: float = 2.0
    patience_s: float = 600.0
    acks: int = 3


class Trainer:
    """Opens steps at entry nodes and publishes versions of weights.

    Parameters
    ----------
    addresses : sequence of Address
        Entry nodes; the next one is used after a failure.
    connect : callable
        Returns a connection to an address.
    sleep : callable, optional
        Waits for a number of seconds.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        connect: ConnectionFactory,
        clock: Clock,
        *,
        settings: TrainerSettings | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._addresses = list(addresses)
        self._connect = connect
        self._clock = clock
        self._settings = settings or TrainerSettings()
        self._sleep = sleep
        self._connections: dict[Address, TrainerConnection] = {}
        self._published_versions: dict[str, ModelVersion] = {}
        self._duplicates_dropped = 0
        self._stale_dropped = 0

    @classmethod
    def from_config(
        cls,
        addresses: Sequence[str],
        token: str,
        *,
        data_class: str = "",
        credentials: grpc.ChannelCredentials | None = None,
        settings: TrainerSettings | None = None,
    ) -> Self:
        """Return a gRPC client; without `credentials`, it connects without TLS."""

        def connect(address: Address) -> TrainerConnection:
            return GrpcTrainerConnection.from_config(
                address, token, data_class, credentials
            )

        node_addresses = [Address(address) for address in addresses]
        return cls(node_addresses, connect, SystemClock(), settings=settings)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        connections, self._connections = self._connections, {}
        for connection in connections.values():
            await connection.close()

    @property
    def duplicates_dropped(self) -> int:
        """Number of samples received for slots that were already filled."""
        return self._duplicates_dropped

    @property
    def stale_dropped(self) -> int:
        """Number of samples that were too old for the published version."""
        return self._stale_dropped

    # ---- weights ------------------------------------------------------------

    async def publish(self, job: str, version: int) -> None:
        """Make `version` the newest version of the job's weights.

        The request is retried while the outcome is unknown, which is safe because
        publishing a version is idempotent.

        Raises
        ------
        BankrudderError
            If the version is refused, or retries fail for `patience_s`.
        """
        request = pb.PublishRequest(job=job, version=version)
        backoff = _Backoff(self._settings, self._clock)
        while True:
            try:
                await self._connection().publish(request)
                break
            except (NotRunError, OutcomeUnknownError) as error:
                await self._fail_over(backoff, error)
        newest = max(version, self._published_versions.get(job, 0))
        self._published_versions[job] = ModelVersion(newest)

    # ---- steps --------------------------------------------------------------

    async def step(
        self,
        job: str,
        step: int,
        groups: Sequence[bytes],
        samples_per_group: int,
        *,
        max_staleness: int = 1,
        max_tokens: int = 0,
        held: Iterable[SampleSlot] = (),
    ) -> AsyncGenerator[StepSample, None]:
        """Yield one sample for each slot that is not in `held`, in order of arrival.

        A sample that is too old for a version published in the meantime is dropped,
        and its slot is requested again. A step number of a job must always be used
        with the same groups.

        Parameters
        ----------
        groups : sequence of bytes
            The prompt of each group.
        max_staleness : int
            Maximum number of versions that a sample may lag the version published
            by this client. Nodes apply the limit in the job's configuration.
        max_tokens : int
            Maximum number of tokens of a sample; 0 takes the job's limit.
        held : iterable of SampleSlot
            Slots whose samples the trainer has from before a restart.

        Raises
        ------
        BankrudderError
            If the step is refused, a message exceeds a size limit, or retries fail for
            `patience_s` without a sample.
        """
        received = ReceivedStep(held, max_staleness)
        request = pb.OpenStepRequest(
            job=job,
            step=step,
            groups=[pb.Group(prompt=prompt) for prompt in groups],
            samples_per_group=samples_per_group,
            max_tokens=max_tokens,
        )
        try:
            async with aclosing(self._samples(request, received)) as samples:
                async for sample in samples:
                    yield sample
                    received.record_consumed(sample.slot)
            await self._ack(request, received)
        finally:
            self._add_dropped_counts(received)

    async def _samples(
        self, request: pb.OpenStepRequest, received: ReceivedStep
    ) -> AsyncGenerator[StepSample, None]:
        backoff = _Backoff(self._settings, self._clock)
        while True:
            try:
                async with aclosing(self._stream_samples(request, received)) as samples:
                    async for sample in samples:
                        backoff.reset()
                        yield sample
                if not received.has_missing_samples:
                    return
                await self._sleep(self._settings.backoff_s)
            except (NotRunError, OutcomeUnknownError) as error:
                await self._fail_over(backoff, error)

    async def _stream_samples(
        self, request: pb.OpenStepRequest, received: ReceivedStep
    ) -> AsyncGenerator[StepSample, None]:
        """Yield the accepted samples of one stream; return at its end event."""
        open_request = pb.OpenStepRequest()
        open_request.CopyFrom(request)
        open_request.current_version = self._published_versions.get(request.job, 0)
        received.record_opened(open_request.current_version)
        open_request.held.extend(_slots_to_proto(received.held))
        async with aclosing(self._connection().open_step(open_request)) as events:
            async for event in events:
                if event.WhichOneof("event") == "end":
                    return
                sample = _sample_from(event.sample)
                if received.accept(
                    sample, self._published_versions.get(request.job, 0)
                ):
                    yield sample
        raise OutcomeUnknownError(
            FailureReason.ANSWER_BROKEN, "the stream closed without an end event"
        )

    async def _ack(self, request: pb.OpenStepRequest, received: ReceivedStep) -> None:
        """Acknowledge the processed samples; if these are all, the nodes end the step.

        Failed attempts are logged; the failure of the last one is not raised either.
        """
        ack = pb.AckRequest(
            job=request.job,
            step=request.step,
            slots=_slots_to_proto(received.consumed),
            groups=len(request.groups),
            samples_per_group=request.samples_per_group,
            opened_versions=received.opened_versions,
        )
        for _ in range(self._settings.acks):
            try:
                await self._connection().ack(ack)
                return
            except BankrudderError as error:
                _log.info("client: ack failed", reason=error.failure.reason.value)
            self._rotate_addresses()
            await self._sleep(self._settings.backoff_s)

    # ---- entry nodes --------------------------------------------------------

    def _connection(self) -> TrainerConnection:
        address = self._addresses[0]
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connect(address)
            self._connections[address] = connection
        return connection

    def _rotate_addresses(self) -> None:
        self._addresses.append(self._addresses.pop(0))

    async def _fail_over(self, backoff: "_Backoff", error: BankrudderError) -> None:
        """Switch to another entry node and wait.

        Raises `error` if retries time out, or if a message was too large.
        """
        if backoff.is_timed_out or error.failure.reason is FailureReason.TOO_LARGE:
            raise error
        allowed = [Address(address) for address in error.failure.allowed_addresses]
        self._rotate_addresses()
        others = [address for address in self._addresses if address not in allowed]
        self._addresses = allowed + others
        await self._sleep(backoff.next(error.failure.retry_after_s))

    def _add_dropped_counts(self, received: ReceivedStep) -> None:
        self._duplicates_dropped += received.duplicate_count
        self._stale_dropped += received.stale_count


class _Backoff:
    """Exponential backoff between retries, and the time limit without progress."""

    def __init__(self, settings: TrainerSettings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self.reset()

    @property
    def is_timed_out(self) -> bool:
        idle_s = self._clock.monotonic() - self._last_progress_at
        return idle_s > self._settings.patience_s

    def reset(self) -> None:
        self._last_progress_at = self._clock.monotonic()
        self._wait_s = self._settings.backoff_s

    def next(self, retry_after_s: float | None) -> float:
        wait_s = max(self._wait_s, retry_after_s or 0.0)
        self._wait_s = min(2 * self._wait_s, self._settings.max_backoff_s)
        return wait_s


def _slots_to_proto(slots: Iterable[SampleSlot]) -> list[pb.SampleSlot]:
    return [pb.SampleSlot(group=s.group, index=s.index) for s in sorted(slots)]


def _sample_from(message: pb.Sample) -> StepSample:
    return StepSample(
        slot=SampleSlot(message.slot.group, message.slot.index),
        text=message.text,
        versions=tuple(
            VersionSpan(ModelVersion(span.version), span.events)
            for span in message.versions
        ),
        sample_id=message.sample_id,
    )

"""The trainer's client: steps without doubles, gaps or stale samples."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterable, Sequence
from contextlib import aclosing
from typing import Self

import grpc
import msgspec
import structlog

from bankrudder.client._received import ReceivedStep
from bankrudder.client._trainer_link import GrpcTrainerLink, TrainerLink
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

Connect = Callable[[Address], TrainerLink]


class TrainerSettings(msgspec.Struct, frozen=True):
    """How a trainer's client behaves; times in seconds.

    Attributes
    ----------
    backoff_s, max_backoff_s : float
        First and longest wait after a failure that names no time itself.
    patience_s : float
        Time without any event of a step after which its failure is raised.
    acks : int
        Tries to tell that a step is done; it ends by itself some time later.
    """

    backoff_s: float = 0.1
    max_backoff_s: float = 2.0
    patience_s: float = 600.0
    acks: int = 3


class Trainer:
    """Opens steps at entry nodes and publishes weights.

    Parameters
    ----------
    addresses : sequence of Address
        Entry nodes; the next one is used when one fails.
    connect : callable
        Returns a link to an address.
    sleep : callable, optional
        Waits some seconds.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        connect: Connect,
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
        self._links: dict[Address, TrainerLink] = {}
        self._published: dict[str, ModelVersion] = {}
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
        """Make a client that speaks gRPC, in clear without `credentials`."""

        def connect(address: Address) -> TrainerLink:
            return GrpcTrainerLink.from_config(address, token, data_class, credentials)

        named = [Address(address) for address in addresses]
        return cls(named, connect, SystemClock(), settings=settings)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        links, self._links = self._links, {}
        for link in links.values():
            await link.close()

    @property
    def duplicates_dropped(self) -> int:
        """Samples that came although their slots were held."""
        return self._duplicates_dropped

    @property
    def stale_dropped(self) -> int:
        """Samples that were too old for what this trainer had published."""
        return self._stale_dropped

    # ---- weights ------------------------------------------------------------

    async def publish(self, job: str, version: int) -> None:
        """Make `version` the newest version of the job's weights.

        It is asked again while the outcome is not known: publishing the same
        version twice is the same as once.

        Raises
        ------
        BankrudderError
            If the version is refused, or the patience is spent.
        """
        request = pb.PublishRequest(job=job, version=version)
        pause = _Pause(self._settings, self._clock)
        while True:
            try:
                await self._link().publish(request)
                break
            except (NotRunError, OutcomeUnknownError) as error:
                await self._recover(pause, error)
        newest = max(version, self._published.get(job, 0))
        self._published[job] = ModelVersion(newest)

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
        """Yield one sample for each slot, in the order in which they are made.

        A sample that is too old for a version published meanwhile is dropped, and
        its slot is asked for again. A step number of a job stands for one set of
        groups for ever.

        Parameters
        ----------
        groups : sequence of bytes
            One prompt for each group.
        max_staleness : int
            Most versions by which a sample may lag what was published here; the
            job's own bound, by which nodes go.
        max_tokens : int
            Most tokens of a sample; 0 takes the job's.
        held : iterable of SampleSlot
            Slots whose samples are at hand from before a restart.

        Raises
        ------
        BankrudderError
            If the step is refused, or the patience is spent.
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
                    received.note_used(sample.slot)
            await self._ack(request, received)
        finally:
            self._count(received)

    async def _samples(
        self, request: pb.OpenStepRequest, received: ReceivedStep
    ) -> AsyncGenerator[StepSample, None]:
        pause = _Pause(self._settings, self._clock)
        while True:
            try:
                async with aclosing(self._one_stream(request, received)) as samples:
                    async for sample in samples:
                        pause.reset()
                        yield sample
                if not received.is_missing:
                    return
                await self._sleep(self._settings.backoff_s)
            except (NotRunError, OutcomeUnknownError) as error:
                await self._recover(pause, error)

    async def _one_stream(
        self, request: pb.OpenStepRequest, received: ReceivedStep
    ) -> AsyncGenerator[StepSample, None]:
        """Yield what is new on one stream; return at its end mark."""
        opening = pb.OpenStepRequest()
        opening.CopyFrom(request)
        opening.current_version = self._published.get(request.job, 0)
        received.note_opened(opening.current_version)
        opening.held.extend(_slots_to_proto(received.held))
        async with aclosing(self._link().open_step(opening)) as events:
            async for event in events:
                if event.WhichOneof("event") == "end":
                    return
                sample = _sample_from(event.sample)
                if received.take(sample, self._published.get(request.job, 0)):
                    yield sample
        raise OutcomeUnknownError(FailureReason.ANSWER_BROKEN, "no end mark")

    async def _ack(self, request: pb.OpenStepRequest, received: ReceivedStep) -> None:
        """Tell that all samples are here, so that nothing of the step is kept."""
        ack = pb.AckRequest(
            job=request.job,
            step=request.step,
            slots=_slots_to_proto(received.used),
            groups=len(request.groups),
            samples_per_group=request.samples_per_group,
            opened_versions=received.opened_versions,
        )
        for _ in range(self._settings.acks):
            try:
                await self._link().ack(ack)
                return
            except BankrudderError as error:
                _log.info("client: ack failed", reason=error.failure.reason.value)
            self._turn_to_next()
            await self._sleep(self._settings.backoff_s)

    # ---- entry nodes --------------------------------------------------------

    def _link(self) -> TrainerLink:
        address = self._addresses[0]
        link = self._links.get(address)
        if link is None:
            link = self._connect(address)
            self._links[address] = link
        return link

    def _turn_to_next(self) -> None:
        self._addresses.append(self._addresses.pop(0))

    async def _recover(self, pause: "_Pause", error: BankrudderError) -> None:
        """Turn to another entry node and wait; raise if that cannot help."""
        if pause.is_spent or error.failure.reason is FailureReason.TOO_LARGE:
            raise error
        allowed = [Address(address) for address in error.failure.allowed_addresses]
        self._turn_to_next()
        others = [address for address in self._addresses if address not in allowed]
        self._addresses = allowed + others
        await self._sleep(pause.next(error.failure.retry_after_s))

    def _count(self, received: ReceivedStep) -> None:
        self._duplicates_dropped += received.duplicates
        self._stale_dropped += received.stale


class _Pause:
    """Growing waits between tries, and when to stop trying."""

    def __init__(self, settings: TrainerSettings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self.reset()

    @property
    def is_spent(self) -> bool:
        silence = self._clock.monotonic() - self._since
        return silence > self._settings.patience_s

    def reset(self) -> None:
        self._since = self._clock.monotonic()
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

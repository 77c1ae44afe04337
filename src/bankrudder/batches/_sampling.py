"""Generation of one sample.

A sample is generated in one or more runs on engines. If a run ends early, because its
engine fails or another one is faster, the next run resumes after the last event.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import msgspec
import structlog

from bankrudder.batches._admission import wait_for_admission
from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._event_timeout import (
    enter_stream,
    event_timeout_s,
    with_event_timeout,
)
from bankrudder.batches._failures import SampleFailedError, StaleWeightsError
from bankrudder.batches._sample_moves import SampleMoves
from bankrudder.batches._slot_queue import SlotDemand
from bankrudder.batches._text import SampleText, request_digest, resume_obstacle
from bankrudder.batches._values import Batch, Progress, Sample
from bankrudder.crashes import CrashGuard, RefusalPolicy, Send, content_id
from bankrudder.fleet import (
    Answered,
    EndpointClient,
    LossReason,
    Lost,
    OpenedStream,
    OutgoingRequest,
    RefusalReason,
    Refused,
    ReportedLoad,
    RunEndedError,
    StreamBrokenError,
    StreamEvent,
    StreamOverrunError,
    TrackedEndpoint,
    within_run,
)
from bankrudder.observe import Tracer
from bankrudder.routing import Route
from bankrudder.world import Clock, ModelVersion

METHOD = "POST"
"""HTTP method of the requests to engines."""

MIN_RUN_TIMEOUT_S = 0.5
"""Shortest timeout of a request, however near the deadline of the sample is."""

STATUS_UNPROCESSABLE = 422
"""Status with which an engine refuses a sample that can never be generated."""

_log = structlog.get_logger("batches")


@dataclass
class RunStart:
    """Where a run began.

    Attributes
    ----------
    resume_after : int
        Number of the event after which the engine was asked to resume, -1 for none.
    first_number : int or None
        Number of the first event that the engine sent, None if it sent none.
    """

    resume_after: int = -1
    first_number: int | None = None


class SampleGenerator:
    """Generates one sample and holds its text so far.

    Parameters
    ----------
    find_route : callable
        Takes host name and target; returns the route that is configured for them.
    progress : Progress, optional
        Progress of an earlier owner or batch; ignored if it answers another request,
        does not agree with itself, or has unusable versions.
    deadline : float
        Monotonic time at which the sample is given up.
    due_at : float, optional
        Monotonic time at which the results of the batch are due, None if unknown.
    expected_events : callable
        Returns the expected number of events for a hinted number of tokens.
    """

    def __init__(
        self,
        batch: Batch,
        sample: Sample,
        find_route: Callable[[str, str], Route | None],
        rank: tuple[float, ...],
        dispatcher: Dispatcher,
        client: EndpointClient,
        crashes: CrashGuard,
        clock: Clock,
        deadline: float,
        tracer: Tracer,
        progress: Progress | None = None,
        due_at: float | None = None,
        expected_events: Callable[[int], int] = lambda tokens: tokens,
    ):
        self._tracer = tracer
        self._batch = batch
        self._sample = sample
        self._find_route = find_route
        self._route = find_route(batch.host, sample.target)
        self._rank = rank
        self._dispatcher = dispatcher
        self._client = client
        self._crashes = crashes
        self._content_id = content_id(
            METHOD,
            batch.host,
            sample.target,
            sample.body,
            [
                batch.workspace,
                *(f"{name}: {value}" for name, value in sorted(sample.headers)),
            ],
        )
        self._clock = clock
        self._deadline = deadline
        self._moves = SampleMoves(
            batch.id, sample, dispatcher, clock, due_at, expected_events
        )
        self._text = SampleText()
        self._error_answer_count = 0
        self._run_count = 0
        self._is_running = False
        self._waited_s = 0.0
        self._longest_gap_s = 0.0
        self._run_started_at = 0.0
        self._first_event = 0
        self._run_start = RunStart()
        self._resumed_event_count = 0
        self._request_digest = request_digest(batch, sample)
        if progress is not None:
            self._resume(progress)

    @property
    def sample(self) -> Sample:
        """The sample that is generated."""
        return self._sample

    @property
    def text(self) -> SampleText:
        """The text generated so far."""
        return self._text

    @property
    def progress(self) -> Progress:
        """The text as it is saved for a later owner or batch."""
        return msgspec.structs.replace(
            self._text.progress, content=self._request_digest
        )

    @property
    def rank(self) -> tuple[float, ...]:
        """Rank of the sample in the usual order."""
        return self._rank

    @property
    def is_running(self) -> bool:
        """Whether the sample has a slot."""
        return self._is_running

    @property
    def run_count(self) -> int:
        """Number of runs on engines so far."""
        return self._run_count

    @property
    def resumed_event_count(self) -> int:
        """Number of events that were resumed from saved progress."""
        return self._resumed_event_count

    @property
    def run_start(self) -> RunStart:
        """Where the latest run began."""
        return self._run_start

    @property
    def waited_s(self) -> float:
        """Total time for which the sample has waited for slots, in seconds."""
        return self._waited_s

    @property
    def longest_gap_s(self) -> float:
        """Longest time between two events of a run so far, in seconds."""
        return self._longest_gap_s

    def _resume(self, progress: Progress) -> None:
        obstacle = resume_obstacle(
            progress,
            self._request_digest,
            self._batch.min_version,
            needs_single_version=self._is_single_version,
        )
        if not obstacle:
            self._text.resume(progress)
            self._resumed_event_count = len(self._text)
        _log.info(
            "batches: saved progress not used" if obstacle else "batches: resumed",
            batch=self._batch.id,
            sample=self._sample.id,
            events=len(progress.texts),
            next_number=progress.next_number,
            is_whole=progress.is_whole,
            reason=obstacle,
        )

    async def run(
        self, trace: str = "", on_slot: Callable[[], None] = lambda: None
    ) -> None:
        """Generate until the text is complete.

        Parameters
        ----------
        trace : str
            W3C ``traceparent`` of the sample's span, or empty.
        on_slot : callable
            Called when the sample gets a slot.

        Raises
        ------
        SampleFailedError
            If it cannot be generated, or failed as often as its route allows.
        """
        try:
            await self._generate(trace, on_slot)
        finally:
            self._moves.end()
            self._crashes.share_strikes(self._content_id)

    async def _generate(self, trace: str, on_slot: Callable[[], None]) -> None:
        while not self._text.is_whole:
            is_suspect = await wait_for_admission(
                self._crashes, self._content_id, self._batch.id, self._sample.id
            )
            requested_at = self._clock.monotonic()
            route = self._current_route()
            demand = self._demand(route, is_suspect)
            target = await self._dispatcher.acquire(demand)
            self._waited_s += self._clock.monotonic() - requested_at
            self._run_count += 1
            self._is_running = True
            on_slot()
            span = self._tracer.span(
                "batches.run",
                trace,
                sample=self._sample.id,
                endpoint=target.endpoint.id,
                first_event=self._text.next_number,
            )
            try:
                with span:
                    self._moves.begin_run(target, len(self._text))
                    await self._run_on_engine(target, demand)
                    span.set(events=len(self._text), is_whole=self._text.is_whole)
            finally:
                self._is_running = False
                self._moves.end_run(target, len(self._text))
                self._dispatcher.release(target, demand.group, demand.is_suspect)

    def _demand(self, route: Route, is_suspect: bool) -> SlotDemand:
        return SlotDemand(
            self._sample.id,
            self._rank,
            route.services[0].service,
            self._batch.model,
            self._batch.min_version,
            self._sample.group,
            route.data_centres,
            is_suspect,
        )

    async def _run_on_engine(self, target: TrackedEndpoint, demand: SlotDemand) -> None:
        self._run_started_at = self._clock.monotonic()
        self._first_event = len(self._text)
        self._run_start = RunStart(self._text.last_number)
        self._text.begin_run()
        try:
            async with within_run(target):
                await self._generate_on(target, demand)
        except RunEndedError:
            self._log_run_end(target, "the engine restarted")
            await self._report_lost(target, LossReason.ENDPOINT_RESTARTED)

    async def _generate_on(self, target: TrackedEndpoint, demand: SlotDemand) -> None:
        async with AsyncExitStack() as stack:
            stream = self._client.open_stream(target.endpoint, self._outgoing_request())
            match await enter_stream(stack, stream):
                case OpenedStream(
                    version=version, events=events, keep_alive_s=keep_alive_s, load=load
                ):
                    self._note_slowdown(target, load)
                    await self._consume_stream(target, demand, version, events)
                    if self._text.is_whole:
                        now = self._clock.monotonic()
                        target.note_connection(keep_alive_s, now)
                case Refused(reason=RefusalReason.FULL, load=load):
                    self._note_slowdown(target, load)
                    self._dispatcher.pause(target, self._batch.model)
                case Refused(reason=reason):
                    self._record_failure(target, reason.value)
                case Lost(reason=lost):
                    self._record_failure(target, lost.value)
                    await self._report_lost(target, lost)
                case Answered(status=status):
                    self._handle_error_status(target, status)

    def _note_slowdown(
        self, target: TrackedEndpoint, load: ReportedLoad | None
    ) -> None:
        # Without a slowdown, `running` would count this host's own samples as load of
        # the engine for the choice of other requests.
        if load is not None and load.slowdown is not None:
            target.note_load(load, self._clock.monotonic())

    @property
    def _is_single_version(self) -> bool:
        return self._route is not None and self._route.is_single_version

    def _current_route(self) -> Route:
        """Return the present route, which a new configuration may have changed."""
        self._route = self._find_route(self._batch.host, self._sample.target)
        if self._route is None:
            raise SampleFailedError("no rollout route is configured for the sample")
        return self._route

    def _outgoing_request(self) -> OutgoingRequest:
        left_s = self._deadline - self._clock.monotonic()
        return OutgoingRequest(
            request_id=self._sample.id,
            method=METHOD,
            target=self._sample.target,
            host=self._batch.host,
            headers=self._sample.headers,
            body=self._sample.body,
            timeout_s=max(left_s, MIN_RUN_TIMEOUT_S),
            resume_after=self._text.last_number,
            generation=self._sample.generation,
            workspace=self._batch.workspace,
        )

    async def _consume_stream(
        self,
        target: TrackedEndpoint,
        demand: SlotDemand,
        version: ModelVersion | None,
        events: AsyncIterator[StreamEvent],
    ) -> None:
        began = self._clock.monotonic()
        last_event_at = began
        try:
            async for event in with_event_timeout(
                events, lambda: event_timeout_s(target.event_gap_s)
            ):
                now = self._clock.monotonic()
                self._longest_gap_s = max(self._longest_gap_s, now - last_event_at)
                last_event_at = now
                if self._run_start.first_number is None:
                    self._run_start.first_number = event.number
                self._add_event(target, event, version)
                version = event.version or version
                move = self._moves.note_event(target, demand, now, len(self._text))
                if move is not None:
                    self._log_run_end(target, move.reason.value)
                    return
        except StreamOverrunError as error:
            self._record_failure(target, str(error))
            self._text.clear()
            return
        except StreamBrokenError as error:
            self._record_failure(target, str(error))
            await self._report_lost(target, LossReason.BROKEN_OFF)
            return
        except TimeoutError:
            self._record_failure(target, "next event timed out")
            return
        except StaleWeightsError:
            self._log_run_end(target, "weights too old")
            self._dispatcher.pause(target, self._batch.model)
            return
        self._text.is_whole = True
        self._crashes.note_answer(self._content_id)
        now = self._clock.monotonic()
        target.note_answer(now - began, now)

    def _add_event(
        self, target: TrackedEndpoint, event: StreamEvent, version: ModelVersion | None
    ) -> None:
        version = event.version or version
        if version is not None:
            target.note_version(self._batch.model, version)
            self._check_version(version)
        self._text.add(event, version)

    def _check_version(self, version: ModelVersion) -> None:
        if version < self._batch.min_version:
            raise StaleWeightsError
        known = self._text.versions
        if known and version not in known and self._is_single_version:
            self._text.clear()
            raise StreamBrokenError(
                "weight version changed within a single-version sample"
            )

    def _handle_error_status(self, target: TrackedEndpoint, status: int) -> None:
        if status == STATUS_UNPROCESSABLE:
            raise SampleFailedError(
                f"the engine refused the sample for good with status {status}"
            )
        self._error_answer_count += 1
        self._log_run_end(target, f"status {status}")
        if self._error_answer_count >= self._current_route().max_attempts:
            raise SampleFailedError(
                f"{self._error_answer_count} runs ended with an error status"
            )

    def _record_failure(self, target: TrackedEndpoint, reason: str) -> None:
        target.note_failure(self._clock.monotonic())
        self._log_run_end(target, reason)

    async def _report_lost(self, target: TrackedEndpoint, reason: LossReason) -> None:
        send = Send(
            self._content_id,
            target,
            self._run_started_at,
            first_event=self._first_event,
            next_event=len(self._text),
            policy=RefusalPolicy.BRIEF,
        )
        await self._crashes.note_lost(send, reason)

    def _log_run_end(self, target: TrackedEndpoint, reason: str) -> None:
        _log.info(
            "batches: run broken off",
            batch=self._batch.id,
            sample=self._sample.id,
            content=self._content_id,
            endpoint=target.endpoint.id,
            events=len(self._text),
            resume_after=self._run_start.resume_after,
            first_number=self._run_start.first_number,
            reason=reason,
        )

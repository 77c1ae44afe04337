"""Forwarding of requests whose answer is a stream of events."""

import asyncio
from collections.abc import AsyncIterator

import structlog

from bankrudder.crashes import Admission, CrashGuard, Send
from bankrudder.fleet import (
    Answered,
    EndpointClient,
    EndpointDirectory,
    EndpointId,
    LossReason,
    Lost,
    OpenedStream,
    RefusalReason,
    Refused,
    RunEndedError,
    StreamBrokenError,
    StreamEvent,
    StreamOutcome,
    TrackedEndpoint,
    within_run,
)
from bankrudder.relay._attempts import (
    MAX_REFUSALS,
    MIN_SEND_S,
    RETRY_AFTER_S,
    SUSPECT_PAUSE_S,
    route_deadline,
)
from bankrudder.relay._metering import NoMeter, RunMeter
from bankrudder.relay._outcomes import refusal_of
from bankrudder.relay._stream_run import StreamRun, StreamStarted
from bankrudder.relay._values import (
    IncomingRequest,
    NotRun,
    RejectReason,
    Relayed,
    Reply,
    Unanswered,
)
from bankrudder.routing import Route, ServiceName
from bankrudder.world import Clock

GAP_TIMEOUT_S = 1.5
"""Longest wait for the next event of a stream that may go on elsewhere: below the
two seconds after which callers leave at the earliest."""

_log = structlog.get_logger("relay")


class StreamForwarder:
    """Sends requests for streams; one that may be resumed goes on elsewhere."""

    def __init__(
        self,
        directory: EndpointDirectory,
        client: EndpointClient,
        crashes: CrashGuard,
        clock: Clock,
        meter: RunMeter | None = None,
    ):
        self._meter = meter or NoMeter()
        self._directory = directory
        self._client = client
        self._crashes = crashes
        self._clock = clock

    async def forward(
        self, request: IncomingRequest, route: Route, service: ServiceName
    ) -> StreamStarted | Reply:
        """Return the stream of an endpoint, or why there is none."""
        runs = _Runs(
            request,
            route,
            service,
            self._directory,
            self._client,
            self._crashes,
            self._clock,
            self._meter,
        )
        try:
            outcome = await runs.open_first()
        except asyncio.CancelledError:
            # The caller left: its place at the endpoint is free again.
            await runs.leave()
            raise
        if not isinstance(outcome, OpenedStream):
            return outcome
        return StreamStarted(
            outcome.status, outcome.headers, outcome.version, runs.events(outcome)
        )


class _Runs:
    """The runs of one request, one after the other."""

    def __init__(
        self,
        request: IncomingRequest,
        route: Route,
        service: ServiceName,
        directory: EndpointDirectory,
        client: EndpointClient,
        crashes: CrashGuard,
        clock: Clock,
        meter: RunMeter,
    ):
        self._meter = meter
        self._has_begun = False
        self._crashes = crashes
        self._content = request.content
        self._request = request
        self._route = route
        self._service = service
        self._directory = directory
        self._client = client
        self._clock = clock
        # The route's time is that to the first event; a stream may last longer.
        self._deadline = route_deadline(request, route)
        self._tried: list[EndpointId] = []
        self._count = 0
        self._refusals = 0
        self._last_number = request.resume_after
        self._run: StreamRun | None = None
        self._is_answered = False

    async def open_first(self) -> OpenedStream | Reply:
        """Open the stream; what is returned otherwise is final."""
        while True:
            outcome = await self._open_next()
            match outcome:
                case OpenedStream():
                    return outcome
                case Answered() if outcome.status < 500 or not self._may_go_on():
                    await self._close()
                    return Relayed(
                        outcome.status, outcome.headers, outcome.body, outcome.proof
                    )
                case None:
                    return self._given_up()
                case Lost() if not self._may_go_on():
                    await self._close()
                    return self._given_up()
            await self._close()

    async def events(self, opened: OpenedStream) -> AsyncIterator[StreamEvent]:
        """Yield the events as they come, from run after run."""
        try:
            while True:
                try:
                    async for event in self._timed(opened, self._run):
                        if event.number <= self._last_number:
                            raise StreamBrokenError("event came again")
                        self._last_number = event.number
                        self._note_begun()
                        self._deadline = self._request.deadline
                        yield event
                    self._is_answered = True
                    self._crashes.note_answer(self._content)
                    return
                except StreamBrokenError as error:
                    await self._note_lost(LossReason.BROKEN_OFF)
                    opened = await self._resume(str(error))
                except TimeoutError:
                    opened = await self._resume("no event in time")
        finally:
            await self.leave()

    def _note_begun(self) -> None:
        """Note that the request runs: it does from its first event on."""
        if not self._has_begun:
            self._has_begun = True
            self._meter.note_begun(self._request.workspace, self._clock.monotonic())

    async def leave(self) -> None:
        """End the run that is open, if any."""
        self._crashes.tell(self._content)
        if self._run is not None and not self._is_answered:
            self._crashes.note_left(self._run.send)
        await self._close()

    async def _resume(self, reason: str) -> OpenedStream:
        _log.info(
            "relay: stream broken off",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            endpoint=self._run.target.endpoint.id if self._run else "",
            last_event=self._last_number,
            reason=reason,
            is_resumable=self._route.is_resumable,
        )
        while self._may_go_on():
            await self._close()
            outcome = await self._open_next()
            if isinstance(outcome, OpenedStream):
                return outcome
            if outcome is None:
                break
        raise StreamBrokenError(reason)

    async def _timed(
        self, opened: OpenedStream, run: StreamRun | None
    ) -> AsyncIterator[StreamEvent]:
        assert run is not None  # closed only once its events are not read any more
        while True:
            left_s = self._left_s()
            limit_s = min(GAP_TIMEOUT_S, left_s) if self._may_go_on() else left_s
            try:
                async with within_run(run.target), asyncio.timeout(limit_s):
                    event = await anext(opened.events)
            except StopAsyncIteration:
                return
            except RunEndedError:
                raise StreamBrokenError("the endpoint started again") from None
            yield event

    async def _open_next(self) -> StreamOutcome | None:
        """Open a run at the next endpoint; None if there is none or no time."""
        if self._refusals >= MAX_REFUSALS or self._admission() is Admission.REFUSED:
            return None
        target = await self._choose()
        if target is None or self._left_s() < MIN_SEND_S:
            return None
        self._tried.append(target.endpoint.id)
        send = Send(self._content, target, self._clock.monotonic())
        self._run = StreamRun(send, self._admission() is Admission.ALONE)
        outcome = await self._opened(self._run)
        match outcome:
            case Refused(reason=reason):
                self._refusals += 1
                if reason is not RefusalReason.FULL:
                    target.note_failure(self._clock.monotonic())
            case Lost(reason=lost):
                self._count += 1
                target.note_failure(self._clock.monotonic())
                await self._note_lost(lost)
            case Answered(status=status):
                self._count += 1
                if status < 500:
                    self._crashes.note_answer(self._content)
            case _:
                self._count += 1
        return outcome

    async def _note_lost(self, reason: LossReason) -> None:
        if self._run is not None:
            await self._crashes.note_lost(self._run.send, reason)

    async def _choose(self) -> TrackedEndpoint | None:
        """Return the next endpoint; a suspect waits for one without another suspect."""
        places = self._route.data_centres
        while True:
            is_suspect = self._admission() is Admission.ALONE
            target = self._directory.choose(
                self._service, self._tried, places, is_suspect
            )
            endpoints = self._directory.of_service(self._service, places)
            if target is not None or not any(each.suspects for each in endpoints):
                return target
            if self._left_s() < MIN_SEND_S:
                return None
            await asyncio.sleep(SUSPECT_PAUSE_S)

    def _admission(self) -> Admission:
        return self._crashes.verdict(self._content).admission

    async def _opened(self, run: StreamRun) -> StreamOutcome:
        outgoing = self._request.outgoing(
            max(self._request.deadline - self._clock.monotonic(), MIN_SEND_S),
            may_reuse_connection=self._route.is_resumable,
            resume_after=self._last_number,
        )
        try:
            async with within_run(run.target), asyncio.timeout(self._left_s()):
                return await run.open(self._client, outgoing)
        except TimeoutError:
            return Lost(LossReason.TIMEOUT)
        except RunEndedError:
            return Lost(LossReason.ENDPOINT_RESTARTED)

    def _may_go_on(self) -> bool:
        return self._route.is_resumable and self._count < self._route.max_attempts

    def _left_s(self) -> float:
        return max(self._deadline - self._clock.monotonic(), 0.0)

    async def _close(self) -> None:
        run, self._run = self._run, None
        if run is not None:
            await run.close()

    def _given_up(self) -> Reply:
        self._crashes.tell(self._content)
        reply = self._unanswered() if self._count else self._not_run()
        _log.warning(
            "relay: stream given up",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            reason=reply.reason.value,
            runs=self._count,
            refusals=self._refusals,
            left_s=round(self._left_s(), 3),
        )
        return reply

    def _unanswered(self) -> Unanswered:
        return Unanswered(
            RejectReason.ENDPOINT_FAILED, is_timeout=self._left_s() < MIN_SEND_S
        )

    def _not_run(self) -> NotRun:
        refusal = refusal_of(self._crashes.verdict(self._content))
        if refusal is not None:
            return refusal
        reason = RejectReason.FULL if self._refusals else RejectReason.NO_ENDPOINT
        return NotRun(reason, RETRY_AFTER_S)

"""Forwarding of requests that are answered with a stream of events."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
import structlog

from bankrudder.crashes import Admission, AdmissionDecision, CrashGuard, Send
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
    StreamOverrunError,
    TrackedEndpoint,
    follows,
    within_run,
)
from bankrudder.relay._limits import (
    MAX_REFUSALS,
    MIN_SEND_S,
    RETRY_AFTER_S,
    SUSPECT_PAUSE_S,
    route_deadline,
)
from bankrudder.relay._metering import NoMeter, RunMeter
from bankrudder.relay._outcomes import crash_refusal
from bankrudder.relay._stream_attempt import StreamAttempt, StreamStarted
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

EVENT_GAP_TIMEOUT_S = 1.5
"""Longest wait for the next event of a stream that may be resumed at another endpoint:
below the two seconds after which callers give up at the earliest."""

_log = structlog.get_logger("relay")


class StreamForwarder:
    """Forwards streaming requests and resumes broken streams at other endpoints.

    Only streams of routes that allow it are resumed.
    """

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
        """Return the stream of an endpoint, or the reply if there is none."""
        attempts = _StreamAttempts(
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
            outcome = await attempts.open_first()
        except asyncio.CancelledError:
            # The caller disconnected: the slot at the endpoint must be released.
            await attempts.finish()
            raise
        if not isinstance(outcome, OpenedStream):
            return outcome
        return StreamStarted(
            outcome.status, outcome.headers, outcome.version, attempts.events(outcome)
        )


class _StreamAttempts:
    """The attempts of one streaming request, one at a time."""

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
        # The route's timeout applies to the first event; a stream may last longer.
        self._deadline = route_deadline(request, route)
        self._tried: list[EndpointId] = []
        self._run_count = 0
        self._refusal_count = 0
        self._last_event_number = request.resume_after
        self._attempt: StreamAttempt | None = None
        self._is_answered = False

    async def open_first(self) -> OpenedStream | Reply:
        """Open the stream, or return the final reply if that fails."""
        while True:
            outcome = await self._open_next()
            match outcome:
                case OpenedStream():
                    return outcome
                case Answered() if outcome.status < 500 or not self._may_resume():
                    await self._close()
                    return Relayed(
                        outcome.status,
                        outcome.headers,
                        outcome.body,
                        outcome.proof,
                        held=outcome.held,
                    )
                case None:
                    return self._give_up()
                case Lost() if not self._may_resume():
                    await self._close()
                    return self._give_up()
            await self._close()

    async def events(self, opened: OpenedStream) -> AsyncIterator[StreamEvent]:
        """Yield the events as they arrive, across resumed attempts."""
        try:
            while True:
                try:
                    async for event in self._events_with_timeout(opened, self._attempt):
                        self._check_order(event)
                        self._last_event_number = event.number
                        self._note_begun()
                        self._deadline = self._request.deadline
                        yield event
                    self._is_answered = True
                    self._crashes.note_answer(self._content)
                    return
                except StreamOverrunError:
                    # The caller may have events that are part of no answer.
                    if self._attempt is not None:
                        self._attempt.send.target.note_failure(self._clock.monotonic())
                    raise
                except StreamBrokenError as error:
                    await self._note_lost(LossReason.BROKEN_OFF)
                    opened = await self._resume(str(error))
                except TimeoutError:
                    opened = await self._resume("no event in time")
        finally:
            await self.finish()

    def _check_order(self, event: StreamEvent) -> None:
        last_number = self._last_event_number
        if self._route.is_resumable:
            is_due = follows(event.number, last_number)
        else:
            # Numbers of streams that are never resumed only have to increase.
            is_due = event.number > last_number
        if not is_due:
            raise StreamBrokenError(
                f"event {event.number} arrived after event {last_number}"
            )

    def _note_begun(self) -> None:
        """Count the request as running, once, at its first event."""
        if not self._has_begun:
            self._has_begun = True
            self._meter.note_begun(self._request.workspace, self._clock.monotonic())

    async def finish(self) -> None:
        """Close the open attempt, if any, and report the request to the crash guard."""
        self._crashes.share_strikes(self._content)
        if self._attempt is not None and not self._is_answered:
            self._crashes.note_abandoned(self._lost_send(self._attempt))
        await self._close()

    async def _resume(self, reason: str) -> OpenedStream:
        _log.info(
            "relay: stream broken off",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            endpoint=self._attempt.target.endpoint.id if self._attempt else "",
            last_event=self._last_event_number,
            reason=reason,
            is_resumable=self._route.is_resumable,
        )
        while self._may_resume():
            await self._close()
            outcome = await self._open_next()
            if isinstance(outcome, OpenedStream):
                return outcome
            if outcome is None:
                break
        raise StreamBrokenError(reason)

    async def _events_with_timeout(
        self, opened: OpenedStream, attempt: StreamAttempt | None
    ) -> AsyncIterator[StreamEvent]:
        assert attempt is not None  # It is closed only after its events were read.
        while True:
            left_s = self._left_s()
            limit_s = min(EVENT_GAP_TIMEOUT_S, left_s) if self._may_resume() else left_s
            try:
                async with within_run(attempt.target), asyncio.timeout(limit_s):
                    event = await anext(opened.events)
            except StopAsyncIteration:
                return
            except RunEndedError:
                raise StreamBrokenError("the endpoint restarted") from None
            yield event

    async def _open_next(self) -> StreamOutcome | None:
        """Open a stream at the next endpoint.

        Returns None if no endpoint is left or allowed, or if too little time remains.
        """
        if (
            self._refusal_count >= MAX_REFUSALS
            or self._admission() is Admission.REFUSED
        ):
            return None
        target = await self._choose()
        if target is None or self._left_s() < MIN_SEND_S:
            return None
        self._tried.append(target.endpoint.id)
        first_event = self._last_event_number + 1
        send = Send(
            self._content,
            target,
            self._clock.monotonic(),
            first_event=first_event,
            next_event=first_event,
            policy=self._request.policy,
        )
        self._attempt = StreamAttempt(send, self._admission() is Admission.ALONE)
        outcome = await self._open_attempt(self._attempt)
        match outcome:
            case Refused(reason=reason):
                self._refusal_count += 1
                if reason is not RefusalReason.FULL:
                    target.note_failure(self._clock.monotonic())
            case Lost(reason=lost):
                self._run_count += 1
                target.note_failure(self._clock.monotonic())
                await self._note_lost(lost)
            case Answered(status=status):
                self._run_count += 1
                if status < 500:
                    self._crashes.note_answer(self._content)
            case _:
                self._run_count += 1
        return outcome

    async def _note_lost(self, reason: LossReason) -> None:
        if self._attempt is not None:
            await self._crashes.note_lost(self._lost_send(self._attempt), reason)

    def _lost_send(self, attempt: StreamAttempt) -> Send:
        next_event = self._last_event_number + 1
        return msgspec.structs.replace(attempt.send, next_event=next_event)

    async def _choose(self) -> TrackedEndpoint | None:
        """Return the next endpoint.

        A request during which endpoints crashed waits for an endpoint that works on no
        other such request.
        """
        allowed_data_centres = self._route.data_centres
        while True:
            is_suspect = self._admission() is Admission.ALONE
            target = self._directory.choose(
                self._service, self._tried, allowed_data_centres, is_suspect
            )
            endpoints = self._directory.of_service(self._service, allowed_data_centres)
            if target is not None or not any(each.suspects for each in endpoints):
                return target
            if self._left_s() < MIN_SEND_S:
                return None
            await asyncio.sleep(SUSPECT_PAUSE_S)

    def _admission(self) -> Admission:
        return self._decision().admission

    def _decision(self) -> AdmissionDecision:
        return self._crashes.decision(self._content, self._request.policy)

    async def _open_attempt(self, attempt: StreamAttempt) -> StreamOutcome:
        outgoing = self._request.outgoing(
            max(self._request.deadline - self._clock.monotonic(), MIN_SEND_S),
            may_reuse_connection=self._route.is_resumable,
            resume_after=self._last_event_number,
        )
        try:
            async with within_run(attempt.target), asyncio.timeout(self._left_s()):
                return await attempt.open(self._client, outgoing)
        except TimeoutError:
            return Lost(LossReason.TIMEOUT)
        except RunEndedError:
            return Lost(LossReason.ENDPOINT_RESTARTED)

    def _may_resume(self) -> bool:
        return self._route.is_resumable and self._run_count < self._route.max_attempts

    def _left_s(self) -> float:
        return max(self._deadline - self._clock.monotonic(), 0.0)

    async def _close(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            await attempt.close()

    def _give_up(self) -> Reply:
        self._crashes.share_strikes(self._content)
        reply = self._unanswered() if self._run_count else self._not_run()
        _log.warning(
            "relay: stream given up",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            reason=reply.reason.value,
            runs=self._run_count,
            refusals=self._refusal_count,
            left_s=round(self._left_s(), 3),
        )
        return reply

    def _unanswered(self) -> Unanswered:
        return Unanswered(
            RejectReason.ENDPOINT_FAILED, is_timeout=self._left_s() < MIN_SEND_S
        )

    def _not_run(self) -> NotRun:
        refusal = crash_refusal(self._decision())
        if refusal is not None:
            return refusal
        reason = RejectReason.FULL if self._refusal_count else RejectReason.NO_ENDPOINT
        return NotRun(reason, RETRY_AFTER_S)

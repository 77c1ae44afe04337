"""The sends of one request: which endpoint next, when, and what to make of each."""

import asyncio
from datetime import timedelta
from functools import cached_property

import structlog

from bankrudder.crashes import Admission, ContentId, CrashGuard, Send, Verdict
from bankrudder.fleet import (
    Answered,
    EndpointClient,
    EndpointDirectory,
    EndpointId,
    LossReason,
    Lost,
    OutgoingRequest,
    Refused,
    RunEndedError,
    SendOutcome,
    TrackedEndpoint,
    within_run,
)
from bankrudder.observe import Tracer
from bankrudder.relay._hedging import hedge_after
from bankrudder.relay._metering import RunMeter
from bankrudder.relay._outcomes import describe, note_outcome, refusal_of
from bankrudder.relay._values import (
    IncomingRequest,
    NotRun,
    RejectReason,
    Relayed,
    Reply,
    Unanswered,
)
from bankrudder.routing import Route, RouteKind, ServiceName
from bankrudder.world import Clock

ANSWER_MARGIN_S = 0.03
"""Time kept for sending the reply, so that it arrives before the deadline."""

MIN_SEND_S = 0.02
"""A request with less time left than this is not sent any more."""

SUSPECT_PAUSE_S = 0.02
"""Pause of a request under which endpoints ended while another such request is at each
endpoint that is left: a part of a usual answer."""

MAX_REFUSALS = 6
"""Endpoints that may refuse one request before it is given up."""

FULL_PAUSE_S = 0.04
"""Pause once all endpoints were full: about a usual answer, after which one of them
has a slot. Without it a request is refused within some milliseconds."""

RETRY_AFTER_S = 0.25
"""When to come back after a refusal: a few times the usual answer, in which a
full endpoint finishes what it runs."""

_log = structlog.get_logger("relay")


class Attempts:
    """All sends of one request.

    An idempotent request may be sent to a second endpoint while the first has not
    answered, and again after a failure, to no more endpoints than its route allows. Any
    other one is sent again only while it surely did not run. One under which endpoints
    end is sent as far as `CrashGuard` allows, whatever its route allows.
    """

    def __init__(
        self,
        request: IncomingRequest,
        route: Route,
        service: ServiceName,
        directory: EndpointDirectory,
        client: EndpointClient,
        crashes: CrashGuard,
        clock: Clock,
        tracer: Tracer,
        meter: RunMeter,
    ):
        self._tracer = tracer
        self._meter = meter
        self._began_at: float | None = None
        self._crashes = crashes
        self._request = request
        self._route = route
        self._service = service
        self._directory = directory
        self._client = client
        self._clock = clock
        self._deadline = route_deadline(request, route)
        self._sends: dict[asyncio.Task[SendOutcome], Send] = {}
        self._tried: list[EndpointId] = []
        self._runs = 0
        self._refusals = 0
        self._failed_answers = 0
        self._is_answered = False
        self._last_answer: tuple[Answered, TrackedEndpoint] | None = None

    @cached_property
    def _content(self) -> ContentId:
        return self._request.content

    async def reply(self) -> Reply:
        """Send until there is an answer, or none can come any more."""
        try:
            while True:
                self._send_next()
                if not self._sends:
                    if not self._must_wait():
                        return self._give_up()
                    await asyncio.sleep(SUSPECT_PAUSE_S)
                    continue
                done = await self._next_outcome()
                if done is not None:
                    reply = await self._take(*done)
                    if reply is not None:
                        return reply
                elif self._left_s() <= 0:
                    self._runs += len(self._sends)
                    return self._give_up()
        finally:
            self._crashes.tell(self._content)
            self._cancel()
            if self._began_at is not None:
                self._meter.note_begun(self._request.workspace, self._began_at)

    def _cancel(self) -> None:
        """Break off all sends; their endpoints see the connections close."""
        for task, send in self._sends.items():
            task.cancel()
            if not self._is_answered:
                self._note_begun(send)
                self._crashes.note_left(send)

    def _note_begun(self, send: Send) -> None:
        """Note when the request began to run, or may have: at the first such send."""
        if self._began_at is None:
            self._began_at = send.began

    def _send_next(self) -> None:
        if not self._may_send():
            return
        is_suspect = self._is_suspect()
        target = self._directory.choose(
            self._service, self._tried, self._route.data_centres, is_suspect
        )
        if target is None:
            return
        self._tried.append(target.endpoint.id)
        leave = target.occupy(is_suspect)
        task = asyncio.ensure_future(self._send(target))
        task.add_done_callback(lambda _: leave())
        self._sends[task] = Send(self._content, target, self._clock.monotonic())

    def _may_send(self) -> bool:
        sent = self._runs + len(self._sends)
        return (
            self._left_s() >= MIN_SEND_S
            and self._refusals < MAX_REFUSALS
            and sent < self._route.max_attempts
            and (sent == 0 or self._may_repeat())
            and self._is_admitted()
        )

    def _is_admitted(self) -> bool:
        match self._verdict().admission:
            case Admission.FREE:
                return True
            case Admission.ALONE:
                return not self._sends
            case Admission.REFUSED:
                return False

    def _is_suspect(self) -> bool:
        return self._verdict().admission is Admission.ALONE

    def _must_wait(self) -> bool:
        """Whether only other suspects keep the request from all endpoints."""
        return (
            self._is_suspect()
            and self._may_send()
            and any(each.suspects for each in self._endpoints())
        )

    def _verdict(self) -> Verdict:
        return self._crashes.verdict(self._content)

    async def _send(self, target: TrackedEndpoint) -> SendOutcome:
        began = self._clock.monotonic()
        outgoing = self._request.outgoing(
            self._left_s(), may_reuse_connection=self._may_repeat()
        )
        span = self._tracer.span(
            "relay.attempt",
            self._request.trace,
            request=self._request.request_id,
            endpoint=target.endpoint.id,
        )
        with span:
            outcome = await self._sent(target, outgoing)
            span.set(outcome=describe(outcome))
        note_outcome(target, outcome, began, self._clock.monotonic())
        return outcome

    async def _sent(
        self, target: TrackedEndpoint, outgoing: OutgoingRequest
    ) -> SendOutcome:
        try:
            async with within_run(target):
                return await self._client.send(target.endpoint, outgoing)
        except RunEndedError:
            return Lost(LossReason.ENDPOINT_RESTARTED)

    async def _next_outcome(self) -> tuple[SendOutcome, Send] | None:
        """Wait for a send to end; None when it is time for another one, or too late."""
        wait_s = self._left_s()
        if self._may_send():
            wait_s = min(wait_s, self._hedge_s())
        done, _ = await asyncio.wait(
            self._sends, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            return None
        # An answer goes before a failure that came in the same moment.
        task = min(done, key=lambda each: not isinstance(each.result(), Answered))
        return task.result(), self._sends.pop(task)

    def _hedge_s(self) -> float:
        usual_s = self._directory.usual_latency_s(self._service)
        usual = None if usual_s is None else timedelta(seconds=usual_s)
        target = timedelta(seconds=self._route.target_latency_s)
        return hedge_after(target, usual).total_seconds()

    async def _take(self, outcome: SendOutcome, send: Send) -> Relayed | None:
        """Return the reply if the outcome is final."""
        target = send.target
        match outcome:
            case Answered() if outcome.status < 500:
                self._is_answered = True
                self._note_begun(send)
                self._crashes.note_answer(self._content)
                self._log_answer(outcome, target)
                return self._relayed(outcome, target)
            case Answered():
                self._runs += 1
                self._note_begun(send)
                self._failed_answers += 1
                self._last_answer = (outcome, target)
            case Refused():
                self._refusals += 1
            case Lost():
                self._runs += 1
                self._note_begun(send)
                await self._crashes.note_lost(send, outcome.reason)
        _log.info(
            "relay: attempt failed",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            endpoint=target.endpoint.id,
            outcome=describe(outcome),
            runs=self._runs,
            refusals=self._refusals,
            others=target.in_flight,
        )
        if isinstance(outcome, Answered) and not self._may_repeat():
            return self._relayed(outcome, target)
        if isinstance(outcome, Refused) and self._were_all_tried():
            await asyncio.sleep(min(FULL_PAUSE_S, self._left_s()))
        return None

    def _were_all_tried(self) -> bool:
        return all(each.endpoint.id in self._tried for each in self._endpoints())

    def _endpoints(self) -> list[TrackedEndpoint]:
        return self._directory.of_service(self._service, self._route.data_centres)

    def _give_up(self) -> Reply:
        if self._last_answer is not None:
            return self._relayed(*self._last_answer)
        reply = self._unanswered() if self._runs else self._not_run()
        _log.warning(
            "relay: request given up",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            service=self._service,
            reason=reply.reason.value,
            runs=self._runs,
            left_s=round(self._left_s(), 3),
        )
        return reply

    def _unanswered(self) -> Unanswered:
        if self._left_s() < MIN_SEND_S:
            return Unanswered(RejectReason.OUT_OF_TIME, True)
        return Unanswered(RejectReason.ENDPOINT_FAILED, False)

    def _not_run(self) -> NotRun:
        refusal = refusal_of(self._verdict())
        if refusal is not None:
            return refusal
        reason = RejectReason.FULL if self._endpoints() else RejectReason.NO_ENDPOINT
        return NotRun(reason, RETRY_AFTER_S)

    def _relayed(self, answer: Answered, target: TrackedEndpoint) -> Relayed:
        return Relayed(
            answer.status,
            answer.headers,
            answer.body,
            answer.proof,
            self._failed_answers,
            target.endpoint.id,
        )

    def _log_answer(self, answer: Answered, target: TrackedEndpoint) -> None:
        _log.info(
            "relay: answered",
            request=self._request.request_id,
            workspace=self._request.workspace,
            endpoint=target.endpoint.id,
            status=answer.status,
            attempts=len(self._tried),
            left_s=round(self._left_s(), 3),
        )

    def _may_repeat(self) -> bool:
        return self._route.kind is RouteKind.IDEMPOTENT

    def _left_s(self) -> float:
        return max(self._deadline - self._clock.monotonic(), 0.0)


def route_deadline(request: IncomingRequest, route: Route) -> float:
    """Return the time by which the caller must have a first answer."""
    deadline = min(request.deadline, request.received_at + route.timeout_s)
    return deadline - ANSWER_MARGIN_S

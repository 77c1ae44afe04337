"""The attempts of one request: endpoint selection, timing and outcome handling."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import cached_property

import structlog

from bankrudder.crashes import (
    CRASH_LIMIT,
    Admission,
    AdmissionDecision,
    ContentId,
    CrashGuard,
    RefusalPolicy,
    Send,
)
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
from bankrudder.overload import Turn
from bankrudder.relay._hedging import hedge_delay
from bankrudder.relay._limits import (
    ALL_FULL_PAUSE_S,
    MAX_REFUSALS,
    MAX_SUSPECT_WAIT_S,
    MIN_SEND_S,
    RETRY_AFTER_S,
    SUSPECT_PAUSE_S,
    route_deadline,
)
from bankrudder.relay._metering import RunMeter
from bankrudder.relay._outcomes import crash_refusal, describe, note_outcome
from bankrudder.relay._values import (
    IncomingRequest,
    NotRun,
    RejectReason,
    Relayed,
    Reply,
    Unanswered,
)
from bankrudder.relay._waiting import first_done
from bankrudder.routing import Route, RouteKind, ServiceName
from bankrudder.world import Clock, request_mark

_log = structlog.get_logger("relay")


class Attempts:
    """All attempts to get one request answered.

    An idempotent request may be sent to a second endpoint while the first has not
    answered, and sent again after a failure, to at most as many endpoints as its route
    allows. Any other request is sent again only if it certainly did not run. A request
    during which endpoints crash is further limited by `CrashGuard`. Where overload is
    limited, a request that did not run yet waits for its turn, and repeats and hedges
    have a budget.

    Parameters
    ----------
    refusal : callable
        Returns why a request that did not run yet may not be sent now, None if it may.
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
        turn: Turn,
        refusal: Callable[[], NotRun | None] = lambda: None,
    ):
        self._turn = turn
        self._refusal = refusal
        self._blocked_since: float | None = None
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
        self._run_count = 0
        self._refusal_count = 0
        self._failed_answer_count = 0
        self._is_answered = False
        self._last_error_answer: tuple[Answered, TrackedEndpoint] | None = None

    @cached_property
    def _content(self) -> ContentId:
        return self._request.content

    async def reply(self) -> Reply:
        """Send the request until it is answered or no further attempt is allowed."""
        try:
            while True:
                if self._must_take_turn():
                    rejection = await self._turn.wait()
                    if rejection is not None:
                        return NotRun(RejectReason.OVERLOADED, rejection.retry_after_s)
                    if (refusal := self._refusal()) is not None:
                        return refusal
                self._send_next()
                if not self._sends:
                    if not self._must_wait_for_suspects():
                        return self._give_up()
                    self._note_blocked()
                    await asyncio.sleep(SUSPECT_PAUSE_S)
                    continue
                done = await self._next_outcome()
                if done is not None:
                    reply = await self._handle_outcome(*done)
                    if reply is not None:
                        return reply
                elif self._left_s() <= 0:
                    self._run_count += len(self._sends)
                    return self._give_up()
        finally:
            self._crashes.share_strikes(self._content)
            self._cancel()
            self._turn.close()
            if self._began_at is not None:
                self._meter.note_begun(self._request.workspace, self._began_at)

    def _cancel(self) -> None:
        """Cancel all pending attempts, which closes their connections."""
        for task, send in self._sends.items():
            task.cancel()
            if not self._is_answered:
                self._note_begun(send)
                self._crashes.note_abandoned(send)
        # A cancelled task refers to its frames, and they to this object and the body of
        # the request. The cycle would keep all of them in memory for a while.
        self._sends.clear()

    def _note_begun(self, send: Send) -> None:
        """Record the start of the first attempt that ran or may have run."""
        if self._began_at is None:
            self._began_at = send.sent_at

    def _send_next(self) -> None:
        if not self._may_send():
            return
        is_suspect = self._is_suspect()
        target = self._directory.choose(
            self._service,
            self._tried,
            self._route.data_centres,
            is_suspect and not self._may_share(),
        )
        if target is None:
            return
        self._tried.append(target.endpoint.id)
        self._turn.note_sent(is_repeat=self._sent_count > 0)
        release = target.occupy(is_suspect)
        task = asyncio.ensure_future(self._send(target))
        task.add_done_callback(lambda _: release())
        now = self._clock.monotonic()
        request = self._request
        self._sends[task] = Send(
            self._content,
            target,
            now,
            request_mark(request.request_id),
            policy=request.policy,
        )

    def _must_take_turn(self) -> bool:
        is_refused = self._decision().admission is Admission.REFUSED
        did_run = self._sent_count > 0
        return not (did_run or is_refused or self._refusal_count >= MAX_REFUSALS)

    def _may_send(self) -> bool:
        return self._is_sendable() and (not self._sent_count or self._turn.may_repeat())

    def _is_sendable(self) -> bool:
        """Whether it may be sent, now or once repeats are in the budget again."""
        return (
            self._left_s() >= MIN_SEND_S
            and self._refusal_count < MAX_REFUSALS
            and self._sent_count < self._route.max_attempts
            and (not self._sent_count or self._is_idempotent())
            and self._is_admitted()
        )

    @property
    def _sent_count(self) -> int:
        """Number of sends that ran, may have run or may run."""
        return self._run_count + len(self._sends)

    def _is_admitted(self) -> bool:
        match self._decision():
            case AdmissionDecision(Admission.FREE, strikes=0):
                return True
            case AdmissionDecision(Admission.FREE, strikes=strikes):
                # Each pending attempt may crash its endpoint as well.
                return strikes + len(self._sends) < CRASH_LIMIT
            case AdmissionDecision(Admission.ALONE):
                return not self._sends
            case _:
                return False

    def _is_suspect(self) -> bool:
        return self._decision().admission is Admission.ALONE

    def _note_blocked(self) -> None:
        """Record that each endpoint works on another suspect."""
        if self._blocked_since is None:
            self._blocked_since = self._clock.monotonic()

    def _may_share(self) -> bool:
        """Whether it may go to an endpoint that works on another suspect."""
        return (
            self._request.policy is RefusalPolicy.BRIEF
            and self._blocked_since is not None
            and self._clock.monotonic() - self._blocked_since >= MAX_SUSPECT_WAIT_S
        )

    def _must_wait_for_suspects(self) -> bool:
        """Whether the request can be sent only once another suspect has finished."""
        return (
            self._is_suspect()
            and self._may_send()
            and any(each.suspects for each in self._endpoints())
        )

    def _decision(self) -> AdmissionDecision:
        return self._crashes.decision(self._content, self._request.policy)

    async def _send(self, target: TrackedEndpoint) -> SendOutcome:
        sent_at = self._clock.monotonic()
        outgoing = self._request.outgoing(
            self._left_s(), may_reuse_connection=self._is_idempotent()
        )
        span = self._tracer.span(
            "relay.attempt",
            self._request.trace,
            request=self._request.request_id,
            endpoint=target.endpoint.id,
        )
        with span:
            outcome = await self._send_within_run(target, outgoing)
            span.set(outcome=describe(outcome))
        now = self._clock.monotonic()
        note_outcome(target, outcome, sent_at, now)
        self._turn.note_outcome(target.endpoint.id, outcome, now - sent_at)
        return outcome

    async def _send_within_run(
        self, target: TrackedEndpoint, outgoing: OutgoingRequest
    ) -> SendOutcome:
        try:
            async with within_run(target):
                return await self._client.send(target.endpoint, outgoing)
        except RunEndedError:
            return Lost(LossReason.ENDPOINT_RESTARTED)

    async def _next_outcome(self) -> tuple[SendOutcome, Send] | None:
        """Wait for an attempt to end.

        Returns None at the time for a hedged attempt and at the deadline.
        """
        wait_s = self._left_s()
        if self._is_sendable():
            wait_s = min(wait_s, self._hedge_delay_s())
        done = await first_done(self._sends, wait_s, self._clock)
        if not done:
            return None
        # An answer takes precedence over a failure that arrived at the same time.
        task = min(done, key=lambda each: not isinstance(each.result(), Answered))
        return task.result(), self._sends.pop(task)

    def _hedge_delay_s(self) -> float:
        mean_s = self._directory.mean_latency_s(self._service)
        mean_latency = None if mean_s is None else timedelta(seconds=mean_s)
        target = timedelta(seconds=self._route.target_latency_s)
        return hedge_delay(target, mean_latency).total_seconds()

    async def _handle_outcome(self, outcome: SendOutcome, send: Send) -> Relayed | None:
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
                self._run_count += 1
                self._note_begun(send)
                self._failed_answer_count += 1
                self._last_error_answer = (outcome, target)
            case Refused():
                self._refusal_count += 1
            case Lost():
                self._run_count += 1
                self._note_begun(send)
                await self._crashes.note_lost(send, outcome.reason)
        _log.info(
            "relay: attempt failed",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            endpoint=target.endpoint.id,
            outcome=describe(outcome),
            runs=self._run_count,
            refusals=self._refusal_count,
            others=target.in_flight,
        )
        if isinstance(outcome, Answered) and not self._is_idempotent():
            return self._relayed(outcome, target)
        if isinstance(outcome, Refused) and self._must_pause():
            await asyncio.sleep(min(ALL_FULL_PAUSE_S, self._left_s()))
        return None

    def _must_pause(self) -> bool:
        """Whether all endpoints were tried and nothing else delays the next send."""
        return not self._turn.is_limited and all(
            each.endpoint.id in self._tried for each in self._endpoints()
        )

    def _endpoints(self) -> list[TrackedEndpoint]:
        return self._directory.of_service(self._service, self._route.data_centres)

    def _give_up(self) -> Reply:
        if self._last_error_answer is not None:
            return self._relayed(*self._last_error_answer)
        reply = self._unanswered() if self._run_count else self._not_run()
        _log.warning(
            "relay: request given up",
            request=self._request.request_id,
            workspace=self._request.workspace,
            content=self._content,
            service=self._service,
            reason=reply.reason.value,
            runs=self._run_count,
            left_s=round(self._left_s(), 3),
        )
        return reply

    def _unanswered(self) -> Unanswered:
        if self._left_s() < MIN_SEND_S:
            return Unanswered(RejectReason.OUT_OF_TIME, True)
        return Unanswered(RejectReason.ENDPOINT_FAILED, False)

    def _not_run(self) -> NotRun:
        refusal = crash_refusal(self._decision())
        if refusal is not None:
            return refusal
        if not self._endpoints():
            return NotRun(RejectReason.NO_ENDPOINT, RETRY_AFTER_S)
        return NotRun(RejectReason.FULL, self._turn.retry_after_s(RETRY_AFTER_S))

    def _relayed(self, answer: Answered, target: TrackedEndpoint) -> Relayed:
        return Relayed(
            answer.status,
            answer.headers,
            answer.body,
            answer.proof,
            self._failed_answer_count,
            target.endpoint.id,
            answer.held,
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

    def _is_idempotent(self) -> bool:
        return self._route.kind is RouteKind.IDEMPOTENT

    def _left_s(self) -> float:
        return max(self._deadline - self._clock.monotonic(), 0.0)

"""Forwarding of one request to endpoints, with retries where they are allowed."""

import asyncio
import random
from collections.abc import Sequence

import structlog

from bankrudder.fleet import (
    Answered,
    EndpointClient,
    EndpointDirectory,
    EndpointId,
    Lost,
    OutgoingRequest,
    RefusalReason,
    Refused,
    SendOutcome,
    TrackedEndpoint,
)
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

HEDGE_FACTOR = 0.5
"""Share of a route's target after which an idempotent request goes to a second
endpoint as well: early enough for a whole answer within the target."""

MIN_HEDGE_S = 0.06
"""Shortest such time: three times the usual answer of a quick service."""

ANSWER_MARGIN_S = 0.03
"""Time kept for sending the reply, so that it arrives before the deadline."""

MIN_SEND_S = 0.02
"""A request with less time left than this is not sent any more."""

MAX_REFUSALS = 6
"""Endpoints that may refuse one request before it is given up."""

FULL_PAUSE_S = 0.04
"""Pause once all endpoints were full: about a usual answer, after which one of them
has a slot. Without it a request is refused within some milliseconds."""

RETRY_AFTER_S = 0.25
"""When to come back after a refusal: a few times the usual answer, in which a
full endpoint finishes what it runs."""

_log = structlog.get_logger("relay")


class _Race:
    """The sends of one request that are still in progress."""

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[SendOutcome], TrackedEndpoint] = {}

    def cancel(self) -> None:
        """Break off all sends; their endpoints see the connection close."""
        for task in self.tasks:
            task.cancel()


class Forwarder:
    """Sends requests to the endpoints of their route."""

    def __init__(
        self,
        directory: EndpointDirectory,
        client: EndpointClient,
        clock: Clock,
        rng: random.Random | None = None,
    ):
        self._directory = directory
        self._client = client
        self._clock = clock
        self._rng = rng or random.Random()

    def pick_service(self, route: Route) -> ServiceName:
        """Draw a service by the route's weights."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        weights = [max(each.weight, 0.0) for each in services]
        if not any(weights):
            return services[0].service
        return self._rng.choices(services, weights)[0].service

    async def forward(self, request: IncomingRequest, route: Route) -> Reply:
        """Return an endpoint's answer, or why there is none."""
        deadline = min(request.deadline, request.received_at + route.timeout_s)
        service = self.pick_service(route)
        race = _Race()
        try:
            return await self._run(request, route, service, deadline, race)
        finally:
            race.cancel()

    async def _run(
        self,
        request: IncomingRequest,
        route: Route,
        service: ServiceName,
        deadline: float,
        race: _Race,
    ) -> Reply:
        tried: list[EndpointId] = []
        refusals = 0
        runs = 0
        failed = 0
        last: Answered | None = None
        deadline -= ANSWER_MARGIN_S
        while True:
            left_s = deadline - self._clock.monotonic()
            may_send = (
                left_s >= MIN_SEND_S
                and runs + len(race.tasks) < route.max_attempts
                and refusals < MAX_REFUSALS
                and (runs + len(race.tasks) == 0 or _may_repeat(route))
            )
            if may_send and (target := self._directory.choose(service, tried)):
                tried.append(target.endpoint.id)
                self._start(request, route, target, left_s, race)
                may_send = runs + len(race.tasks) < route.max_attempts
            if not race.tasks:
                return self._give_up(request, last, failed, runs, left_s, service)
            outcome, target = await self._next(race, route, may_send, deadline)
            if outcome is None:
                if self._clock.monotonic() >= deadline:
                    return self._give_up(request, last, failed, runs + 1, 0.0, service)
                continue
            match outcome:
                case Answered() if outcome.status < 500:
                    _log.info(
                        "relay: answered",
                        request=request.request_id,
                        endpoint=target.endpoint.id if target else "",
                        status=outcome.status,
                        attempts=len(tried),
                        left_s=round(deadline - self._clock.monotonic(), 3),
                    )
                    return _relayed(outcome)
                case Answered():
                    runs += 1
                    failed += 1
                    last = outcome
                    if not _may_repeat(route):
                        return _relayed(outcome, failed)
                case Refused():
                    refusals += 1
                    if self._all_tried(service, tried):
                        await asyncio.sleep(min(FULL_PAUSE_S, max(left_s, 0.0)))
                case Lost():
                    runs += 1
            _log.info(
                "relay: attempt failed",
                request=request.request_id,
                endpoint=target.endpoint.id if target else "",
                outcome=_describe(outcome),
                runs=runs,
                refusals=refusals,
            )

    def _all_tried(self, service: ServiceName, tried: Sequence[EndpointId]) -> bool:
        endpoints = self._directory.of_service(service)
        return all(each.endpoint.id in tried for each in endpoints)

    def _start(
        self,
        request: IncomingRequest,
        route: Route,
        target: TrackedEndpoint,
        left_s: float,
        race: _Race,
    ) -> None:
        outgoing = OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            timeout_s=left_s,
            may_reuse_connection=_may_repeat(route),
        )
        task = asyncio.ensure_future(self._send(target, outgoing))
        race.tasks[task] = target

    async def _send(
        self, target: TrackedEndpoint, outgoing: OutgoingRequest
    ) -> SendOutcome:
        began = self._clock.monotonic()
        target.in_flight += 1
        try:
            outcome = await self._client.send(target.endpoint, outgoing)
        finally:
            target.in_flight -= 1
        note_outcome(target, outcome, began, self._clock.monotonic())
        return outcome

    async def _next(
        self, race: _Race, route: Route, may_send: bool, deadline: float
    ) -> tuple[SendOutcome | None, TrackedEndpoint | None]:
        """Wait for a send to end, or for the time to start another one."""
        wait_s = deadline - self._clock.monotonic()
        if may_send and _may_repeat(route):
            wait_s = min(wait_s, max(HEDGE_FACTOR * route.target_s, MIN_HEDGE_S))
        done, _ = await asyncio.wait(
            race.tasks, timeout=max(wait_s, 0.0), return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            return None, None
        # An answer goes before a failure that came in the same moment.
        task = min(done, key=lambda each: not isinstance(each.result(), Answered))
        return task.result(), race.tasks.pop(task)

    def _give_up(
        self,
        request: IncomingRequest,
        last: Answered | None,
        failed: int,
        runs: int,
        left_s: float,
        service: ServiceName,
    ) -> Reply:
        if last is not None:
            return _relayed(last, failed)
        has_endpoints = bool(self._directory.of_service(service))
        reply: Reply
        if runs:
            is_timeout = left_s < MIN_SEND_S
            reply = Unanswered(
                RejectReason.OUT_OF_TIME
                if is_timeout
                else RejectReason.ENDPOINT_FAILED,
                is_timeout,
            )
        else:
            reason = RejectReason.FULL if has_endpoints else RejectReason.NO_ENDPOINT
            reply = NotRun(reason, RETRY_AFTER_S)
        _log.warning(
            "relay: request given up",
            request=request.request_id,
            service=service,
            reason=reply.reason.value,
            runs=runs,
            left_s=round(left_s, 3),
        )
        return reply


def note_outcome(
    target: TrackedEndpoint, outcome: SendOutcome, began: float, now: float
) -> None:
    """Let what became of a send count in the later choices of its endpoint."""
    match outcome:
        case Answered():
            if outcome.load is not None:
                target.note_load(outcome.load, now)
            target.note_answer(now - began)
        case Refused(reason=RefusalReason.FULL):
            if outcome.load is not None:
                target.note_load(outcome.load, now)
        case Refused(reason=RefusalReason.REJECTED):
            pass
        case _:
            seconds = target.note_failure(now)
            _log.info(
                "relay: endpoint left out",
                endpoint=target.endpoint.id,
                outcome=_describe(outcome),
                seconds=seconds,
            )


def _relayed(answer: Answered, failed: int = 0) -> Relayed:
    return Relayed(answer.status, answer.headers, answer.body, answer.proof, failed)


def _may_repeat(route: Route) -> bool:
    return route.kind is RouteKind.IDEMPOTENT


def _describe(outcome: SendOutcome) -> str:
    match outcome:
        case Answered(status=status):
            return f"status {status}"
        case Refused(reason=reason):
            return f"refused: {reason.value}"
        case Lost(reason=lost):
            return f"lost: {lost.value}"

"""The lines of this host, and the turns of its requests."""

import itertools
import math
import random

import structlog

from bankrudder.fleet import EndpointDirectory, EndpointId, SendOutcome
from bankrudder.overload._returning import FirstSends
from bankrudder.overload._service_line import LineState, ServiceLine
from bankrudder.overload._turns import Turn, TurnRequest
from bankrudder.overload._values import LineKey, Rejection, WaitingRequest
from bankrudder.routing import Route, ServiceName
from bankrudder.world import Clock

_log = structlog.get_logger("overload")


class _LimitedTurn:
    """The turn of one request in a line."""

    is_limited = True

    def __init__(
        self,
        line: ServiceLine,
        request: TurnRequest,
        waiting: WaitingRequest,
        clock: Clock,
    ):
        self._line = line
        self._request = request
        self._waiting = waiting
        self._clock = clock
        self._is_first = True
        self._is_granted = False

    async def wait(self) -> Rejection | None:
        if self._is_granted:
            return None
        rejection = await self._line.wait(self._waiting, self._is_first)
        self._is_first = False
        self._is_granted = rejection is None
        if rejection is not None:
            self._log_rejection(rejection)
        return rejection

    def may_repeat(self) -> bool:
        gate = self._line.gate
        return gate.budget.allows(gate.is_short(self._clock.monotonic()))

    def note_sent(self, *, is_repeat: bool) -> None:
        if is_repeat:
            self._line.gate.budget.spend()
        elif self._is_granted:
            self._is_granted = False
            self._line.gate.note_sent(self._line.is_queued())

    def note_outcome(
        self, endpoint: EndpointId, outcome: SendOutcome, seconds: float
    ) -> None:
        self._line.note_outcome(endpoint, outcome, seconds)

    def retry_after_s(self, default_s: float) -> float:
        gate, request = self._line.gate, self._request
        return gate.delay_s(
            self._line.room(),
            request.deadline,
            request.priority,
            self._clock.monotonic(),
        )

    def close(self) -> None:
        if self._is_granted:
            self._is_granted = False
            self._line.gate.note_not_sent()
        self._line.decide()

    def _log_rejection(self, rejection: Rejection) -> None:
        estimate = rejection.estimate
        _log.warning(
            "overload: request rejected",
            request=self._request.request_id,
            workspace=self._request.workspace,
            service=self._line.key.service,
            priority=self._request.priority,
            wait_s=_rounded(estimate.wait_s),
            service_s=_rounded(estimate.service_s),
            left_s=_rounded(estimate.left_s),
            held_s=_rounded(self._clock.monotonic() - self._request.received_at),
            waiting=rejection.waiting,
            retry_after_s=_rounded(rejection.retry_after_s),
        )


class RequestLines:
    """All lines of this host."""

    def __init__(
        self,
        directory: EndpointDirectory,
        clock: Clock,
        rng: random.Random | None = None,
    ):
        self._directory = directory
        self._clock = clock
        self._rng = rng or random.Random()
        self._lines: dict[LineKey, ServiceLine] = {}
        self._first_sends = FirstSends()
        self._numbers = itertools.count()

    def turn(self, request: TurnRequest, route: Route, service: ServiceName) -> Turn:
        """Return the turn of a request at a service; it waits for nothing yet."""
        key = LineKey(service, route.data_centres)
        line = self._lines.get(key)
        if line is None:
            line = ServiceLine(key, self._directory, self._clock, self._rng)
            self._lines[key] = line
        first_sent_at = self._first_sends.first_sent_at(
            route.name, request.workspace, request.deadline, request.received_at
        )
        waiting = WaitingRequest(
            next(self._numbers),
            request.priority,
            request.workspace,
            first_sent_at + route.target_latency_s,
            request.deadline,
        )
        return _LimitedTurn(line, request, waiting, self._clock)

    def states(self) -> list[LineState]:
        """Return the state of each line."""
        return [each.state() for each in self._lines.values()]


def _rounded(seconds: float) -> float | None:
    """Return milliseconds' precision; None if infinite, which JSON cannot express."""
    return round(seconds, 3) if math.isfinite(seconds) else None

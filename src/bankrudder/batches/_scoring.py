"""Scoring of samples by grading services.

A reward call goes through the relay as other requests do. It is repeated until an
answer carries a proof, or as many answers failed as the route allows.

Where slots are short, a reward call waits by the priority of its route at first:
callers wait for their answers now, while results of a batch are due seconds later. Once
it was refused, it goes before the callers' requests. A reward call that is not answered
loses a sample that took an engine seconds, and with it the value of a group that is
otherwise complete; a caller's request loses one answer. `MAX_SLOT_SHARE` bounds what
reward calls take.
"""

import asyncio
from collections.abc import Callable

import structlog

from bankrudder.batches._values import RewardCall
from bankrudder.crashes import RefusalPolicy
from bankrudder.fleet import EndpointDirectory
from bankrudder.relay import (
    Forwarder,
    IncomingRequest,
    NotRun,
    RejectReason,
    Relayed,
)
from bankrudder.routing import RoutingTable, ServiceName
from bankrudder.world import Clock

MAX_SLOT_SHARE = 0.5
"""Largest share of a service's slots that the reward calls of this host use; the rest
stays free for the requests of callers."""

RETRY_PAUSE_S = 0.1
"""Pause before a reward call is repeated: about twice the usual latency."""

REFUSED_PRIORITY = -1
"""Priority of a reward call that was refused: before the most urgent requests of
callers, which have priority 0."""

MAX_HOLD_S = 1.0
"""Longest pause before a call under which endpoints crashed is tried again. An answer
to the same request on any host may clear it at any time."""

_log = structlog.get_logger("batches")


class ScoreFailedError(Exception):
    """A reward call failed as often as its route allows."""


class Scorer:
    """Makes the reward calls of this host."""

    def __init__(
        self,
        forwarder: Forwarder,
        directory: EndpointDirectory,
        routes: Callable[[], RoutingTable | None],
        clock: Clock,
    ):
        self._forwarder = forwarder
        self._directory = directory
        self._routes = routes
        self._clock = clock
        self._running: dict[ServiceName, int] = {}
        self._slot_released = asyncio.Event()

    async def score(self, call: RewardCall, trace: str) -> str:
        """Return the proof in the grading service's answer.

        Raises
        ------
        ScoreFailedError
            If the call failed as often as its route allows.
        """
        failures = 0
        priority = None
        while True:
            table = self._routes()
            route = table.match(call.host, _path(call.target)) if table else None
            if route is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            service = self._forwarder.pick_service(route)
            await self._acquire_slot(service)
            try:
                now = self._clock.monotonic()
                request = IncomingRequest(
                    request_id=call.id,
                    method="POST",
                    target=call.target,
                    path=_path(call.target),
                    host=call.host,
                    headers=(),
                    body=call.body,
                    deadline=now + route.timeout_s,
                    received_at=now,
                    trace=trace,
                    priority=priority,
                    policy=RefusalPolicy.BRIEF,
                )
                reply = await self._forwarder.forward(request, route)
            finally:
                self._release_slot(service)
            match reply:
                case Relayed(status=status, proof=proof) if status < 300 and proof:
                    return proof
                case Relayed(status=status, failed_answers=failed):
                    failures += failed
                    _log.info(
                        "batches: reward call failed",
                        call=call.id,
                        status=status,
                        failures=failures,
                    )
                    if failures >= route.max_attempts:
                        raise ScoreFailedError(
                            f"{failures} reward answers failed, "
                            f"the last with status {status}"
                        )
                    await asyncio.sleep(RETRY_PAUSE_S)
                case NotRun(RejectReason.CRASHES_ENDPOINTS, retry_after_s=seconds):
                    await asyncio.sleep(min(seconds, MAX_HOLD_S))
                case NotRun(RejectReason.OVERLOADED, retry_after_s=seconds):
                    priority = REFUSED_PRIORITY
                    await asyncio.sleep(min(seconds, RETRY_PAUSE_S))
                case NotRun(RejectReason.FULL):
                    priority = REFUSED_PRIORITY
                    await asyncio.sleep(RETRY_PAUSE_S)
                case _:
                    await asyncio.sleep(RETRY_PAUSE_S)

    async def _acquire_slot(self, service: ServiceName) -> None:
        while self._running.get(service, 0) >= self._slot_limit(service):
            self._slot_released.clear()
            await self._slot_released.wait()
        self._running[service] = self._running.get(service, 0) + 1

    def _release_slot(self, service: ServiceName) -> None:
        self._running[service] -= 1
        self._slot_released.set()

    def _slot_limit(self, service: ServiceName) -> int:
        endpoints = self._directory.of_service(service)
        slots = sum(each.endpoint.slots for each in endpoints)
        return max(int(MAX_SLOT_SHARE * slots), 1)


def _path(target: str) -> str:
    return target.partition("?")[0]

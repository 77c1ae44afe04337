"""Forwarding of requests to the endpoints of their route."""

import random
from collections.abc import Callable

import structlog

from bankrudder.crashes import CrashGuard
from bankrudder.fleet import EndpointClient, EndpointDirectory
from bankrudder.observe import Tracer
from bankrudder.overload import FreeTurn, RequestLines, Turn, TurnRequest
from bankrudder.relay._attempts import Attempts
from bankrudder.relay._limits import route_deadline
from bankrudder.relay._metering import NoMeter, RunMeter
from bankrudder.relay._outcomes import crash_refusal
from bankrudder.relay._values import IncomingRequest, NotRun, Reply
from bankrudder.routing import Route, ServiceName
from bankrudder.world import Clock

_log = structlog.get_logger("relay")


class Forwarder:
    """Sends requests to the endpoints of their route.

    Parameters
    ----------
    lines : RequestLines or None
        Lines in which requests wait for their turn; None lets each be sent at once.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        client: EndpointClient,
        crashes: CrashGuard,
        clock: Clock,
        tracer: Tracer,
        rng: random.Random | None = None,
        meter: RunMeter | None = None,
        lines: RequestLines | None = None,
    ):
        self._lines = lines
        self._meter = meter or NoMeter()
        self._directory = directory
        self._client = client
        self._crashes = crashes
        self._clock = clock
        self._tracer = tracer
        self._rng = rng or random.Random()

    def pick_service(self, route: Route) -> ServiceName:
        """Choose a service at random by the route's weights."""
        services = route.services
        weights = [max(each.weight, 0.0) for each in services]
        if len(services) == 1 or not any(weights):
            return services[0].service
        return self._rng.choices(services, weights)[0].service

    def refusal(self, request: IncomingRequest) -> NotRun | None:
        """Return the refusal of a request that may go to no endpoint, else None.

        Callers of `forward` that queue requests check this before queueing one.
        """
        decision = self._crashes.decision(request.content, request.policy)
        refusal = crash_refusal(decision)
        if refusal is None:
            return None
        _log.warning(
            "relay: request refused",
            request=request.request_id,
            content=request.content,
            reason=refusal.reason.value,
            strikes=decision.strikes,
            retry_after_s=round(decision.retry_after_s, 1),
        )
        return refusal

    async def forward(
        self,
        request: IncomingRequest,
        route: Route,
        refusal: Callable[[], NotRun | None] = lambda: None,
    ) -> Reply:
        """Return an endpoint's answer, or the reason why there is none.

        Parameters
        ----------
        refusal : callable
            Called before the request is sent for the first time, or again after it
            certainly did not run. Returns why it may not be sent now, None if it may.
        """
        service = self.pick_service(route)
        attempts = Attempts(
            request,
            route,
            service,
            self._directory,
            self._client,
            self._crashes,
            self._clock,
            self._tracer,
            self._meter,
            self._turn(request, route, service),
            refusal,
        )
        return await attempts.reply()

    def _turn(
        self, request: IncomingRequest, route: Route, service: ServiceName
    ) -> Turn:
        if self._lines is None:
            return FreeTurn()
        turn_request = TurnRequest(
            request.request_id,
            request.workspace,
            route.priority if request.priority is None else request.priority,
            route_deadline(request, route),
            request.received_at,
        )
        return self._lines.turn(turn_request, route, service)

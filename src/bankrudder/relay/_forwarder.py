"""Forwarding of requests to the endpoints of their route."""

import random

from bankrudder.fleet import EndpointClient, EndpointDirectory
from bankrudder.observe import Tracer
from bankrudder.relay._attempts import Attempts
from bankrudder.relay._values import IncomingRequest, Reply
from bankrudder.routing import Route, ServiceName
from bankrudder.world import Clock


class Forwarder:
    """Sends requests to the endpoints of their route."""

    def __init__(
        self,
        directory: EndpointDirectory,
        client: EndpointClient,
        clock: Clock,
        tracer: Tracer,
        rng: random.Random | None = None,
    ):
        self._directory = directory
        self._client = client
        self._clock = clock
        self._tracer = tracer
        self._rng = rng or random.Random()

    def pick_service(self, route: Route) -> ServiceName:
        """Draw a service by the route's weights."""
        services = route.services
        weights = [max(each.weight, 0.0) for each in services]
        if len(services) == 1 or not any(weights):
            return services[0].service
        return self._rng.choices(services, weights)[0].service

    async def forward(self, request: IncomingRequest, route: Route) -> Reply:
        """Return an endpoint's answer, or why there is none."""
        attempts = Attempts(
            request,
            route,
            self.pick_service(route),
            self._directory,
            self._client,
            self._clock,
            self._tracer,
        )
        return await attempts.reply()

"""HTTP listener for the readiness checks of the platform's load balancer."""

from aiohttp import web

from bankrudder.node import Gateway
from bankrudder.platform import _names as names
from bankrudder.serving import BoundedListener, ConnectionTable
from bankrudder.world import Address, Clock

MAX_CONNECTIONS = 16
"""Largest number of connections. The load balancer needs one or two."""


class ReadinessListener(BoundedListener):
    """Answers the load balancer's readiness checks.

    The response states whether this host accepts new connections.
    """

    def __init__(self, address: Address, gateway: Gateway, clock: Clock):
        table = ConnectionTable(MAX_CONNECTIONS, clock)
        super().__init__(address, self._handle, table)
        self._gateway = gateway

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != names.READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._gateway.is_ready else 503)

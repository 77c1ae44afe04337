"""HTTP listener for the readiness checks of the platform's load balancer."""

from aiohttp import web

from bankrudder.node import Gateway
from bankrudder.platform import _names as names
from bankrudder.world import Address, host_and_port


class ReadinessListener:
    """Answers the load balancer's readiness checks.

    The response states whether this host accepts new connections.
    """

    def __init__(self, address: Address, gateway: Gateway):
        self._address = address
        self._gateway = gateway
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        host, port = host_and_port(self._address)
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != names.READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._gateway.is_ready else 503)

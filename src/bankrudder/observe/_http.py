"""HTTP server for monitoring: metrics, health, readiness and spans."""

import ssl
from collections.abc import Callable, Iterable
from typing import Self

from aiohttp import web

from bankrudder.observe._metrics import Metrics
from bankrudder.world import Address, host_and_port

SHUTDOWN_TIMEOUT_S = 1.0
"""Time that responses in progress get when the server stops."""


class MonitoringServer:
    """Serves ``/metrics``, ``/healthz``, ``/readyz`` and ``/spans/ID``.

    Parameters
    ----------
    address : Address
        ``ip:port`` to listen on; port 0 selects a free port.
    metrics : Metrics
        Metrics that ``/metrics`` returns.
    is_ready : callable
        Returns whether the node accepts calls; if not, ``/readyz`` returns 503.
    ssl_context : ssl.SSLContext, optional
        Without it, the server uses plain HTTP.
    find_spans : callable, optional
        Returns the finished spans of a trace, request, batch or sample, as JSON. By
        default there are none.
    """

    def __init__(
        self,
        address: Address,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        ssl_context: ssl.SSLContext | None = None,
        find_spans: Callable[[str], Iterable[str]] = lambda _: (),
    ):
        self._find_spans = find_spans
        self._address = address
        self._metrics = metrics
        self._is_ready = is_ready
        self._ssl_context = ssl_context
        self._runner: web.AppRunner | None = None

    @classmethod
    def from_config(
        cls,
        address: Address,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        ssl_context: ssl.SSLContext | None = None,
        find_spans: Callable[[str], Iterable[str]] = lambda _: (),
    ) -> Self:
        """Make a server that listens on `address` once it is started."""
        return cls(address, metrics, is_ready, ssl_context, find_spans)

    @property
    def address(self) -> Address:
        """Address of the server, with the port in use once it is started."""
        if self._runner is None or not self._runner.addresses:
            return self._address
        host, port = self._runner.addresses[0][:2]
        return Address(f"{host}:{port}")

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        application = web.Application()
        application.router.add_get("/metrics", self._get_metrics)
        application.router.add_get("/healthz", self._get_health)
        application.router.add_get("/readyz", self._get_readiness)
        application.router.add_get("/spans/{id}", self._get_spans)
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        host, port = host_and_port(self._address)
        site = web.TCPSite(runner, host, port, ssl_context=self._ssl_context)
        try:
            await site.start()
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner

    async def stop(self) -> None:
        """Stop listening; responses in progress get `SHUTDOWN_TIMEOUT_S` to finish."""
        runner = self._runner
        self._runner = None
        if runner is not None:
            await runner.cleanup()

    async def _get_metrics(self, _: web.Request) -> web.Response:
        body, content_type = self._metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def _get_health(self, _: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _get_spans(self, request: web.Request) -> web.Response:
        spans = self._find_spans(request.match_info["id"])
        text = "".join(f"{span}\n" for span in spans)
        return web.Response(text=text, content_type="application/x-ndjson")

    async def _get_readiness(self, _: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

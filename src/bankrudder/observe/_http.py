"""HTTP server for monitoring: metrics, health, readiness and spans."""

import ssl
from collections.abc import Callable, Iterable
from typing import Self

from aiohttp import web

from bankrudder.observe._metrics import Metrics
from bankrudder.serving import BoundedListener, ConnectionTable
from bankrudder.world import Address, Clock, SystemClock

SHUTDOWN_TIMEOUT_S = 1.0
"""Time that responses in progress get when the server stops."""

MAX_CONNECTIONS = 16
"""Largest number of connections: those of monitoring, and of people who look."""

SPANS_PATH_PREFIX = "/spans/"


class MonitoringServer(BoundedListener):
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
    clock : Clock, optional
        Clock of the time limits on connections, by default that of the host.
    """

    def __init__(
        self,
        address: Address,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        ssl_context: ssl.SSLContext | None = None,
        find_spans: Callable[[str], Iterable[str]] = lambda _: (),
        clock: Clock | None = None,
    ):
        super().__init__(
            address,
            self._handle,
            ConnectionTable(MAX_CONNECTIONS, clock or SystemClock()),
            shutdown_timeout_s=SHUTDOWN_TIMEOUT_S,
            ssl_context=ssl_context,
        )
        self._find_spans = find_spans
        self._metrics = metrics
        self._is_ready = is_ready

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

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        path = request.path
        if request.method not in ("GET", "HEAD"):
            return web.Response(status=405, headers={"Allow": "GET, HEAD"})
        match path:
            case "/metrics":
                return self._metrics_response()
            case "/healthz":
                return web.Response(text="ok\n")
            case "/readyz":
                return self._readiness_response()
        if path.startswith(SPANS_PATH_PREFIX):
            return self._spans_response(path.removeprefix(SPANS_PATH_PREFIX))
        return web.Response(status=404)

    def _metrics_response(self) -> web.Response:
        body, content_type = self._metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    def _spans_response(self, key: str) -> web.Response:
        text = "".join(f"{span}\n" for span in self._find_spans(key))
        return web.Response(text=text, content_type="application/x-ndjson")

    def _readiness_response(self) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

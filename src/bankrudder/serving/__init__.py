"""HTTP listeners that limit what their clients make a host hold."""

from bankrudder.serving._connections import (
    ConnectionState,
    ConnectionTable,
    ConnectionTimeouts,
)
from bankrudder.serving._ending import RequestEndedError, RequestsInProgress
from bankrudder.serving._kernel_buffers import limit_kernel_buffers
from bankrudder.serving._server import BoundedListener, BoundedServer

__all__ = [
    "BoundedListener",
    "BoundedServer",
    "ConnectionState",
    "ConnectionTable",
    "ConnectionTimeouts",
    "RequestEndedError",
    "RequestsInProgress",
    "limit_kernel_buffers",
]

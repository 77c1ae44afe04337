"""The gRPC server of a node."""

from typing import Self

import grpc
import grpc.aio

from bankrudder.rpc._interceptor import FailureInterceptor
from bankrudder.wire import MAX_RECEIVED_BYTES
from bankrudder.world import Address

DEFAULT_MAX_CONNECTIONS = 1024
"""Largest number of connections if no other is given."""

MAX_STREAMS = 1024
"""Largest number of requests in progress on a connection."""

HANDSHAKE_TIMEOUT_MS = 3000
"""Time within which a client has to begin after it has connected."""

WINDOW_BYTES = 64 << 10
"""Bytes that a connection may receive before a message is read."""

MAX_IDLE_MS = 30_000
"""Time after which a connection without requests is closed; its client reconnects when
it has a request."""

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_RECEIVED_BYTES),
    # Without this option, a second process could listen on the same address.
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    # The clients send keepalive pings every 10 s. By default, gRPC closes a connection
    # whose pings come more often than every 5 minutes while no data is sent.
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 5000),
    ("grpc.max_concurrent_streams", MAX_STREAMS),
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    # With the probe, windows grow to megabytes for each connection.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", WINDOW_BYTES),
    ("grpc.max_connection_idle_ms", MAX_IDLE_MS),
)


class RpcServer:
    """Listens for callers, trainers and operators.

    Parameters
    ----------
    credentials : grpc.ServerCredentials or None
        TLS credentials; None listens without TLS.
    max_connections : int
        Largest number of connections; further ones are closed at once.
    """

    def __init__(
        self,
        address: Address,
        credentials: grpc.ServerCredentials | None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ):
        self.address = address
        self._credentials = credentials
        self._interceptor = FailureInterceptor()
        limit = ("grpc.max_allowed_incoming_connections", max_connections)
        self._server = grpc.aio.server(
            interceptors=(self._interceptor,), options=(*_OPTIONS, limit)
        )

    @classmethod
    def from_config(
        cls,
        address: Address,
        credentials: grpc.ServerCredentials | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> Self:
        """Make a server; `start` opens its listener."""
        return cls(address, credentials, max_connections)

    @property
    def grpc_server(self) -> grpc.aio.Server:
        return self._server

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        RuntimeError
            If the address cannot be bound.
        """
        if self._credentials is None:
            self._server.add_insecure_port(self.address)
        else:
            self._server.add_secure_port(self.address, self._credentials)
        await self._server.start()

    def end_requests(self) -> None:
        """End the requests in progress with a failure of unknown outcome."""
        self._interceptor.end_requests()

    async def stop(self, grace_s: float) -> None:
        """Refuse new calls; wait up to `grace_s` seconds for those in progress."""
        await self._server.stop(grace_s)

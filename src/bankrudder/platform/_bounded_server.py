"""HTTP server whose requests may have only so many bytes besides their bodies.

The HTTP library limits the length of a line, the number of fields and the requests that
wait on a connection, but not the bytes that it skips: blank lines, spaces, zeros
before chunk sizes and extensions of chunks. A caller may send them without end.
"""

from typing import Any

import structlog
from aiohttp import web
from aiohttp.streams import StreamReader

from bankrudder.platform._bounded_connections import MAX_FRAMING_BYTES

_log = structlog.get_logger("front")


class BoundedServer(web.Server):
    """Server that limits the size of what is not the body of a request."""

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _BoundedRequestHandler(self, loop=self._loop, **self._kwargs)


class _BoundedRequestHandler(web.RequestHandler):
    """Counts the bytes since the last head that are not of the body."""

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self._received_bytes = 0
        self._body: StreamReader | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and close the connection if they are too many."""
        waiting_count = len(self._messages)
        self._received_bytes += len(data)
        super().data_received(data)
        if len(self._messages) > waiting_count:
            # These bytes may contain parts of the requests before.
            self._received_bytes = 0
            self._body = self._messages[-1][1]
        # While reading is paused, received bytes wait to be parsed.
        if not self._reading_paused and not self._buffer_paused:
            self._check_framing()

    def _check_framing(self) -> None:
        body_bytes = self._body.total_bytes if self._body is not None else 0
        framing_bytes = self._received_bytes - body_bytes
        max_bytes = MAX_FRAMING_BYTES + body_bytes
        if framing_bytes <= max_bytes or self.transport is None:
            return
        _log.warning(
            "front: request head or framing too long, connection closed",
            bytes=framing_bytes,
            body_bytes=body_bytes,
            max_bytes=max_bytes,
        )
        self.transport.abort()

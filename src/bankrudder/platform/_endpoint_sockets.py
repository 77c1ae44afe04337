"""Sockets to endpoints, of which only so many are open at the same time."""

import errno
import os
import socket
import weakref
from contextlib import suppress
from typing import Any

import structlog

KERNEL_BUFFER_BYTES = 16 << 10
"""Size of the kernel's receive buffer, which Linux doubles. It holds what an endpoint
sends while its answer is not read."""

_log = structlog.get_logger("endpoints")


class EndpointSockets:
    """Creates sockets to endpoints, unless too many are open.

    Parameters
    ----------
    max_open : int
        Largest number of sockets that are open at the same time.
    """

    def __init__(self, max_open: int):
        self._max_open = max_open
        self._sockets: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    @property
    def open_count(self) -> int:
        """Number of open sockets."""
        return sum(each.fileno() >= 0 for each in self._sockets)

    def create(self, address: tuple[Any, ...]) -> socket.socket:
        """Create a socket for an address, as `socket.getaddrinfo` returns it.

        Raises
        ------
        OSError
            ``EMFILE`` if too many are open.
        """
        if len(self._sockets) >= self._max_open and self.open_count >= self._max_open:
            _log.warning("endpoints: too many connections", max_open=self._max_open)
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        family, kind, protocol, *_ = address
        created = socket.socket(family, kind, protocol)
        # Some networks have buffers of a fixed size.
        with suppress(OSError):
            created.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        self._sockets.add(created)
        return created

"""Sockets to endpoints, of which only so many are open at the same time."""

import errno
import os
import socket
import weakref
from collections.abc import Callable
from typing import Any

import structlog

from bankrudder.serving import limit_kernel_buffers

SCARCE_SHARE = 0.75
"""Share of the sockets from which an idle connection is closed for each new one. Its
socket is closed a moment later."""

_log = structlog.get_logger("endpoints")


class EndpointSockets:
    """Creates sockets to endpoints, unless too many are open.

    Parameters
    ----------
    max_open : int
        Largest number of sockets that are open at the same time.
    close_idle : callable
        Closes an idle connection, if there is one.
    """

    def __init__(self, max_open: int, close_idle: Callable[[], None] = lambda: None):
        self._max_open = max_open
        self._close_idle = close_idle
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
        # The set also has sockets that were closed lately, which take time to count.
        is_scarce = len(self._sockets) >= SCARCE_SHARE * self._max_open
        open_count = self.open_count if is_scarce else 0
        if open_count >= SCARCE_SHARE * self._max_open:
            self._close_idle()
        if open_count >= self._max_open:
            _log.warning("endpoints: too many connections", max_open=self._max_open)
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        family, kind, protocol, *_ = address
        created = socket.socket(family, kind, protocol)
        limit_kernel_buffers(created)
        self._sockets.add(created)
        return created

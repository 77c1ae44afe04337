"""Acceptance of the subscribers of a reader, of which only so many are connected.

The messaging library has no limit on the connections that it accepts. They are accepted
here, and it gets those whose clients have begun as subscribers do.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

import structlog

from bankrudder.serving import limit_kernel_buffers
from bankrudder.world import Address, host_and_port

SUBSCRIBER_START = b"\x00SP\x00\x00\x21\x00\x00"
"""What a subscriber sends first: the header of the protocol and its own type."""

MAX_WAITING = 8
"""Largest number of connections that have not begun; the oldest is closed for another
one. Those of subscribers begin at once."""

UNREAD_TIMEOUT_MS = 10_000
"""Time after which a connection is closed whose client takes nothing or is gone."""

RETRY_PAUSE_S = 0.5
"""Pause after a connection could not be accepted, as there was no descriptor left."""

_log = structlog.get_logger("feeds")


class SubscriberListener:
    """Listens for subscribers, and hands over their connections.

    Parameters
    ----------
    max_subscribers : int
        Largest number of connections, whether they have begun or not.
    subscriber_count : callable
        Returns how many of the connections that were handed over are open.
    hand_over : callable
        Takes the descriptor of a subscriber's connection, which it has to close.
    """

    def __init__(
        self,
        address: Address,
        max_subscribers: int,
        subscriber_count: Callable[[], int],
        hand_over: Callable[[int], None],
    ):
        self._max_subscribers = max_subscribers
        self._subscriber_count = subscriber_count
        self._hand_over = hand_over
        self._loop = asyncio.get_running_loop()
        # In the order in which they were accepted.
        self._waiting: dict[socket.socket, None] = {}
        self._socket = _listening_socket(address)
        self._retry: asyncio.TimerHandle | None = None
        self._begin_accepting()

    def close(self) -> None:
        """Stop listening, and close the connections that were not handed over."""
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        for each in list(self._waiting):
            self._close(each)

    def _begin_accepting(self) -> None:
        self._loop.add_reader(self._socket.fileno(), self._accept)

    def _accept(self) -> None:
        """Accept one connection; the event loop calls again if there are more."""
        try:
            accepted, _ = self._socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError as error:
            _log.warning("feeds: no connection accepted", reason=str(error))
            # Without a pause the event loop would call again at once.
            self._loop.remove_reader(self._socket.fileno())
            self._retry = self._loop.call_later(RETRY_PAUSE_S, self._begin_accepting)
            return
        if not self._has_room() and not self._make_room():
            accepted.close()
            return
        accepted.setblocking(False)
        self._waiting[accepted] = None
        self._loop.add_reader(accepted.fileno(), self._check_start, accepted)

    def _has_room(self) -> bool:
        open_count = len(self._waiting) + self._subscriber_count()
        return open_count < self._max_subscribers and len(self._waiting) < MAX_WAITING

    def _make_room(self) -> bool:
        """Close the connection that has waited longest, if one waits."""
        _log.info(
            "feeds: too many connections",
            waiting=len(self._waiting),
            subscribers=self._subscriber_count(),
            max_connections=self._max_subscribers,
        )
        oldest = next(iter(self._waiting), None)
        if oldest is None:
            return False
        self._close(oldest)
        return True

    def _check_start(self, connection: socket.socket) -> None:
        """Hand over a connection whose client has begun; close any other one."""
        try:
            start = connection.recv(len(SUBSCRIBER_START), socket.MSG_PEEK)
        except OSError:
            start = b""
        if start != SUBSCRIBER_START:
            self._close(connection)
            return
        self._forget(connection)
        self._hand_over(connection.detach())

    def _close(self, connection: socket.socket) -> None:
        self._forget(connection)
        connection.close()

    def _forget(self, connection: socket.socket) -> None:
        del self._waiting[connection]
        self._loop.remove_reader(connection.fileno())


def _listening_socket(address: Address) -> socket.socket:
    """Return a listening socket, whose options its connections inherit."""
    host, port = host_and_port(address)
    listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        listening.setblocking(False)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(AttributeError, OSError):
            listening.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_TIMEOUT_MS
            )
        limit_kernel_buffers(listening)
        listening.bind((host, port))
        listening.listen()
    except OSError:
        listening.close()
        raise
    return listening

"""Which connections of a listener are closed: after a time limit, or for a new one."""

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

import msgspec

from bankrudder.world import Clock


class ConnectionState(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    """The first byte of a request."""

    HEAD = "head"
    """The rest of a request's head."""

    BODY = "body"
    """The rest of a request's body."""

    BUSY = "busy"
    """The answer to a request that was received."""

    SENDING = "sending"
    """The client, which does not take the bytes that are ready for it."""


class Connection(Protocol):
    """A connection of a client."""

    @property
    def state(self) -> ConnectionState:
        """What the connection waits for."""
        ...

    @property
    def waiting_since(self) -> float:
        """Monotonic time of the last progress in this state, or of its begin."""
        ...

    def abort(self, reason: str) -> None:
        """Close the connection at once."""
        ...

    def close_after_answer(self) -> None:
        """Close the connection once the request in progress is answered."""
        ...


class ConnectionTimeouts(msgspec.Struct, frozen=True):
    """Time limits on the connections of a listener, in seconds.

    Attributes
    ----------
    head_s : float
        From the first byte of a request's head to its end.
    idle_s : float
        Without a request, without a byte of a body that has begun, and without progress
        of an answer that the client does not take.
    """

    head_s: float = 3.0
    idle_s: float = 15.0

    def of(self, state: ConnectionState) -> float | None:
        """Return the limit on a state in seconds, None if it has none."""
        match state:
            case ConnectionState.HEAD:
                return self.head_s
            case ConnectionState.BUSY:
                return None
            case _:
                return self.idle_s


class ConnectionTable:
    """The open connections of a listener.

    Parameters
    ----------
    max_connections : int
        Largest number of connections that are open at the same time.
    """

    def __init__(self, max_connections: int, clock: Clock):
        self._max_connections = max_connections
        self._clock = clock
        # In the order in which they were opened.
        self._connections: dict[Connection, None] = {}
        self._closing: set[Connection] = set()
        self._closed_count = 0

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def max_connections(self) -> int:
        """Largest number of connections that are open at the same time."""
        return self._max_connections

    @property
    def closed_count(self) -> int:
        """Number of connections that were closed for a limit, or not accepted."""
        return self._closed_count

    @property
    def now(self) -> float:
        """The monotonic time by which connections state since when they wait."""
        return self._clock.monotonic()

    def add(self, connection: Connection) -> None:
        """Add a new connection.

        If there are too many, the one that has waited longest for its client is closed.
        If each waits for an answer of this host, the new one is closed, and the oldest
        is closed after its answer: its client may have sent many requests in advance.
        """
        if len(self._connections) >= self._max_connections:
            waiting = [
                each
                for each in self._connections
                if each.state is not ConnectionState.BUSY
            ]
            oldest = min(waiting, key=lambda each: each.waiting_since, default=None)
            if oldest is None:
                self._close_oldest_after_answer()
                self._close(connection, "too many connections")
                return
            self._close(oldest, "closed for a new connection")
        self._connections[connection] = None

    def discard(self, connection: Connection) -> None:
        """Remove a connection that was closed."""
        self._connections.pop(connection, None)
        self._closing.discard(connection)

    def close_expired(self, timeouts: ConnectionTimeouts) -> None:
        """Close the connections that exceed a time limit."""
        for connection in list(self._expired(timeouts)):
            self._close(connection, "time limit")

    def _expired(self, timeouts: ConnectionTimeouts) -> Iterable[Connection]:
        now = self._clock.monotonic()
        for connection in self._connections:
            limit_s = timeouts.of(connection.state)
            if limit_s is not None and now - connection.waiting_since >= limit_s:
                yield connection

    def _close_oldest_after_answer(self) -> None:
        open_ones = (each for each in self._connections if each not in self._closing)
        oldest = next(open_ones, None)
        if oldest is not None:
            self._closing.add(oldest)
            oldest.close_after_answer()

    def _close(self, connection: Connection, reason: str) -> None:
        self.discard(connection)
        self._closed_count += 1
        connection.abort(reason)

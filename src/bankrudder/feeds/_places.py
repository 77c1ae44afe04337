"""Listeners of the messaging library to which accepted connections are handed over."""

import os

import pynng
import structlog
from pynng._nng import lib

from bankrudder.world import Clock

START_TIMEOUT_S = 1.0
"""Time within which a connection is in use after it was handed over. Otherwise its
client has left."""

_log = structlog.get_logger("feeds")


class SubscriberPlaces:
    """Places for the connections of subscribers, each with a listener of its own.

    If a listener is given a second connection before it has taken the first one, it may
    not take it.
    """

    def __init__(self, publisher: pynng.Pub0, clock: Clock):
        self._clock = clock
        self._publisher = publisher
        self._taken_at: dict[int, float] = {}
        self._listeners: dict[int, pynng.Listener] = {}

    @property
    def taken_count(self) -> int:
        """Number of places with a connection that is open, or was just handed over."""
        return len(self._taken())

    def take(self, descriptor: int) -> None:
        """Hand over a connection, which the library closes from now on."""
        taken = self._taken()
        free = next((each for each in self._listeners if each not in taken), None)
        if free is None:
            listener = self._publisher.listen("socket://")
            free = lib.nng_listener_id(listener.listener)
            self._listeners[free] = listener
        self._taken_at[free] = self._clock.monotonic()
        # The Python interface of the library does not have this option.
        error = lib.nng_listener_set_int(
            self._listeners[free].listener, b"socket:fd", descriptor
        )
        if error:
            os.close(descriptor)
            _log.warning("feeds: connection not taken", error=error)

    def _taken(self) -> set[int]:
        """Return the identifiers of listeners whose place is taken."""
        earliest = self._clock.monotonic() - START_TIMEOUT_S
        just_taken = {each for each, at in self._taken_at.items() if at > earliest}
        connected = {
            lib.nng_listener_id(lib.nng_pipe_listener(each.pipe))
            for each in self._publisher.pipes
        }
        return just_taken | connected

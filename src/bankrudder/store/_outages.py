"""Telling an outage of the store from a call that failed alone.

Pattern: the store falls silent for all or some hosts, for seconds, and comes back while
results wait to be listed, batches to be accepted and engines to be ordered. What each
caller finds out alone, by timeouts and growing pauses, takes it up to 1.2 seconds after
the return. Here all calls of a host share what any of them found out: the first answer
to a call that began after the failures ends the outage for all.
"""

from dataclasses import dataclass

FAILURES = 2
"""Failures in a row, without an answer to a call begun since, that make an outage: one
may be a single lost reply, of which there are many on some days."""


@dataclass(frozen=True)
class OutageBegan:
    """Calls should wait for the store's return."""


@dataclass(frozen=True)
class OutageEnded:
    """The store answers again; what began before `since` and hangs will not end."""

    since: float


class OutageDetector:
    """Follows the outcomes of one host's calls; times are of its steady clock."""

    def __init__(self) -> None:
        self._answered_begin = float("-inf")
        self._failures = 0
        self._is_out = False

    @property
    def is_out(self) -> bool:
        """Whether the store is taken to be away from this host."""
        return self._is_out

    def note_answer(self, began: float) -> OutageEnded | None:
        """Note an answer to a call that began at some time."""
        self._answered_begin = max(self._answered_begin, began)
        self._failures = 0
        if not self._is_out:
            return None
        self._is_out = False
        return OutageEnded(began)

    def note_failure(self, began: float) -> OutageBegan | None:
        """Note that a call ended without one, unless a later one was answered."""
        if began <= self._answered_begin:
            return None
        self._failures += 1
        if self._is_out or self._failures < FAILURES:
            return None
        self._is_out = True
        return OutageBegan()

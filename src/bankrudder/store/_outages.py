"""Distinguishes an outage of the store from a single failed call.

The store can stop answering all or some hosts for seconds, and return while results
wait to be listed, batches to be accepted and engines to be ordered. A caller that
detects the return on its own, by timeouts and growing pauses, needs up to 1.2 seconds
after it. Therefore all calls of a host share one detector: the first answer to a call
that began after the failures ends the outage for all calls.
"""

from dataclasses import dataclass

OUTAGE_FAILURE_COUNT = 2
"""Consecutive failures, with no answer to a later call, that count as an outage. One
failure may be a single lost reply, of which there are many on some days."""


@dataclass(frozen=True)
class OutageBegan:
    """An outage was detected; calls wait until the store answers again."""


@dataclass(frozen=True)
class OutageEnded:
    """The store answers again.

    Calls that began before `answered_call_began` and have no answer yet are unlikely
    to get one.
    """

    answered_call_began: float


class OutageDetector:
    """Derives outages from the outcomes of one host's calls, by monotonic times."""

    def __init__(self) -> None:
        self._last_answered_began = float("-inf")
        self._failures = 0
        self._is_out = False

    @property
    def is_out(self) -> bool:
        """Whether this host currently has an outage of the store."""
        return self._is_out

    def note_answer(self, began: float) -> OutageEnded | None:
        """Record an answer to a call that began at the monotonic time `began`."""
        self._last_answered_began = max(self._last_answered_began, began)
        self._failures = 0
        if not self._is_out:
            return None
        self._is_out = False
        return OutageEnded(began)

    def note_failure(self, began: float) -> OutageBegan | None:
        """Record a call without an answer; ignored if a later call was answered."""
        if began <= self._last_answered_began:
            return None
        self._failures += 1
        if self._is_out or self._failures < OUTAGE_FAILURE_COUNT:
            return None
        self._is_out = True
        return OutageBegan()

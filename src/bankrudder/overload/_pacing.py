"""The pace at which a host sends to a service that may be full.

Hosts do not see each other's requests, and what endpoints report is old when slots
change hands every few milliseconds. A host that waits for a report of a free slot
leaves slots idle; hosts that all send at once are mostly refused. Each host sends at a
pace that grows with each request that an endpoint takes and falls with each
refusal, as congestion control does: endpoints are kept full, and the refused sends stay
a bounded share of all. The pace grows by the length of the host's line, so that a host
that receives half of the traffic gets its part of the slots.
"""

import random

FIRST_PER_S = 20.0
"""Pace before anything is known, in sends per second."""

MIN_PER_S = 4.0
"""Slowest pace, at which a host still learns within a caller's patience that slots are
free again."""

MAX_PER_S = 2000.0
"""Fastest pace: more requests than a host can send."""

GROWTH_PER_S = 2.0
"""Growth of the pace with each request that is taken, for each request in line."""

REFUSAL_FACTOR = 0.9
"""Factor of the pace with each refused request. With `GROWTH_PER_S`, a host with a
pace of 20 sends per second and one request in line is refused about once in two."""


class SendPacer:
    """Pace of the sends for which no free slot is known."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._per_s = FIRST_PER_S
        self._next_at = 0.0

    @property
    def per_s(self) -> float:
        """The pace in sends per second."""
        return self._per_s

    @property
    def next_at(self) -> float:
        """Monotonic time of the next send."""
        return self._next_at

    def may_send(self, now: float) -> bool:
        """Whether a request may be sent though no free slot is known."""
        return now >= self._next_at

    def note_sent(self, now: float) -> None:
        """Record a send for which no free slot was known."""
        # Without the random factor, hosts that were refused together would send
        # together again.
        self._next_at = now + self._rng.uniform(0.5, 1.5) / self._per_s

    def note_taken(self, waiting: int) -> None:
        """Record that an endpoint took a request while others wait."""
        self._per_s = min(self._per_s + GROWTH_PER_S * max(waiting, 1), MAX_PER_S)

    def note_refused(self) -> None:
        """Record that an endpoint refused a request for being full."""
        self._per_s = max(self._per_s * REFUSAL_FACTOR, MIN_PER_S)

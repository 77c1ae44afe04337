"""The pace at which a host sends to a service that may be full.

Hosts do not see each other's requests, and what endpoints report is old when slots
change hands every few milliseconds. A host that waits for a report of a free slot
leaves slots idle; hosts that all send at once are mostly refused. Each host sends at a
pace that grows with each request that an endpoint takes and falls with each
refusal, as congestion control does: endpoints are kept full, and the refused sends stay
a bounded share of all. The pace grows by the number of requests that arrive, so that a
host that receives half of the traffic gets its part of the slots.
"""

import random

FIRST_PER_S = 20.0
"""Pace before anything is known, in sends per second."""

MIN_PER_S = 4.0
"""Slowest pace, at which a host still learns within a caller's patience that slots are
free again."""

MAX_PER_S = 2000.0
"""Fastest pace: more requests than a host can send."""

GROWTH_PER_S = 1.0
"""Growth of the pace with each request that is taken, in sends per second."""

DEMAND_GROWTH_SHARE = 0.1
"""Further growth as a share of the requests that arrive per second, so that hosts get
slots in proportion to what they are asked. The length of the line does not tell this,
as most of a long line is rejected."""

REFUSAL_FACTOR = 0.9
"""Factor of the pace with each refused request. A host that is asked 10 requests per
second, and sends as many, is refused about twice in three times."""


class SendPacer:
    """Pace of the sends for which no free slot is known."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._per_s = FIRST_PER_S
        self._next_at = 0.0

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

    def note_taken(self, arriving_per_s: float) -> None:
        """Record that an endpoint took a request while slots are short."""
        growth = GROWTH_PER_S + DEMAND_GROWTH_SHARE * arriving_per_s
        self._per_s = min(self._per_s + growth, MAX_PER_S)

    def note_refused(self) -> None:
        """Record that an endpoint refused a request for being full."""
        self._per_s = max(self._per_s * REFUSAL_FACTOR, MIN_PER_S)

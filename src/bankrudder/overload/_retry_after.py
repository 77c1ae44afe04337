"""The delay after which a rejected caller may try again.

Callers honour it up to a third of the time that they have left, and come back to
another host mostly, whose line is about as long. Room cannot be kept for a returning
caller: nothing that reaches the other host tells it from a new one.

The delay is the time in which the line empties. Rejected callers are spread over it at
random, as they would otherwise fill the line again together. The more urgent ones are
spread over its first part.
"""

import random

MAX_LEFT_SHARE = 1 / 3
"""Largest share of a caller's time left for which it waits."""

SHORTEST_S = 0.02
"""Shortest delay: a slot is not free earlier."""

SPREAD_SHARE = 0.5
"""Part of the delay over which callers of one priority are spread."""

LOWEST_PRIORITY = 9
"""Priority from which on requests are not told apart."""


def retry_after_s(
    empty_after_s: float, left_s: float, priority: int, rng: random.Random
) -> float:
    """Return the delay for a rejected caller.

    Parameters
    ----------
    empty_after_s : float
        Time in which the line empties; infinite if it does not.
    left_s : float
        Time until the caller's deadline.
    priority : int
        Priority of the request, 0 being the most urgent.
    """
    longest_s = max(min(empty_after_s, MAX_LEFT_SHARE * left_s), SHORTEST_S)
    rank = min(max(priority, 0), LOWEST_PRIORITY) / LOWEST_PRIORITY
    first_share = (1 - SPREAD_SHARE) * (1 + rank) / 2
    return longest_s * (first_share + SPREAD_SHARE * rng.random())

"""The budget for requests that are sent more than once.

When a service slows down or endpoints end, each request costs more sends, at the time
at which they can least be afforded. Repeats after a lost or failed answer, and hedges,
take a token each; first sends fill the bucket. Callers' own repeats reach other hosts,
as first sends there.

Not charged are sends after a refusal that certainly did not run the request: they cost
an endpoint next to nothing, and are limited by the pace of sends and the number of
refusals. Exempt are calls that settle a promise of at most once, which go out only as
first sends, and samples of steps, which do not pass here: a lost sample loses the
work on its group.
"""

TOKENS_PER_SEND = 0.1
"""Tokens that a first send adds: one in ten may be repeated."""

TOKENS_PER_SEND_WHILE_QUEUED = 0.02
"""Tokens that a first send adds while endpoints report waiting requests, so that
repeats delay first sends by at most 2 %."""

MAX_TOKENS = 10.0
"""Most tokens that are saved: enough for the requests that a host has at an endpoint
when it ends."""


class RepeatBudget:
    """A token bucket for repeats and hedges of a service."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS / 2

    @property
    def tokens(self) -> float:
        """Number of repeats that may be sent now."""
        return self._tokens

    def note_first_send(self, is_queued: bool) -> None:
        """Record the first send of a request.

        Parameters
        ----------
        is_queued : bool
            Whether endpoints report waiting requests.
        """
        added = TOKENS_PER_SEND_WHILE_QUEUED if is_queued else TOKENS_PER_SEND
        self._tokens = min(self._tokens + added, MAX_TOKENS)

    def allows(self, is_short: bool) -> bool:
        """Whether a repeat may be sent; none while the service is short of slots."""
        return not is_short and self._tokens >= 1.0

    def spend(self) -> None:
        """Record a repeat, which `allows` allowed."""
        self._tokens -= 1.0

"""The turns of requests, as senders see them."""

from typing import Protocol

import msgspec

from bankrudder.fleet import EndpointId, SendOutcome
from bankrudder.overload._values import Rejection
from bankrudder.world import WorkspaceName


class Turn(Protocol):
    """The wait of one request for its slots, and the outcomes of its sends.

    ``is_limited`` tells whether `wait` paces the sends.
    """

    is_limited: bool

    async def wait(self) -> Rejection | None:
        """Wait until the request may be sent for the first time, or again.

        Returns the rejection if its answer would come too late.
        """
        ...

    def may_repeat(self) -> bool:
        """Whether the request may be sent to a second endpoint, or again after a loss.

        A request that certainly did not run waits for its turn instead.
        """
        ...

    def note_sent(self, *, is_repeat: bool) -> None:
        """Record that the request is sent."""
        ...

    def note_outcome(
        self, endpoint: EndpointId, outcome: SendOutcome, seconds: float
    ) -> None:
        """Record the outcome of a send and the time that it took."""
        ...

    def retry_after_s(self, default_s: float) -> float:
        """Return the delay after which the caller of a refused request may return."""
        ...

    def close(self) -> None:
        """End the turn."""
        ...


class FreeTurn:
    """The turn of a request that waits for nothing, where overload is not limited."""

    is_limited = False

    async def wait(self) -> None:
        """Return at once."""

    def may_repeat(self) -> bool:
        """Return True."""
        return True

    def note_sent(self, *, is_repeat: bool) -> None:
        """Do nothing."""

    def note_outcome(
        self, endpoint: EndpointId, outcome: SendOutcome, seconds: float
    ) -> None:
        """Do nothing."""

    def retry_after_s(self, default_s: float) -> float:
        """Return the default."""
        return default_s

    def close(self) -> None:
        """Do nothing."""


class TurnRequest(msgspec.Struct, frozen=True):
    """What a turn depends on.

    Attributes
    ----------
    deadline : float
        Monotonic time by which the reply must be sent.
    received_at : float
        Monotonic time at which the request was read.
    """

    request_id: str
    workspace: WorkspaceName
    priority: int
    deadline: float
    received_at: float

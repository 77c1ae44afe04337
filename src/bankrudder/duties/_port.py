"""The platform's interface for duties, as the project uses it."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from bankrudder.duties._values import EndpointOrder, UsageReport
from bankrudder.store import RowVersion
from bankrudder.world import HostId

DutyCall = UsageReport | EndpointOrder
"""All that is told to the platform under a duty."""


class DutyTicket(msgspec.Struct, frozen=True):
    """By what right a call is made.

    Attributes
    ----------
    fence : RowVersion
        Fencing token: grows with each change of the holder.
    timeout_s : float
        Time after which the call must have ended, whatever became of it.
    is_held : callable
        Whether the duty is still held: asked right before the call's body is sent, as
        a host may be frozen or suspended while it connects.
    """

    holder: HostId
    fence: RowVersion
    timeout_s: float
    is_held: Callable[[], bool] = lambda: True


class DutyOutcome(Enum):
    """What became of a call."""

    DONE = "done"
    REFUSED = "refused"
    """It was surely not carried out; the same call may be made again."""

    REJECTED = "rejected"
    """The platform takes it for wrong; making it again will not help."""

    UNKNOWN = "unknown"
    """It may have been carried out, or may be later."""

    NOT_ON_DUTY = "not_on_duty"
    """This host does not hold the duty just now: nothing was sent."""


class DutyApi(Protocol):
    """How the platform is told. Nothing is retried here."""

    async def call(self, call: DutyCall, ticket: DutyTicket) -> DutyOutcome:
        """Make a call."""
        ...

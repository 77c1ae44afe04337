"""Interface through which the holder of a duty calls the platform."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from bankrudder.duties._values import EndpointOrder, UsageReport
from bankrudder.store import RowVersion
from bankrudder.world import HostId

DutyCall = UsageReport | EndpointOrder
"""A message to the platform that only the holder of a duty may send."""


class DutyGrant(msgspec.Struct, frozen=True):
    """Holder, fencing token and time limit of a call.

    Attributes
    ----------
    fence : RowVersion
        Fencing token, which grows with each change of the holder.
    timeout_s : float
        Time after which the call must have ended, with or without an answer.
    is_held : callable
        Returns whether the duty is still held. Checked right before the call's body is
        sent, because the host may be frozen or suspended while it connects.
    """

    holder: HostId
    fence: RowVersion
    timeout_s: float
    is_held: Callable[[], bool] = lambda: True


class DutyOutcome(Enum):
    """Outcome of a call."""

    DONE = "done"
    REFUSED = "refused"
    """The call was certainly not carried out; the same call may be repeated."""

    REJECTED = "rejected"
    """The platform rejected the call as invalid; repeating it does not help."""

    UNKNOWN = "unknown"
    """The call may have been carried out, or may still be."""

    NOT_ON_DUTY = "not_on_duty"
    """This host does not hold the duty; nothing was sent."""


class DutyApi(Protocol):
    """Client for the platform's duty calls. It does not retry."""

    async def call(self, call: DutyCall, grant: DutyGrant) -> DutyOutcome:
        """Make a call."""
        ...

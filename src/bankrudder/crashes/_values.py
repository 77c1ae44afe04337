"""What is known of endpoints that ended under a request."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.crashes._content import ContentId
from bankrudder.fleet import EndpointRun, TrackedEndpoint

UnixTime = NewType("UnixTime", float)
"""Seconds of the real-time clock: strikes outlive the host that saw them."""


class Send(msgspec.Struct, frozen=True):
    """A request at one endpoint; ``began`` is the monotonic time of its sending."""

    content: ContentId
    target: TrackedEndpoint
    began: float


class Strike(msgspec.Struct, frozen=True):
    """One run of an endpoint that ended while it worked on a content.

    Attributes
    ----------
    began : UnixTime
        When the request was sent there.
    at : UnixTime
        When the loss of the endpoint was noticed.
    """

    content: ContentId
    run: EndpointRun
    began: UnixTime
    at: UnixTime


class Admission(Enum):
    """Whether a request may be sent to an endpoint."""

    FREE = "free"
    ALONE = "alone"
    """To one endpoint at a time: the next crash may be the last that is allowed."""

    REFUSED = "refused"


class Verdict(msgspec.Struct, frozen=True):
    """What the strikes of a content say about its next send.

    Attributes
    ----------
    strikes : int
        Runs of endpoints that count against it.
    retry_after_s : float
        Seconds until it may be tried again, 0 unless it is refused.
    """

    admission: Admission
    strikes: int = 0
    retry_after_s: float = 0.0


FREE = Verdict(Admission.FREE)
"""What holds for a request under which no endpoint ended."""

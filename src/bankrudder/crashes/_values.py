"""Strikes, the crashes recorded against request contents, and admission decisions."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.crashes._content import ContentId
from bankrudder.fleet import EndpointRun, TrackedEndpoint
from bankrudder.routing import ServiceName

UnixTime = NewType("UnixTime", float)
"""Unix time in seconds, because strikes outlive the process that observed them."""


class RefusalPolicy(Enum):
    """For how long work may be refused because endpoints crashed during it."""

    LASTING = "lasting"
    """Minutes to hours, as for requests of callers, of which any may crash endpoints.

    Their callers get the refusal and decide what to do.
    """

    BRIEF = "brief"
    """Seconds, as for the samples and reward calls of accepted batches.

    They are owed, whatever crashed while they ran.
    """


class Send(msgspec.Struct, frozen=True):
    """One attempt to send a request to an endpoint; ``sent_at`` is a monotonic time.

    Attributes
    ----------
    request : str
        Mark of the identifier that is common to the attempts of a request that may be
        hedged, empty for other attempts.
    first_event : int
        Number of the event at which the attempt started or resumed the answer.
    next_event : int
        Number of the first event that was not received; `first_event` unless the answer
        is a stream.
    policy : RefusalPolicy
        For how long the request may be refused.
    """

    content: ContentId
    target: TrackedEndpoint
    sent_at: float
    request: str = ""
    first_event: int = 0
    next_event: int = 0
    policy: RefusalPolicy = RefusalPolicy.LASTING


class Strike(msgspec.Struct, frozen=True):
    """One run of an endpoint that crashed while processing a content.

    Attributes
    ----------
    sent_at : UnixTime
        Time at which the request was sent to the endpoint.
    lost_at : UnixTime
        Time at which the request was found to be lost.
    is_doubtful : bool
        Whether it is not known yet if the endpoint crashed.
    request : str
        `Send.request` of the lost attempt.
    service : ServiceName
        Service of the endpoint, empty if unknown.
    first_event, next_event : int
        `Send.first_event` and `Send.next_event` of the lost attempt.
    """

    content: ContentId
    run: EndpointRun
    sent_at: UnixTime
    lost_at: UnixTime
    is_doubtful: bool = False
    request: str = ""
    service: ServiceName = ServiceName("")
    first_event: int = 0
    next_event: int = 0

    @property
    def event_count(self) -> int:
        """Number of events that the attempt returned before it was lost."""
        return self.next_event - self.first_event


class Crash(msgspec.Struct, frozen=True):
    """The crash of one run of an endpoint, whatever was in progress there."""

    service: ServiceName
    at: UnixTime


class Admission(Enum):
    """Whether a request may be sent to an endpoint."""

    FREE = "free"
    ALONE = "alone"
    """The request may be sent to one endpoint at a time.

    The next crash may be the last one that is allowed.
    """

    REFUSED = "refused"


class AdmissionDecision(msgspec.Struct, frozen=True):
    """The decision whether a request with a content may be sent.

    Attributes
    ----------
    strikes : int
        Number of strikes of the content that count.
    retry_after_s : float
        Time until the content may be sent again, 0 unless it is refused.
    """

    admission: Admission
    strikes: int = 0
    retry_after_s: float = 0.0


FREE = AdmissionDecision(Admission.FREE)
"""The decision for a content without strikes."""

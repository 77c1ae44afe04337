"""Values of overload control: waiting requests, known room, estimates, rejections."""

import msgspec

from bankrudder.routing import ServiceName
from bankrudder.world import DataCentreName, WorkspaceName


class LineKey(msgspec.Struct, frozen=True):
    """Service and data centres that a request may use; each key has a line."""

    service: ServiceName
    data_centres: tuple[DataCentreName, ...] = ()


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request that asks for a slot.

    Attributes
    ----------
    number : int
        Number of the request at this host, in the order of arrival.
    priority : int
        The lowest number is the most urgent.
    due : float
        Monotonic time until which an answer has its full value to the caller.
    deadline : float
        Monotonic time after which the caller no longer waits.
    """

    number: int
    priority: int
    workspace: WorkspaceName
    due: float
    deadline: float


class Room(msgspec.Struct, frozen=True):
    """What a host knows of the slots of a service.

    Attributes
    ----------
    endpoint_count : int
        Endpoints that accept requests.
    free_slots : int
        Slots that are not known to be in use, without those of endpoints that refused
        the newest request for being full.
    in_flight : int
        Requests of this host that endpoints have.
    """

    endpoint_count: int
    free_slots: int
    in_flight: int = 0


class Estimate(msgspec.Struct, frozen=True):
    """Time from now until the answer to a request.

    Attributes
    ----------
    wait_s : float
        Expected time until the request is sent; infinite if newer requests keep
        being sent before it.
    service_s : float
        Time from sending to the answer that only one answer in ten is faster than.
    left_s : float
        Time until the caller's deadline.
    """

    wait_s: float
    service_s: float
    left_s: float

    @property
    def is_hopeless(self) -> bool:
        """Whether the answer cannot be expected before the deadline."""
        return self.wait_s + self.service_s > self.left_s


class Rejection(msgspec.Struct, frozen=True):
    """A request that is rejected because its answer would come too late.

    Attributes
    ----------
    waiting : int
        Requests in line when this one was rejected.
    retry_after_s : float
        Time after which the caller may try again.
    """

    request: WaitingRequest
    estimate: Estimate
    waiting: int
    retry_after_s: float


class Decisions(msgspec.Struct, frozen=True):
    """The requests that may be sent now, and those that are rejected."""

    granted: tuple[WaitingRequest, ...] = ()
    rejected: tuple[Rejection, ...] = ()

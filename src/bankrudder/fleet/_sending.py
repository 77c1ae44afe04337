"""The interface for sending requests and orders to endpoints, and their outcomes."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import Enum
from typing import Protocol

import msgspec

from bankrudder.fleet._values import Endpoint, ReportedLoad, StartTime
from bankrudder.memory import HeldData
from bankrudder.routing import ModelName
from bankrudder.world import NO_WORKSPACE, ModelVersion, WorkspaceName

Headers = tuple[tuple[str, str], ...]
"""Header names and values, in the order in which they were received."""


class Generation(msgspec.Struct, frozen=True):
    """Generation parameters, for requests whose headers do not contain them.

    Attributes
    ----------
    max_tokens : int
        Maximum number of tokens to generate, 0 for the engine's own limit.
    priority : int
        0 is the most urgent.
    """

    model: ModelName
    max_tokens: int = 0
    priority: int = 5


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request in the form that is sent to an endpoint.

    Attributes
    ----------
    target : str
        Path and query, unchanged from the caller.
    timeout_s : float
        Time limit of the endpoint, which is sent with the request.
    may_reuse_connection : bool
        Whether an idle connection may be used. The endpoint may be closing an idle
        connection, and then it is unknown whether the request was run.
    resume_after : int
        Number of the last event that was already received, -1 for none.
    generation : Generation or None
        Generation parameters; None if the headers contain them, or if the request is
        not for an engine.
    workspace : WorkspaceName
        Workspace that the request belongs to; headers that state one are dropped.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    timeout_s: float
    may_reuse_connection: bool = True
    resume_after: int = -1
    generation: Generation | None = None
    workspace: WorkspaceName = NO_WORKSPACE


class RefusalReason(Enum):
    """The reason why an endpoint did not run a request."""

    UNREACHABLE = "unreachable"
    NOT_LISTENING = "not_listening"
    """The connection was refused, by the endpoint's machine or by a failing link.

    If the machine refused it, the endpoint's process has exited.
    """

    FULL = "full"
    OTHER_ENDPOINT = "other_endpoint"
    """The address now belongs to another endpoint."""

    REJECTED = "rejected"


class LossReason(Enum):
    """The reason why there is no complete answer."""

    NO_ANSWER = "no_answer"
    BROKEN_OFF = "broken_off"
    FOREIGN_ANSWER = "foreign_answer"
    """The answer belonged to another request."""

    TIMEOUT = "timeout"
    ENDPOINT_RESTARTED = "endpoint_restarted"
    """The endpoint restarted before it answered."""

    TOO_LONG = "too_long"
    """The answer was longer than any that is accepted."""

    NO_MEMORY = "no_memory"
    """This host has no memory for the answer."""


class Answered(msgspec.Struct, frozen=True):
    """The endpoint ran the request and its answer is complete.

    ``proof`` is the endpoint's receipt, empty if it sent none. ``keep_alive_s`` is the
    time for which the connection is kept alive for further requests, 0 if it was
    closed. ``held`` keeps the memory of a large body counted.
    """

    status: int
    headers: Headers
    body: bytes
    load: ReportedLoad | None = None
    proof: str = ""
    keep_alive_s: float = 0.0
    held: HeldData | None = None


class Refused(msgspec.Struct, frozen=True):
    """The endpoint did not run the request and will not."""

    reason: RefusalReason
    load: ReportedLoad | None = None


class Lost(msgspec.Struct, frozen=True):
    """The request may have run, or may be running; no answer will come."""

    reason: LossReason


SendOutcome = Answered | Refused | Lost


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes
    ----------
    number : int
        Sequence number, which increases by one from event to event.
    data : str
        Data lines of the event, joined by line feeds.
    version : ModelVersion or None
        Version of the weights from this event on, None if it did not change.
    raw : bytes
        The event as received, including its terminating blank line.
    """

    number: int
    data: str
    version: ModelVersion | None
    raw: bytes


class StreamBrokenError(Exception):
    """A stream ended before its last event or contains invalid data."""


class StreamOverrunError(StreamBrokenError):
    """A stream has far more events than the request allows.

    Which of its events are part of an answer is not known.
    """


class OpenedStream(msgspec.Struct, frozen=True):
    """The endpoint answers with a stream of events.

    ``events`` is exhausted only after the last event, and raises `StreamBrokenError` if
    the stream ends before. ``version`` is the version of the weights at the first
    event. ``keep_alive_s`` is the time for which the connection is kept alive after the
    last event, 0 if it is closed. ``load`` is the endpoint's load at the first event.
    """

    status: int
    headers: Headers
    version: ModelVersion | None
    events: AsyncIterator[StreamEvent]
    keep_alive_s: float = 0.0
    load: ReportedLoad | None = None


StreamOutcome = OpenedStream | Answered | Refused | Lost


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports.

    Attributes
    ----------
    orders_taken : int
        Number of orders that this run of the engine accepted.
    is_busy : bool
        Whether the engine is executing an order.
    running : int
        Number of requests that the engine is processing.
    born : StartTime or None
        Start time of this run of the engine, None if it reports none.
    """

    orders_taken: int
    is_busy: bool
    versions: dict[ModelName, ModelVersion]
    running: int = 0
    born: StartTime | None = None


class SwitchMode(Enum):
    """How an engine treats requests in progress when it switches to a new version."""

    FINISH_FIRST = "finish_first"
    CONTINUE = "continue"
    """Requests in progress continue with the new version."""


class VersionOrder(msgspec.Struct, frozen=True):
    """An order to an engine to serve a version of a model's weights.

    Attributes
    ----------
    fencing_token : int
        Token that increases with each change of the lease holder.
    expected_orders : int
        Number of orders that the engine must have accepted before this one; it refuses
        the order if the number differs.
    """

    model: ModelName
    version: ModelVersion
    mode: SwitchMode
    holder: str
    fencing_token: int
    expected_orders: int


class OrderOutcome(Enum):
    """The outcome of an order to an engine."""

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    """The engine already serves the version and does not count the order."""

    CONFLICT = "conflict"
    """Another order is in progress, or the engine took more orders than expected."""

    FENCED = "fenced"
    OTHER_ENDPOINT = "other_endpoint"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    """The order may have been accepted, or may still be accepted seconds later."""


class ProbeResult(Enum):
    """The result of an attempt to connect to an endpoint's address."""

    LISTENING = "listening"
    NOT_LISTENING = "not_listening"
    UNKNOWN = "unknown"
    """There was no response in time."""


class EndpointClient(Protocol):
    """Sends requests and orders to endpoints, without retries."""

    async def send(self, endpoint: Endpoint, request: OutgoingRequest) -> SendOutcome:
        """Send a request and read the complete answer."""
        ...

    def open_stream(
        self, endpoint: Endpoint, request: OutgoingRequest
    ) -> AbstractAsyncContextManager[StreamOutcome]:
        """Send a request whose answer is a stream; leaving the context closes it."""
        ...

    async def reach(self, endpoint: Endpoint) -> ProbeResult:
        """Check whether a process listens at an endpoint's address."""
        ...

    async def state(self, endpoint: Endpoint) -> EngineState | None:
        """Return the state of an engine, None if it does not report one."""
        ...

    async def order(self, endpoint: Endpoint, order: VersionOrder) -> OrderOutcome:
        """Send an order to an engine."""
        ...

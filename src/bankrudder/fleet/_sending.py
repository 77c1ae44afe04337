"""Sending requests to endpoints: the port, and all that can come of one."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import Enum
from typing import Protocol

import msgspec

from bankrudder.fleet._values import Birth, Endpoint, ReportedLoad
from bankrudder.routing import ModelName
from bankrudder.world import NO_WORKSPACE, ModelVersion, WorkspaceName

Headers = tuple[tuple[str, str], ...]
"""Names and values, in the order in which they came."""


class Generation(msgspec.Struct, frozen=True):
    """What an engine is to generate, for requests that do not say so themselves.

    Attributes
    ----------
    max_tokens : int
        Most tokens to generate, 0 for the engine's own bound.
    priority : int
        0 is the most urgent.
    """

    model: ModelName
    max_tokens: int = 0
    priority: int = 5


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request as an endpoint is to receive it.

    Attributes
    ----------
    target : str
        Path and query, unchanged from the caller.
    timeout_s : float
        Time that the endpoint may take, which it is told.
    may_reuse_connection : bool
        Whether a connection that has been idle will do: the endpoint may be
        closing it, and then nobody can tell whether the request was run.
    resume_after : int
        Number of the last event that is already here, -1 for none.
    generation : Generation or None
        What to generate; None if the headers say it, or it is no engine's request.
    workspace : WorkspaceName
        Whose request it is; whatever the headers say of that is not passed on.
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
    """Why an endpoint did not run a request."""

    UNREACHABLE = "unreachable"
    NOT_LISTENING = "not_listening"
    """Nobody listens at its address: its process has ended, or a link says so."""

    FULL = "full"
    OTHER_ENDPOINT = "other_endpoint"
    """The address belongs to another endpoint now."""

    REJECTED = "rejected"


class LossReason(Enum):
    """Why there is no whole answer."""

    NO_ANSWER = "no_answer"
    BROKEN_OFF = "broken_off"
    FOREIGN_ANSWER = "foreign_answer"
    """The answer was to another request."""

    TIMEOUT = "timeout"
    ENDPOINT_RESTARTED = "endpoint_restarted"
    """A later run of the endpoint began before there was an answer."""


class Answered(msgspec.Struct, frozen=True):
    """The endpoint ran the request; its answer is whole.

    ``proof`` is the endpoint's receipt, empty without one. ``kept_s`` tells for how
    many seconds its connection is kept for further requests, 0 if it was closed.
    """

    status: int
    headers: Headers
    body: bytes
    load: ReportedLoad | None = None
    proof: str = ""
    kept_s: float = 0.0


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
        Grows by one from event to event.
    data : str
        Its data, lines joined by line feeds.
    version : ModelVersion or None
        Version of the weights from this event on, None if it did not change.
    raw : bytes
        The event as it came, with its blank line.
    """

    number: int
    data: str
    version: ModelVersion | None
    raw: bytes


class StreamBrokenError(Exception):
    """A stream ended before its last event, or holds something else."""


class OpenedStream(msgspec.Struct, frozen=True):
    """The endpoint answers with events.

    ``events`` raises `StreamBrokenError`; it ends by itself only after the last
    event. ``version`` is that of the weights at the first event. ``kept_s`` tells for
    how many seconds the connection is kept after the last event, 0 if it is closed.
    """

    status: int
    headers: Headers
    version: ModelVersion | None
    events: AsyncIterator[StreamEvent]
    kept_s: float = 0.0


StreamOutcome = OpenedStream | Answered | Refused | Lost


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself.

    Attributes
    ----------
    orders_taken : int
        Number of orders that this run of the engine accepted.
    is_busy : bool
        Whether an order is being carried out.
    running : int
        Requests that it works on.
    born : Birth or None
        When this run of it began, None if it does not tell.
    """

    orders_taken: int
    is_busy: bool
    versions: dict[ModelName, ModelVersion]
    running: int = 0
    born: Birth | None = None


class SwitchMode(Enum):
    """What becomes of the runs in progress when an engine takes a new version."""

    FINISH_FIRST = "finish_first"
    CONTINUE = "continue"
    """They go on under the new version."""


class VersionOrder(msgspec.Struct, frozen=True):
    """An order to an engine to serve a version of a model's weights.

    Attributes
    ----------
    fencing_token : int
        Grows with each change of the holder.
    expected_orders : int
        The engine takes the order only if it took this many before.
    """

    model: ModelName
    version: ModelVersion
    mode: SwitchMode
    holder: str
    fencing_token: int
    expected_orders: int


class OrderOutcome(Enum):
    """What an engine made of an order."""

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    CONFLICT = "conflict"
    """Another order is in progress, or it took more orders than expected."""

    FENCED = "fenced"
    OTHER_ENDPOINT = "other_endpoint"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    """It may have been accepted, or may be seconds later."""


class Reach(Enum):
    """What came of trying to connect to an endpoint's address."""

    LISTENING = "listening"
    NOT_LISTENING = "not_listening"
    UNKNOWN = "unknown"
    """Nothing came back in time."""


class EndpointClient(Protocol):
    """How endpoints are reached. Nothing is retried here."""

    async def send(self, endpoint: Endpoint, request: OutgoingRequest) -> SendOutcome:
        """Send a request and read the whole answer."""
        ...

    def open_stream(
        self, endpoint: Endpoint, request: OutgoingRequest
    ) -> AbstractAsyncContextManager[StreamOutcome]:
        """Send a request whose answer is a stream; leaving the context ends it."""
        ...

    async def reach(self, endpoint: Endpoint) -> Reach:
        """Find out whether anybody listens at an endpoint's address."""
        ...

    async def state(self, endpoint: Endpoint) -> EngineState | None:
        """Ask an engine for its state, None if it does not tell."""
        ...

    async def order(self, endpoint: Endpoint, order: VersionOrder) -> OrderOutcome:
        """Send an order to an engine."""
        ...

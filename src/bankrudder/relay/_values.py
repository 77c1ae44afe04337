"""Requests of callers, and the replies to them."""

from enum import Enum

import msgspec

from bankrudder.crashes import ContentId, content_id
from bankrudder.fleet import EndpointId, Generation, Headers, OutgoingRequest
from bankrudder.workspaces import DenialReason
from bankrudder.world import NO_WORKSPACE, WorkspaceName


class IncomingRequest(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes
    ----------
    target : str
        Path and query as sent.
    path : str
        The path alone.
    deadline : float
        Monotonic time after which the caller no longer waits.
    received_at : float
        Monotonic time at which it was read.
    resume_after : int
        Number of the last event that the caller has, -1 for none.
    trace : str
        W3C ``traceparent`` of the span that received it, or empty.
    identity : tuple of str
        What tells it from requests of the same path and body: the caller, the prompt.
    workspace : WorkspaceName
        Whose request it is, which endpoints are told.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    deadline: float
    received_at: float
    resume_after: int = -1
    generation: Generation | None = None
    trace: str = ""
    identity: tuple[str, ...] = ()
    workspace: WorkspaceName = NO_WORKSPACE

    @property
    def content(self) -> ContentId:
        """What it asks, the same for each attempt at any host."""
        return content_id(self.method, self.host, self.target, self.body, self.identity)

    def outgoing(
        self, timeout_s: float, *, may_reuse_connection: bool, resume_after: int = -1
    ) -> OutgoingRequest:
        """Return the request as an endpoint is to receive it."""
        return OutgoingRequest(
            request_id=self.request_id,
            method=self.method,
            target=self.target,
            host=self.host,
            headers=self.headers,
            body=self.body,
            timeout_s=timeout_s,
            may_reuse_connection=may_reuse_connection,
            resume_after=resume_after,
            generation=self.generation,
            workspace=self.workspace,
        )


class Relayed(msgspec.Struct, frozen=True):
    """An endpoint's own answer, passed on unchanged.

    Attributes
    ----------
    proof : str
        The endpoint's receipt, empty without one.
    failed_answers : int
        Endpoints that answered with an error of their own, this one among them.
    endpoint : EndpointId
        The endpoint that answered.
    """

    status: int
    headers: Headers
    body: bytes
    proof: str = ""
    failed_answers: int = 0
    endpoint: EndpointId = EndpointId("")


class RejectReason(Enum):
    """Why a request was given up."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_ENDPOINT = "no_endpoint"
    FULL = "full"
    STORE_UNAVAILABLE = "store_unavailable"
    STOPPING = "stopping"
    OUT_OF_TIME = "out_of_time"
    MALFORMED = "malformed"
    ENDPOINT_FAILED = "endpoint_failed"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    """Endpoints ended under the same request before, at whatever host."""


class NotRun(msgspec.Struct, frozen=True):
    """The request was not run and will not be; it may be made again.

    Attributes
    ----------
    retry_after_s : float
        Seconds after which it is worth coming back.
    """

    reason: RejectReason
    retry_after_s: float


class NotFound(msgspec.Struct, frozen=True):
    """Nothing is configured for the request, or what it asks for does not exist."""

    reason: RejectReason


class Unauthorized(msgspec.Struct, frozen=True):
    """The caller shows no key of a workspace, by the newest configuration."""

    reason: DenialReason


class Malformed(msgspec.Struct, frozen=True):
    """The request is wrong."""

    field: str


class Unanswered(msgspec.Struct, frozen=True):
    """The request may have run, and there is no answer.

    Attributes
    ----------
    is_timeout : bool
        Whether time ran out, rather than all endpoints having failed.
    """

    reason: RejectReason
    is_timeout: bool


Reply = Relayed | NotRun | NotFound | Unauthorized | Malformed | Unanswered

"""Caller requests and the replies to them."""

from enum import Enum

import msgspec

from bankrudder.crashes import ContentId, RefusalPolicy, content_id
from bankrudder.fleet import EndpointId, Generation, Headers, OutgoingRequest
from bankrudder.memory import HeldData
from bankrudder.workspaces import DenialReason
from bankrudder.world import NO_WORKSPACE, WorkspaceName


class IncomingRequest(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes
    ----------
    target : str
        Path and query as received.
    path : str
        The path without the query.
    deadline : float
        Monotonic time after which the caller no longer waits.
    received_at : float
        Monotonic time at which the request was read.
    resume_after : int
        Number of the last event that the caller received, -1 for none.
    trace : str
        W3C ``traceparent`` of the span in which the request was received, or empty.
    identity : tuple of str
        Values that distinguish requests with the same path and body: caller and prompt.
    workspace : WorkspaceName
        Workspace that the request belongs to; it is passed on to endpoints.
    priority : int or None
        Overrides the priority of the route, 0 being the most urgent; None leaves it in
        effect.
    policy : RefusalPolicy
        For how long the request may be refused because endpoints crashed during it.
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
    priority: int | None = None
    policy: RefusalPolicy = RefusalPolicy.LASTING

    @property
    def content(self) -> ContentId:
        """Digest of the request, equal for repeated requests at all hosts."""
        return content_id(self.method, self.host, self.target, self.body, self.identity)

    def outgoing(
        self, timeout_s: float, *, may_reuse_connection: bool, resume_after: int = -1
    ) -> OutgoingRequest:
        """Return the request in the form that is sent to an endpoint."""
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
    """An endpoint's answer, passed on unchanged.

    Attributes
    ----------
    proof : str
        Receipt of the endpoint, empty if it sent none.
    failed_answers : int
        Number of attempts that were answered with a server error, including this
        answer if it is one.
    endpoint : EndpointId
        The endpoint that answered.
    held : HeldData or None
        Keeps the memory of a large body counted.
    """

    status: int
    headers: Headers
    body: bytes
    proof: str = ""
    failed_answers: int = 0
    endpoint: EndpointId = EndpointId("")
    held: HeldData | None = None


class RejectReason(Enum):
    """The reason why a request got no answer from an endpoint."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_ENDPOINT = "no_endpoint"
    FULL = "full"
    OVERLOADED = "overloaded"
    """The answer could not be expected before the caller's deadline."""

    STORE_UNAVAILABLE = "store_unavailable"
    STOPPING = "stopping"
    OUT_OF_TIME = "out_of_time"
    MALFORMED = "malformed"
    ENDPOINT_FAILED = "endpoint_failed"
    NO_MEMORY = "no_memory"
    """This host cannot hold the request or its answer."""

    CRASHES_ENDPOINTS = "crashes_endpoints"
    """Endpoints crashed while processing the same request, at any host."""


class NotRun(msgspec.Struct, frozen=True):
    """The request was not run and will not be; the caller may repeat it.

    Attributes
    ----------
    retry_after_s : float
        Seconds after which the caller may try again.
    """

    reason: RejectReason
    retry_after_s: float


class NotFound(msgspec.Struct, frozen=True):
    """No route is configured for the request, or its resource does not exist."""

    reason: RejectReason


class Unauthorized(msgspec.Struct, frozen=True):
    """The caller presents no valid key of a workspace in the newest configuration."""

    reason: DenialReason


class Malformed(msgspec.Struct, frozen=True):
    """The request is invalid; ``field`` names the invalid part."""

    field: str


class Unanswered(msgspec.Struct, frozen=True):
    """The request may have run, but there is no answer.

    Attributes
    ----------
    is_timeout : bool
        Whether the deadline passed, as opposed to all endpoints having failed.
    """

    reason: RejectReason
    is_timeout: bool


Reply = Relayed | NotRun | NotFound | Unauthorized | Malformed | Unanswered

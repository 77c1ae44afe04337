"""Conversion of callers' HTTP requests, and of the replies to them."""

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from bankrudder.decoding import decode_decimal
from bankrudder.platform import _names as names
from bankrudder.platform._transfers import HELD_DATA
from bankrudder.relay import (
    IncomingRequest,
    Malformed,
    NotFound,
    NotRun,
    Relayed,
    Reply,
    Unanswered,
    Unauthorized,
)
from bankrudder.workspaces import Admitted, ApiKey, parse_bearer

DEFAULT_TIMEOUT_S = 30.0
"""Timeout of a request whose caller states none."""

TRACE_HEADER = "traceparent"
"""Header of the W3C Trace Context, which callers may send."""

IDENTITY_HEADERS = (names.AUTHORIZATION, names.MODEL, names.PROMPT_PREFIX)
"""Headers that distinguish requests of the same path and body."""

AUTHENTICATE_HEADER = "WWW-Authenticate"
"""Header of a 401 response that names the accepted authentication scheme."""

MEMORY_RETRY_AFTER_S = 0.1
"""Retry delay while this host has no memory for a request or an answer: the retry goes
to another host, which may have some."""


def incoming_request(
    request: web.BaseRequest, received_at: float
) -> IncomingRequest | Malformed:
    """Return a caller's HTTP request, without its body, in the project's own form.

    A request to resume a stream after no valid event is malformed: sent from the start,
    the caller would get events twice.
    """
    timeout_ms = decode_decimal(request.headers.get(names.REMAINING_TIME_MS, ""))
    timeout_s = DEFAULT_TIMEOUT_S if timeout_ms is None else timeout_ms / 1000
    last_event = request.headers.get(names.LAST_EVENT_ID, "")
    resume_after = -1 if last_event in ("", "-1") else decode_decimal(last_event)
    if resume_after is None:
        return Malformed(names.LAST_EVENT_ID)
    target = request.message.path
    return IncomingRequest(
        request_id=request.headers.get(names.REQUEST_ID, ""),
        method=request.method,
        target=target,
        path=target.partition("?")[0],
        host=request.headers.get("Host", ""),
        headers=tuple(request.headers.items()),
        body=b"",
        deadline=received_at + timeout_s,
        received_at=received_at,
        resume_after=resume_after,
        trace=request.headers.get(TRACE_HEADER, ""),
        identity=tuple(request.headers.get(name, "") for name in IDENTITY_HEADERS),
    )


def api_key(request: web.BaseRequest) -> ApiKey | None:
    """Return the API key of a request, None if it has none."""
    return parse_bearer(request.headers.getall(names.AUTHORIZATION, []))


def with_workspace(incoming: IncomingRequest, admitted: Admitted) -> IncomingRequest:
    """Return a request of a workspace, without its API key.

    The key is not needed after the workspace was determined from it.
    """
    headers = tuple(
        (name, value)
        for name, value in incoming.headers
        if name.lower() != names.AUTHORIZATION.lower()
    )
    _, *prompt = incoming.identity
    return msgspec.structs.replace(
        incoming,
        headers=headers,
        workspace=admitted.workspace,
        priority=admitted.priority,
        identity=(admitted.workspace, *prompt),
    )


def response_to(reply: Reply) -> web.Response:
    """Return a reply in the form in which callers receive it."""
    match reply:
        case Relayed(status=status, headers=headers, body=body, held=held):
            response = web.Response(
                status=status, headers=CIMultiDict(headers), body=body
            )
            response[HELD_DATA] = held
            return response
        case NotRun(reason=reason, retry_after_s=seconds):
            return web.Response(
                status=503,
                headers={names.RETRY_AFTER: f"{seconds:.2f}"},
                text=f"not run: {reason.value}\n",
            )
        case NotFound():
            return web.Response(status=404)
        case Unauthorized(reason=refusal_reason):
            return web.Response(
                status=401,
                headers={AUTHENTICATE_HEADER: "Bearer"},
                text=f"not allowed: {refusal_reason.value}\n",
            )
        case Malformed(field=field):
            return web.Response(status=400, text=f"malformed: {field}\n")
        case Unanswered(is_timeout=is_timeout):
            return web.Response(status=504 if is_timeout else 502)

"""The limits of the configuration on the size of what callers send."""

from aiohttp import web

from bankrudder.routing import CallerLimits

STATUS_BODY_TOO_LARGE = 413

STATUS_HEADERS_TOO_LARGE = 431

FIELD_SEPARATORS_BYTES = len(b": \r\n")
"""Bytes of a header field besides its name and value."""


def limit_status(
    request: web.BaseRequest, body: bytes, limits: CallerLimits
) -> int | None:
    """Return the status that refuses a request beyond a limit, None if it is within."""
    if len(body) > limits.max_body_bytes:
        return STATUS_BODY_TOO_LARGE
    fields_bytes = sum(
        len(name) + len(value) + FIELD_SEPARATORS_BYTES
        for name, value in request.raw_headers
    )
    if fields_bytes + len(request.message.path) > limits.max_header_bytes:
        return STATUS_HEADERS_TOO_LARGE
    return None

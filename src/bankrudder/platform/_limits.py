"""The limits of the configuration on the size of what callers send."""

from aiohttp import web

from bankrudder.routing import CallerLimits

STATUS_BODY_TOO_LARGE = 413

STATUS_HEADERS_TOO_LARGE = 431

FIELD_SEPARATORS_BYTES = len(b": \r\n")
"""Bytes of a header field besides its name and value."""


def is_head_too_large(request: web.BaseRequest, limits: CallerLimits) -> bool:
    """Whether the target and the header fields of a request exceed the limit."""
    fields_bytes = sum(
        len(name) + len(value) + FIELD_SEPARATORS_BYTES
        for name, value in request.raw_headers
    )
    return fields_bytes + len(request.message.path) > limits.max_header_bytes

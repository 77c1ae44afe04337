"""Bounds on the size of the answers that this host reads.

A server in trouble may send bytes without end. The deadline of a request bounds how
long they are read; the limits here bound how many of them are.
"""

import io

import aiohttp
import structlog

MAX_ANSWER_BYTES = 64 << 20
"""Maximum size of an answer of an endpoint, the same as of a request."""

_log = structlog.get_logger("answers")


class AnswerTooLongError(aiohttp.ClientPayloadError):
    """An answer is longer than its limit; the connection is closed."""


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Return the body of a response.

    Raises
    ------
    AnswerTooLongError
        If the body is longer than `max_bytes`. Its rest is not read.
    """
    check_stated_length(response, max_bytes)
    buffer = io.BytesIO()
    async for part in response.content.iter_any():
        size_bytes = buffer.tell() + len(part)
        if size_bytes > max_bytes:
            raise too_long(response, size_bytes, max_bytes)
        buffer.write(part)
    return buffer.getvalue()


def check_stated_length(response: aiohttp.ClientResponse, max_bytes: int) -> None:
    """Raise `AnswerTooLongError` if a response states a length beyond a limit."""
    length = response.content_length
    # Some answers state the length of a body that they do not have.
    if length is not None and length > max_bytes and not response.content.at_eof():
        raise too_long(response, length, max_bytes)


def too_long(
    response: aiohttp.ClientResponse, size_bytes: int, max_bytes: int
) -> AnswerTooLongError:
    """Close the connection of a response and return the error to raise."""
    response.close()
    _log.warning(
        "answers: body too long, connection closed",
        address=f"{response.url.host}:{response.url.port}",
        path=response.url.path,
        status=response.status,
        bytes=size_bytes,
        max_bytes=max_bytes,
    )
    return AnswerTooLongError(f"body of {size_bytes} bytes, at most {max_bytes}")

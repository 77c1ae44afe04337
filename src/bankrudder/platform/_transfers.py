"""Bodies of requests and answers, held within the host's memory budget."""

import asyncio
import io
import math
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import aiohttp
from aiohttp import web

from bankrudder.memory import HeldData, Holding, MemoryBudget, TransferKind
from bankrudder.platform._body_slices import SLICE_BYTES, body_slices
from bankrudder.platform._bounded_answers import (
    MAX_ANSWER_BYTES,
    check_stated_length,
    too_long,
)

MAX_BODY_BYTES = 64 << 20
"""Maximum size of a request body; a larger one is answered with status 413."""

MAX_UNSTATED_ANSWER_BYTES = 32 << 20
"""Maximum size of an answer that states no length, and may have no end."""

SENDING_BYTES = 256 << 10
"""Largest number of bytes of a body that connections to endpoints hold besides: unsent
ones in the process and in the kernel."""

HELD_DATA = "held_data"
"""Key under which a response has the data of its body, if that is held already."""

SEND_POLL_INTERVAL_S = 0.02
"""Interval at which the unsent part of an answer is checked: a fraction of the time in
which a caller on a slow link receives such an answer."""


class BodyTooLargeError(Exception):
    """A body is larger than its limit."""


class NoMemoryError(Exception):
    """There is no memory for a body, even after slower transfers were ended."""


@contextmanager
def holding_request(
    request: web.BaseRequest, budget: MemoryBudget
) -> Iterator[Holding]:
    """Hold a request while it is in progress."""
    holding = budget.hold(
        TransferKind.REQUEST, lambda: holding.size_bytes, lambda: _abort(request)
    )
    try:
        yield holding
    finally:
        holding.release()


async def read_request_body(
    request: web.BaseRequest, holding: Holding, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the body of a request, which stays held by `holding`.

    Raises
    ------
    BodyTooLargeError
        If the body is larger than `max_bytes`. Its rest is not read.
    NoMemoryError
        If the body does not fit into the budget. Its rest is not read.
    """
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLargeError
    body = await _read_chunks(request.content.iter_any(), holding, max_bytes)
    # Each attempt has a part of the body in its connection to the endpoint.
    if len(body) > SLICE_BYTES and not holding.grow(min(len(body), SENDING_BYTES)):
        raise NoMemoryError
    holding.note_received()
    return body


async def read_answer_body(
    response: aiohttp.ClientResponse, budget: MemoryBudget
) -> tuple[bytes, HeldData | None]:
    """Return the body of an endpoint's answer, and what keeps it held.

    A small body does not count and is not held.

    Raises
    ------
    NoMemoryError
        If the body does not fit into the budget, or was ended for another transfer.
        Its rest is not read.
    AnswerTooLongError
        If the body is longer than any answer may be, or states no length and is longer
        than such an answer may be. Its rest is not read.
    """
    check_stated_length(response, MAX_ANSWER_BYTES)
    max_bytes = MAX_ANSWER_BYTES
    if response.content_length is None:
        # Such an answer may have no end, which is a failure of the endpoint.
        max_bytes = min(MAX_UNSTATED_ANSWER_BYTES, budget.max_transfer_bytes)
    holding = budget.hold(
        TransferKind.ANSWER, lambda: holding.size_bytes, response.close
    )
    try:
        body = await _read_chunks(response.content.iter_any(), holding, max_bytes)
        holding.note_received()
    except BodyTooLargeError:
        raise too_long(response, holding.size_bytes, max_bytes) from None
    except aiohttp.ClientError:
        if holding.is_ended:
            # The endpoint did not break off its answer, and must not be suspended.
            raise NoMemoryError from None
        raise
    finally:
        if not holding.is_received:
            holding.release()
    if holding.held_bytes:
        return body, HeldData(holding)
    holding.release()
    return body, None


async def _read_chunks(
    chunks: AsyncIterator[bytes], holding: Holding, max_bytes: float = math.inf
) -> bytes:
    # A list of parts takes many times the size of small parts, and joining them takes
    # the size of the body again. This buffer grows in place and becomes the result.
    buffer = io.BytesIO()
    async for chunk in chunks:
        if holding.size_bytes + len(chunk) > max_bytes:
            raise BodyTooLargeError
        if not holding.grow(len(chunk)):
            raise NoMemoryError
        buffer.write(chunk)
    return buffer.getvalue()


async def send_answer(
    request: web.BaseRequest,
    response: web.Response,
    budget: MemoryBudget,
    *,
    is_repeatable: bool,
) -> web.StreamResponse:
    """Send an answer, whose body counts against the budget until it is sent.

    A small answer does not count and is left to the server.

    Parameters
    ----------
    is_repeatable : bool
        Whether the caller can get the same answer from another host. Any other answer
        is sent even if it does not fit into the budget.

    Returns
    -------
    web.StreamResponse
        The response that was sent, or that the server sends.

    Raises
    ------
    NoMemoryError
        If the answer is repeatable and does not fit. Nothing is sent.
    """
    body = response.body
    if not isinstance(body, bytes) or len(body) <= budget.uncounted_bytes:
        return response
    if request.method == "HEAD":
        return response  # its body is not sent
    sent_bytes = 0

    def transferred_bytes() -> int:
        return sent_bytes - _unsent_bytes(request)

    def end() -> None:
        _abort(request)

    held = response.get(HELD_DATA)
    if isinstance(held, HeldData):
        holding = held.holding
        holding.begin_sending(transferred_bytes, end)
    else:
        holding = budget.hold(TransferKind.ANSWER, transferred_bytes, end)
    try:
        if not holding.size_bytes and not holding.grow(
            len(body), is_required=not is_repeatable
        ):
            raise NoMemoryError
        sent = _without_body(response, len(body))
        await sent.prepare(request)
        for part in body_slices(body):
            await sent.write(part)
            sent_bytes += len(part)
        await sent.write_eof()
        # The event loop sends the data after this task has yielded, so the server does
        # not know of unsent data when it has written all of it.
        await asyncio.sleep(0)
        while _unsent_bytes(request):  # noqa: ASYNC110 - there is no event for it
            await asyncio.sleep(SEND_POLL_INTERVAL_S)
    finally:
        holding.release()
    return sent


def _without_body(response: web.Response, length: int) -> web.StreamResponse:
    """Return a response with the same head, whose body is written in parts."""
    sent = web.StreamResponse(status=response.status, headers=response.headers)
    sent.content_length = length
    if response.keep_alive is False:
        sent.force_close()
    return sent


def _unsent_bytes(request: web.BaseRequest) -> int:
    transport = request.transport
    return transport.get_write_buffer_size() if transport is not None else 0


def _abort(request: web.BaseRequest) -> None:
    """Close a caller's connection so that the answer does not look complete."""
    if request.transport is not None:
        request.transport.abort()

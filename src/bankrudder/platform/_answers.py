"""Headers of requests to endpoints, and decoding of the endpoints' answers."""

import asyncio
import math
import re
from collections.abc import Iterable

import aiohttp
from multidict import CIMultiDict

from bankrudder.decoding import decode_decimal
from bankrudder.fleet import (
    Answered,
    Endpoint,
    Generation,
    Headers,
    LossReason,
    Lost,
    OpenedStream,
    OutgoingRequest,
    RefusalReason,
    Refused,
    SendOutcome,
    StreamOutcome,
)
from bankrudder.memory import MemoryBudget
from bankrudder.platform import _names as names
from bankrudder.platform._body_end import was_cut_off
from bankrudder.platform._bounded_answers import read_body
from bankrudder.platform._events import read_events
from bankrudder.platform._load_reports import reported_load
from bankrudder.platform._transfers import NoMemoryError, read_answer_body
from bankrudder.world import ModelVersion

NOT_FORWARDED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Host",
        "Expect",
        names.REMAINING_TIME_MS,
        names.EXPECTED_ENDPOINT,
        names.LAST_EVENT_ID,
    )
)
"""Headers that apply to one connection only, or that are set for each attempt."""

NOT_SENT_HEADERS = NOT_FORWARDED_HEADERS | {names.WORKSPACE.lower()}
"""Headers that are not copied from a caller's request.

A caller cannot choose the workspace that its request belongs to.
"""


MAX_EVENTS_PER_TOKEN = 2
EXTRA_EVENT_COUNT = 64
"""Events that a stream may have for each token that the request allows, and besides:
twice as many and more than engines send, for those that send events without a token."""

_TOKEN_COUNTS = re.compile(r" *\d{1,9} *, *(\d{1,9}) *", re.ASCII)
"""Numbers of prompt tokens and of the output tokens at most."""

MAX_REFUSAL_BYTES = 64 << 10
"""Maximum size of the body of a refusal, which is not used."""

REFUSAL_BODY_TIMEOUT_S = 0.1
"""Time after which the body of a refusal is given up. It usually comes with the head,
and a new connection costs less than a longer wait of the request."""

LOWEST_PRIORITY = 9
"""The least urgent priority that engines accept; 0 is the most urgent."""


def request_headers(endpoint: Endpoint, request: OutgoingRequest) -> CIMultiDict[str]:
    """Return the headers that an endpoint receives."""
    headers = CIMultiDict(
        (name, value)
        for name, value in request.headers
        if name.lower() not in NOT_SENT_HEADERS
    )
    headers["Host"] = request.host
    headers[names.REQUEST_ID] = request.request_id
    headers[names.REMAINING_TIME_MS] = str(max(int(request.timeout_s * 1000), 1))
    headers[names.EXPECTED_ENDPOINT] = endpoint.id
    if request.resume_after >= 0:
        headers[names.LAST_EVENT_ID] = str(request.resume_after)
    if request.workspace:
        headers[names.WORKSPACE] = request.workspace
    if request.generation is not None:
        _set_generation(headers, request.generation)
    return headers


def _set_generation(headers: CIMultiDict[str], generation: Generation) -> None:
    headers[names.MODEL] = generation.model
    headers[names.PRIORITY] = str(min(generation.priority, LOWEST_PRIORITY))
    if generation.max_tokens:
        # The number of prompt tokens is not known here: engines count them.
        headers[names.TOKEN_COUNTS] = f"0,{generation.max_tokens}"


def is_answer_to(response: aiohttp.ClientResponse, request: OutgoingRequest) -> bool:
    """Whether a response belongs to a request, by the identifier that it echoes."""
    # An endpoint may refuse a request before it has read the identifier.
    echoed_ids = response.headers.getall(names.REQUEST_ID, [])
    if not echoed_ids:
        return response.status >= 400 and names.ANSWER_PROOF not in response.headers
    return all(each == request.request_id for each in echoed_ids)


async def read_answer(
    response: aiohttp.ClientResponse, budget: MemoryBudget
) -> SendOutcome:
    """Read a complete answer, or return why there is none.

    An answer that does not fit into the budget is broken off.

    Raises
    ------
    AnswerTooLongError
        If the body is longer than any answer may be.
    """
    load = reported_load(response)
    if _is_refusal(response):
        await _skip_refusal_body(response)
        return Refused(_refusal_reason(response.status), load)
    if "Content-Encoding" in response.headers:
        response.close()
        return Lost(LossReason.BROKEN_OFF)
    try:
        body, held = await read_answer_body(response, budget)
    except NoMemoryError:
        response.close()
        return Lost(LossReason.NO_MEMORY)
    if was_cut_off(response):
        return Lost(LossReason.BROKEN_OFF)
    proof = response.headers.get(names.ANSWER_PROOF, "")
    return Answered(
        response.status, _answer_headers(response), body, load, proof, held=held
    )


async def stream_outcome(
    response: aiohttp.ClientResponse,
    request: OutgoingRequest,
    budget: MemoryBudget,
) -> StreamOutcome:
    """Return the event stream of a response, or its answer if it is not a stream."""
    if not is_answer_to(response, request):
        return Lost(LossReason.FOREIGN_ANSWER)
    if response.status != 200:
        return await read_answer(response, budget)
    version = decode_decimal(response.headers.get(names.WEIGHT_VERSION, ""))
    return OpenedStream(
        response.status,
        _answer_headers(response),
        ModelVersion(version) if version is not None else None,
        read_events(response, max_event_count(request)),
        load=reported_load(response),
    )


def max_event_count(request: OutgoingRequest) -> float:
    """Return how many events the stream of a request may have, with a margin.

    An event contains one token or several. Without a limit on tokens there is none on
    events.
    """
    if request.generation is not None and request.generation.max_tokens:
        max_tokens = request.generation.max_tokens
    else:
        counts = CIMultiDict(request.headers).get(names.TOKEN_COUNTS, "")
        match = _TOKEN_COUNTS.fullmatch(counts)
        if match is None:
            return math.inf
        max_tokens = int(match[1])
    return MAX_EVENTS_PER_TOKEN * max_tokens + EXTRA_EVENT_COUNT


async def _skip_refusal_body(response: aiohttp.ClientResponse) -> None:
    """Read the body of a refusal, so that its connection can be used again.

    The head alone states that the request did not run. A body that is broken, late or
    long only costs the connection.
    """
    try:
        async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
            await read_body(response, MAX_REFUSAL_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError):
        response.close()


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    return response.status == 421 or names.NOT_RUN in response.headers


def _refusal_reason(status: int) -> RefusalReason:
    match status:
        case 421:
            return RefusalReason.OTHER_ENDPOINT
        case 429 | 503:
            return RefusalReason.FULL
        case _:
            return RefusalReason.REJECTED


def _answer_headers(response: aiohttp.ClientResponse) -> Headers:
    return tuple(_forwarded_headers(response.headers.items()))


def _forwarded_headers(headers: Iterable[tuple[str, str]]) -> Iterable[tuple[str, str]]:
    return (
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED_HEADERS
        and name.lower() != names.ENDPOINT_LOAD.lower()
    )

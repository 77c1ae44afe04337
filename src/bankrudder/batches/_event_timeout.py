"""Timeouts for the start and the next event of a stream from an engine.

The timeout of an event follows the engine's usual time between two events, so that a
stalled fast engine is noticed early and a slow one gets more time.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack

from bankrudder.fleet import LossReason, Lost, StreamEvent, StreamOutcome

FIRST_EVENT_TIMEOUT_S = 1.5
"""Timeout for the start of an answer, and again for its first event. An engine that
loads new weights delays them by about a second. Of 5,856 samples on engines that loaded
weights, slowed down and failed, two waited for longer than this: 6.8 and 7.0 s."""

EVENT_TIMEOUT_GAP_FACTOR = 15.0
MIN_EVENT_TIMEOUT_S = 0.6
MAX_EVENT_TIMEOUT_S = 1.5
"""Timeout of a later event, as a multiple of the engine's usual gap between two events,
and its bounds. On engines with a gap of 0.04 s, none of 7,700 samples had a gap of over
0.29 s other than at the end of a run, although some engines slowed down 3.5 times and
some loaded weights. The upper bound applies if no gap is known."""


async def enter_stream(
    stack: AsyncExitStack, stream: AbstractAsyncContextManager[StreamOutcome]
) -> StreamOutcome:
    """Enter a stream; return `Lost` if its answer does not start in time.

    The engine may have queued the sample, and start it seconds later or never.
    """
    try:
        async with asyncio.timeout(FIRST_EVENT_TIMEOUT_S):
            return await stack.enter_async_context(stream)
    except TimeoutError:
        return Lost(LossReason.TIMEOUT)


async def with_event_timeout(
    events: AsyncIterator[StreamEvent], event_timeout_s: Callable[[], float]
) -> AsyncIterator[StreamEvent]:
    """Yield events; raise `TimeoutError` if the next one does not arrive in time."""
    limit_s = FIRST_EVENT_TIMEOUT_S
    while True:
        try:
            async with asyncio.timeout(limit_s):
                event = await anext(events)
        except StopAsyncIteration:
            return
        yield event
        limit_s = event_timeout_s()


def event_timeout_s(gap_s: float | None) -> float:
    """Return the timeout of the next event for an engine's usual gap, if known."""
    if gap_s is None:
        return MAX_EVENT_TIMEOUT_S
    return min(
        max(EVENT_TIMEOUT_GAP_FACTOR * gap_s, MIN_EVENT_TIMEOUT_S), MAX_EVENT_TIMEOUT_S
    )

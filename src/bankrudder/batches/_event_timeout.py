"""How long an engine may be silent within a run."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack

from bankrudder.fleet import LossReason, Lost, StreamEvent, StreamOutcome

FIRST_EVENT_TIMEOUT_S = 1.5
"""Longest wait for a run's answer to begin, and then for its first event: an engine
that takes new weights makes runs wait for about a second. Of 5,856 samples on engines
that loaded, turned slow and failed, two waited for longer: 6.8 and 7.0 s."""

EVENT_TIMEOUT_GAP_FACTOR = 15.0
MIN_EVENT_TIMEOUT_S = 0.6
MAX_EVENT_TIMEOUT_S = 1.5
"""A later event is late after so many times the engine's usual time between two, within
these bounds. On engines of 0.04 s none of 7,700 samples had a gap of over 0.29 s that
was not the end of its run, with engines that turned 3.5 times slower and loads among
them; the longest bound holds where nothing is known."""


async def enter_stream(
    stack: AsyncExitStack, stream: AbstractAsyncContextManager[StreamOutcome]
) -> StreamOutcome:
    """Enter a stream; it counts as lost if its answer does not begin in time.

    The engine may have the sample behind others, and begin in seconds or never.
    """
    try:
        async with asyncio.timeout(FIRST_EVENT_TIMEOUT_S):
            return await stack.enter_async_context(stream)
    except TimeoutError:
        return Lost(LossReason.TIMEOUT)


async def with_event_timeout(
    events: AsyncIterator[StreamEvent], event_timeout_s: Callable[[], float]
) -> AsyncIterator[StreamEvent]:
    """Yield events; raises `TimeoutError` if the next one is not there in time."""
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
    """Return after how many seconds an event is late."""
    if gap_s is None:
        return MAX_EVENT_TIMEOUT_S
    return min(
        max(EVENT_TIMEOUT_GAP_FACTOR * gap_s, MIN_EVENT_TIMEOUT_S), MAX_EVENT_TIMEOUT_S
    )

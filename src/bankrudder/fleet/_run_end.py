"""Cancellation of work at an endpoint once the endpoint has restarted."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bankrudder.fleet._tracked import TrackedEndpoint


class RunEndedError(Exception):
    """The endpoint restarted, so requests to its earlier run will not be answered.

    It is unknown whether the earlier run had started to process the request.
    """


@asynccontextmanager
async def within_run(target: TrackedEndpoint) -> AsyncIterator[None]:
    """Cancel the body when a restart of the endpoint becomes known.

    An endpoint that crashes behind a broken network link closes no connection, so
    without this a request would wait for its timeout.

    Raises
    ------
    RunEndedError
        If the body was cancelled.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as limit:
            with target.end_callback(lambda: limit.reschedule(loop.time())):
                yield
    except TimeoutError:
        if limit.expired():
            raise RunEndedError from None
        raise

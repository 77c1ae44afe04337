"""Work that is of no use any more once an endpoint has started again."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bankrudder.fleet._tracked import TrackedEndpoint


class RunEndedError(Exception):
    """The endpoint started again: what its earlier run worked on will not be answered.

    Whether that run had begun with the work is not known.
    """


@asynccontextmanager
async def within_run(target: TrackedEndpoint) -> AsyncIterator[None]:
    """Break the body off when it is learned that the endpoint has started again.

    An endpoint that crashes behind a cut link closes no connection, so without this a
    request waits for its timeout.

    Raises
    ------
    RunEndedError
        If the body was broken off.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as limit:
            with target.calling_at_end(lambda: limit.reschedule(loop.time())):
                yield
    except TimeoutError:
        if limit.expired():
            raise RunEndedError from None
        raise

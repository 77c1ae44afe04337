"""Requests in progress, which can be ended all at once."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class RequestEndedError(Exception):
    """The request was ended before it was answered; it may have run."""


class RequestsInProgress:
    """The requests that a listener is answering."""

    def __init__(self) -> None:
        self._scopes: set[asyncio.Timeout] = set()

    def __len__(self) -> int:
        return len(self._scopes)

    @asynccontextmanager
    async def track(self) -> AsyncIterator[None]:
        """Track a request while the block runs.

        Raises
        ------
        RequestEndedError
            If the request is ended meanwhile; the block is cancelled.
        """
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes.add(scope)
                try:
                    yield
                finally:
                    self._scopes.discard(scope)
        except TimeoutError:
            if scope.expired():
                raise RequestEndedError from None
            raise

    def end_all(self) -> None:
        """End the requests in progress."""
        now = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now)

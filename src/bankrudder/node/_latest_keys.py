"""Looks at the newest configuration before an unknown key is refused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

import structlog

from bankrudder.store import ReadPace, StoreUnavailableError
from bankrudder.workspaces import UnknownKeyRefreshLimiter
from bankrudder.world import Clock

LOOKS_SHARE = 0.05
LOOKS_PAUSE_S = 0.2
"""Share of the store's reads that looks for unknown keys may take, and the least pause
between two of them: about the time in which an answer is most useful."""

LOOK_TIMEOUT_S = 0.3
"""Longest time for a look: sixty times a usual read of the store."""

MAX_WAITING = 100
"""Requests that wait for a look at once. Unknown keys beyond it are refused unseen, so
that a flood of them holds no memory; a request holds some kilobytes."""

_log = structlog.get_logger("gateway")


class LatestKeys:
    """Shares looks among the requests that came with unknown keys.

    Parameters
    ----------
    refresh : callable
        Reads the newest configuration and puts it in force; raises
        `StoreUnavailableError`.
    pace : UnknownKeyRefresh
        When looks may begin.
    """

    def __init__(
        self, refresh: Callable[[], Awaitable[None]], pace: UnknownKeyRefreshLimiter
    ):
        self._refresh = refresh
        self._pace = pace
        self._looking: asyncio.Task[bool] | None = None
        self._waiting = 0

    @classmethod
    def from_config(
        cls, refresh: Callable[[], Awaitable[None]], pace: ReadPace, clock: Clock
    ) -> Self:
        """Make one that shares the store's reads with the other hosts."""
        pause_s = pace.pause(LOOKS_SHARE, LOOKS_PAUSE_S)
        return cls(refresh, UnknownKeyRefreshLimiter(pause_s, clock))

    async def look(self) -> bool:
        """Wait for a look; return whether the configuration in force is the newest.

        It is taken for that too where too many requests wait already.
        """
        if self._waiting >= MAX_WAITING:
            return True
        self._waiting += 1
        try:
            return await asyncio.shield(self._shared_look())
        finally:
            self._waiting -= 1

    def _shared_look(self) -> "asyncio.Task[bool]":
        if self._looking is None or self._looking.done():
            self._looking = asyncio.ensure_future(self._look_when_due())
        return self._looking

    async def _look_when_due(self) -> bool:
        await asyncio.sleep(self._pace.due_in_s())
        self._pace.begin()
        try:
            async with asyncio.timeout(LOOK_TIMEOUT_S):
                await self._refresh()
        except (StoreUnavailableError, TimeoutError):
            _log.warning("gateway: newest keys not known, store not reached")
            return False
        return True

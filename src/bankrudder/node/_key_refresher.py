"""Looks at the newest configuration before an unknown key is refused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

import structlog

from bankrudder.store import ReadPace, StoreUnavailableError
from bankrudder.workspaces import UnknownKeyRefresh
from bankrudder.world import Clock

REFRESH_READS_SHARE = 0.05
MIN_REFRESH_PAUSE_S = 0.2
"""Share of the store's reads that looks for unknown keys may take, and the least pause
between two of them: about the time in which an answer is most useful."""

REFRESH_TIMEOUT_S = 0.3
"""Longest time for a look: sixty times a usual read of the store."""

MAX_WAITING_COUNT = 100
"""Requests that wait for a look at once. Unknown keys beyond it are refused unseen, so
that a flood of them holds no memory; a request holds some kilobytes."""

_log = structlog.get_logger("gateway")


class KeyRefresher:
    """Shares looks among the requests that came with unknown keys.

    Parameters
    ----------
    refresh : callable
        Reads the newest configuration and puts it in force; raises
        `StoreUnavailableError`.
    pace : UnknownKeyRefresh
        When looks may begin.
    """

    def __init__(self, refresh: Callable[[], Awaitable[None]], pace: UnknownKeyRefresh):
        self._refresh = refresh
        self._pace = pace
        self._refresh_task: asyncio.Task[bool] | None = None
        self._waiting_count = 0

    @classmethod
    def from_config(
        cls, refresh: Callable[[], Awaitable[None]], pace: ReadPace, clock: Clock
    ) -> Self:
        """Make one that shares the store's reads with the other hosts."""
        pause_s = pace.pause(REFRESH_READS_SHARE, MIN_REFRESH_PAUSE_S)
        return cls(refresh, UnknownKeyRefresh(pause_s, clock))

    async def wait_for_refresh(self) -> bool:
        """Wait for a look; return whether the configuration in force is the newest.

        It is taken for that too where too many requests wait already.
        """
        if self._waiting_count >= MAX_WAITING_COUNT:
            return True
        self._waiting_count += 1
        try:
            return await asyncio.shield(self._shared_refresh())
        finally:
            self._waiting_count -= 1

    def _shared_refresh(self) -> "asyncio.Task[bool]":
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.ensure_future(self._refresh_when_due())
        return self._refresh_task

    async def _refresh_when_due(self) -> bool:
        await asyncio.sleep(self._pace.due_in_s())
        self._pace.begin()
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_S):
                await self._refresh()
        except (StoreUnavailableError, TimeoutError):
            _log.warning("gateway: newest keys not known, store not reached")
            return False
        return True

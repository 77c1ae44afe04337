"""Reads the newest configuration before a request with an unknown key is refused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

import structlog

from bankrudder.store import ReadPace, StoreUnavailableError
from bankrudder.workspaces import UnknownKeyRefreshLimiter
from bankrudder.world import Clock

REFRESH_READS_SHARE = 0.05
"""Share of the store's reads that refreshes may take."""

MIN_REFRESH_PAUSE_S = 0.2
"""Shortest time between the starts of two refreshes: about the time within which a
response is most useful to a caller."""

REFRESH_TIMEOUT_S = 0.3
"""Longest duration of a refresh: sixty times that of a usual read of the store."""

MAX_WAITING_COUNT = 100
"""Number of requests that may wait for a refresh at once. Further requests with unknown
keys are refused without a refresh, which bounds the memory that a flood of them takes;
each waiting request holds a few kilobytes."""

_log = structlog.get_logger("gateway")


class KeyRefresher:
    """Refreshes the configuration, once for all requests that wait for it.

    Parameters
    ----------
    refresh : callable
        Reads and applies the newest configuration; raises `StoreUnavailableError`
        if it cannot be read.
    pace : UnknownKeyRefreshLimiter
        Decides when a refresh may begin.
    """

    def __init__(
        self, refresh: Callable[[], Awaitable[None]], pace: UnknownKeyRefreshLimiter
    ):
        self._refresh = refresh
        self._pace = pace
        self._refresh_task: asyncio.Task[bool] | None = None
        self._waiting_count = 0

    @classmethod
    def from_config(
        cls, refresh: Callable[[], Awaitable[None]], pace: ReadPace, clock: Clock
    ) -> Self:
        """Create a refresher whose rate leaves the other hosts their share of reads."""
        pause_s = pace.pause(REFRESH_READS_SHARE, MIN_REFRESH_PAUSE_S)
        return cls(refresh, UnknownKeyRefreshLimiter(pause_s, clock))

    async def wait_for_refresh(self) -> bool:
        """Wait for a refresh; return whether the known configuration is the newest.

        Returns True without a refresh if `MAX_WAITING_COUNT` requests already wait.
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

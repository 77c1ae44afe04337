"""Following of the versions that engines have loaded, while a host has work."""

import asyncio

import structlog

from bankrudder.store import TableFollower

RESTART_PAUSE_S = 0.15
"""Pause before following that failed is started again."""

_log = structlog.get_logger("batches")


class LoadFollowing:
    """Follows the loaded versions while this host has work: each change costs a read.

    Parameters
    ----------
    follower : TableFollower or None
        Follows the table of loaded versions; None if nothing is followed.
    """

    def __init__(self, follower: TableFollower | None):
        self._follower = follower
        self._task: asyncio.Task[None] | None = None

    def set_active(self, is_active: bool) -> None:
        """Start or stop following."""
        if self._follower is None:
            return
        if is_active and self._task is None:
            self._task = asyncio.ensure_future(self._follow(self._follower))
        elif not is_active and self._task is not None:
            self._task.cancel()
            self._task = None

    @staticmethod
    async def _follow(follower: TableFollower) -> None:
        while True:
            try:
                await follower.run()
            except Exception:
                _log.exception("batches: loaded versions not followed, trying again")
            await asyncio.sleep(RESTART_PAUSE_S)

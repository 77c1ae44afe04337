"""Periodic work of the host that holds a duty."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from bankrudder.store import StoreUnavailableError

_log = structlog.get_logger("leases")


async def repeat_on_duty(
    duty: str,
    is_on_duty: Callable[[], bool],
    pause_s: float,
    work: Callable[[], Awaitable[None]],
) -> None:
    """Run `work` after each pause while this host holds the duty, until cancelled.

    Parameters
    ----------
    duty : str
        Name of the duty in log lines.
    """
    while True:
        await asyncio.sleep(pause_s)
        if not is_on_duty():
            continue
        try:
            await work()
        except StoreUnavailableError as error:
            _log.warning(
                "leases: duty work failed, store unavailable",
                duty=duty,
                reason=error.error_kind.value,
            )

"""Work that one host does from time to time."""

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
    """Do `work` after each pause while this host is on duty, until cancelled.

    Parameters
    ----------
    duty : str
        What it is, for log lines.
    """
    while True:
        await asyncio.sleep(pause_s)
        if not is_on_duty():
            continue
        try:
            await work()
        except StoreUnavailableError as error:
            _log.warning(
                "leases: duty put off", duty=duty, reason=error.error_kind.value
            )

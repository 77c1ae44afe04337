"""Waiting for attempts in a process that may stall.

After a stall of the process its timers are due, and so are the answers and losses that
arrived meanwhile, which take a few more steps of the event loop. A request that crashes
endpoints would be sent to a second and a third one at once, because the time to hedge
has passed and the loss that is already in the socket has not been read.
"""

import asyncio
from collections.abc import Iterable
from typing import TypeVar

from bankrudder.world import Clock

T = TypeVar("T")

MAX_TIMER_DELAY_S = 0.03
"""Delay of a timer from which on the process is taken to have stalled: half of the
shortest delay of a hedge."""

STALL_RECOVERY_S = 0.02
"""Time for which attempts are waited for after a stall: a few times what the event loop
needs for what arrived in it."""


async def first_done(
    tasks: Iterable["asyncio.Task[T]"], timeout_s: float, clock: Clock
) -> set["asyncio.Task[T]"]:
    """Return the tasks that ended first, none if none ended in time.

    A time-out counts only while the process does not stall.
    """
    pending = set(tasks)
    while True:
        due = clock.monotonic() + timeout_s
        done, _ = await asyncio.wait(
            pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if done or clock.monotonic() - due <= MAX_TIMER_DELAY_S:
            return done
        timeout_s = STALL_RECOVERY_S

"""Long computations, which run in a thread so that the event loop goes on."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

Result = TypeVar("Result")


class LongWork:
    """Runs computations one at a time.

    With several at a time, the event loop would get the interpreter only as often as
    each of them.
    """

    def __init__(self) -> None:
        # Its thread begins with the first computation.
        self._executor = ThreadPoolExecutor(1, "long-work")

    async def run(self, compute: Callable[[], Result]) -> Result:
        """Return what a function returns, or raise what it raises."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, compute)

"""Receipt of requests, of which only so many are in memory before they are looked at.

gRPC receives the message of a unary request before it calls the method. A method with a
stream of requests is called first, and a message is the same on the wire in both cases.
So requests are received as streams of one message.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason

MAX_RECEIVING = 2
"""Largest number of messages that are received at the same time. Until they are
decoded, each takes up to twice the largest message."""

MAX_WAITING = 4096
"""Largest number of requests that wait until their message is received, as many as one
caller may have in progress by default."""

RECEIVE_TIMEOUT_S = 3.0
"""Time within which a message has to arrive, once it is received."""

WAIT_TIMEOUT_S = 3.0
"""Longest time for which a request waits until its message is received."""

RETRY_AFTER_S = 1.0
"""Retry delay for a request whose message was not received."""


class MessageReceiver:
    """Receives the messages of requests, a few at a time."""

    def __init__(self) -> None:
        self._places = asyncio.Semaphore(MAX_RECEIVING)
        self._waiting_count = 0

    async def receive(self, messages: AsyncIterator[Any]) -> Any:
        """Return the message of a request, None if it has none.

        Raises
        ------
        NotRunError
            ``OVERLOADED`` if it was not received in time, or too many others wait.
        """
        if self._waiting_count >= MAX_WAITING:
            raise _overloaded(f"{MAX_WAITING} other requests wait for their message")
        self._waiting_count += 1
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await self._places.acquire()
        except TimeoutError:
            raise _overloaded(f"{MAX_RECEIVING} other messages are received") from None
        finally:
            self._waiting_count -= 1
        try:
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                return await anext(messages, None)
        except TimeoutError:
            raise _overloaded("the message did not arrive") from None
        finally:
            self._places.release()


def _overloaded(detail: str) -> NotRunError:
    return NotRunError(FailureReason.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)

"""The sockets of readers and subscribers.

Nothing is acknowledged: a message that is lost is noticed by its number, and the host
then reads the store itself.
"""

import asyncio
from collections.abc import Callable

import msgspec
import pynng
import structlog

from bankrudder.feeds._messages import FeedMessage, decode, encode
from bankrudder.world import Address

QUEUE_MESSAGES = 64
"""Messages that wait for a slow subscriber before some are lost: several seconds."""

RETRY_PAUSE_S = 0.2
"""Pause after a failed receive."""

_log = structlog.get_logger("feeds")


class PublisherLink:
    """Sends to all subscribers; owns its socket."""

    def __init__(self, address: Address):
        self._socket = pynng.Pub0(send_buffer_size=QUEUE_MESSAGES)
        self._socket.listen(f"tcp://{address}")

    def send(self, message: FeedMessage) -> None:
        """Send a message; one that finds no room is lost."""
        try:
            self._socket.send(encode(message), block=False)
        except pynng.TryAgain:
            _log.info("feeds: no room for a message", reader_number=message.number)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class SubscriberLink:
    """Receives from one reader; owns its socket and the task that reads it."""

    def __init__(self, address: Address, take: Callable[[FeedMessage], None]):
        self._socket = pynng.Sub0(topics=[b""], recv_buffer_size=QUEUE_MESSAGES)
        self._socket.dial(f"tcp://{address}", block=False)
        self._take = take
        self._task = asyncio.ensure_future(self._receive())

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._task.cancel()
        self._socket.close()

    async def _receive(self) -> None:
        while True:
            try:
                message = decode(await self._socket.arecv())
            except msgspec.DecodeError as error:
                _log.warning("feeds: message not understood", reason=str(error))
                continue
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # Until it works again this host reads the store itself.
                _log.warning("feeds: nothing received", reason=type(error).__name__)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._take(message)

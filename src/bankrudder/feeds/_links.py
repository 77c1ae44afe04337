"""The sockets of readers and subscribers.

Messages are not acknowledged: a subscriber detects a lost message by a gap in the
message numbers, and then reads the store itself.
"""

import asyncio
from collections.abc import Callable

import pynng
import structlog

from bankrudder.decoding import UnreadableDocumentError
from bankrudder.feeds._listening import SubscriberListener
from bankrudder.feeds._messages import FeedMessage, decode, encode
from bankrudder.feeds._places import SubscriberPlaces
from bankrudder.world import Address, SystemClock

QUEUE_MESSAGE_COUNT = 64
"""Queue length for a slow subscriber, beyond which messages are lost: the messages of
several seconds."""

MAX_MESSAGE_BYTES = 32 << 20
"""Maximum size of a received message: that of a reply of the store, whose rows it
holds. The connection of a larger one is closed."""

RETRY_PAUSE_S = 0.2
"""Pause after a failed receive."""

_log = structlog.get_logger("feeds")


class PublisherLink:
    """Sends messages to all subscribers; owns its sockets.

    Parameters
    ----------
    max_subscribers : int
        Largest number of connections of subscribers.
    """

    def __init__(self, address: Address, max_subscribers: int):
        self._socket = pynng.Pub0(send_buffer_size=QUEUE_MESSAGE_COUNT)
        self._subscribers = SubscriberPlaces(self._socket, SystemClock())
        self._listener = SubscriberListener(
            address,
            max_subscribers,
            lambda: self._subscribers.taken_count,
            self._subscribers.take,
        )

    def send(self, message: FeedMessage) -> None:
        """Send a message; it is dropped if the send queue is full."""
        try:
            self._socket.send(encode(message), block=False)
        except pynng.TryAgain:
            _log.info(
                "feeds: send queue full, message dropped", reader_number=message.number
            )

    def close(self) -> None:
        """Close the sockets."""
        self._listener.close()
        self._socket.close()


class SubscriberLink:
    """Receives messages from one reader; owns its socket and the receiving task."""

    def __init__(self, address: Address, apply: Callable[[FeedMessage], None]):
        self._socket = pynng.Sub0(
            topics=[b""],
            recv_buffer_size=QUEUE_MESSAGE_COUNT,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._socket.dial(f"tcp://{address}", block=False)
        self._apply = apply
        self._task = asyncio.ensure_future(self._receive())

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._task.cancel()
        self._socket.close()

    async def _receive(self) -> None:
        while True:
            try:
                message = decode(await self._socket.arecv())
            except UnreadableDocumentError as error:
                _log.warning("feeds: message cannot be decoded", reason=error.reason)
                continue
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # Until messages arrive again, this host reads the store itself.
                _log.warning("feeds: receive failed", reason=type(error).__name__)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._apply(message)

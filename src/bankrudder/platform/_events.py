"""Parser for the event streams that engines send."""

import asyncio
import math
from collections.abc import AsyncIterator

import aiohttp

from bankrudder.decoding import decode_decimal
from bankrudder.fleet import StreamBrokenError, StreamEvent, StreamOverrunError
from bankrudder.platform import _names as names
from bankrudder.platform._body_end import was_cut_off
from bankrudder.world import ModelVersion

MAX_EVENT_BYTES = 1 << 20
"""Maximum size of an event, and of all bytes between two of them: sixty times the size
of the largest events of engines."""

EVENTS_PER_TURN = 100
"""Number of events that are read before other tasks have a turn. An engine sends one or
two at a time; thousands of tiny ones may arrive at once."""

_VERSION_FIELD = names.WEIGHT_VERSION.lower().encode("ascii")


async def read_events(
    response: aiohttp.ClientResponse, max_events: float = math.inf
) -> AsyncIterator[StreamEvent]:
    """Yield the events of a response as they arrive.

    Raises
    ------
    StreamBrokenError
        If the response fails or ends inside an event, or contains invalid data.
    StreamOverrunError
        If there are more than `max_events` events.
    """
    blocks = _EventBlocks()
    unused_bytes = 0
    event_count = 0
    try:
        async for chunk in response.content.iter_any():
            unused_bytes += len(chunk)
            for number, event in enumerate(blocks.split(chunk), 1):
                if event.strip():
                    unused_bytes = 0
                    event_count += 1
                    if event_count > max_events:
                        raise StreamOverrunError(f"more than {max_events} events")
                    yield parse_event(event)
                if number % EVENTS_PER_TURN == 0:
                    await asyncio.sleep(0)
            if unused_bytes > MAX_EVENT_BYTES:
                raise StreamBrokenError(
                    f"event is longer than {MAX_EVENT_BYTES} bytes,"
                    f" {unused_bytes} since the last one"
                )
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise StreamBrokenError(type(error).__name__) from None
    rest = blocks.rest
    if rest.strip():
        raise StreamBrokenError(
            f"stream ended inside an event, after {len(rest)} bytes of it"
        )
    if was_cut_off(response):
        raise StreamBrokenError("connection reset at the end of a stream")


class _EventBlocks:
    """Splits received bytes at the blank lines that end events.

    The parts of an event are joined once, when it is complete. An event may arrive in
    thousands of parts.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    @property
    def rest(self) -> bytes:
        """The bytes after the last blank line."""
        return b"".join(self._parts)

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the blocks that a chunk completes."""
        last_byte = self._parts[-1][-1:] if self._parts else b""
        self._parts.append(chunk)
        if b"\n\n" not in last_byte + chunk:
            return []
        *blocks, rest = self.rest.split(b"\n\n")
        self._parts = [rest]
        return blocks


def parse_event(block: bytes) -> StreamEvent:
    """Parse one event without its terminating blank line.

    Raises
    ------
    StreamBrokenError
        If the event is malformed.
    """
    number: int | None = None
    version: ModelVersion | None = None
    data: list[str] = []
    try:
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.strip() if name != b"data" else value.removeprefix(b" ")
            match name:
                case b"data":
                    data.append(value.decode("utf-8"))
                case b"id" if number is not None:
                    raise StreamBrokenError("event has two id fields")
                case b"id":
                    number = _number(value)
                case _ if name.lower() == _VERSION_FIELD:
                    version = ModelVersion(_number(value))
                case b"" | b"event" | b"retry":
                    pass
                case _:
                    raise StreamBrokenError("event has an unknown field")
    except UnicodeDecodeError as error:
        raise StreamBrokenError("event has an invalid encoding") from error
    if number is None:
        raise StreamBrokenError("event has no id field")
    return StreamEvent(number, "\n".join(data), version, block + b"\n\n")


def _number(value: bytes) -> int:
    number = decode_decimal(value)
    if number is None:
        raise StreamBrokenError("event has an invalid number or version")
    return number

"""Parser for the event streams that engines send."""

from collections.abc import AsyncIterator

import aiohttp

from bankrudder.decoding import decode_decimal
from bankrudder.fleet import StreamBrokenError, StreamEvent
from bankrudder.platform import _names as names
from bankrudder.platform._body_end import was_cut_off
from bankrudder.world import ModelVersion

MAX_EVENT_BYTES = 1 << 20
"""Maximum size of an event: sixty times the size of the largest events of engines."""

_VERSION_FIELD = names.WEIGHT_VERSION.lower().encode("ascii")


async def read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[StreamEvent]:
    """Yield the events of a response as they arrive.

    Raises
    ------
    StreamBrokenError
        If the response fails or ends inside an event, or contains invalid data.
    """
    buffer = b""
    try:
        async for chunk in response.content.iter_any():
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                if event.strip():
                    yield parse_event(event)
            if len(buffer) > MAX_EVENT_BYTES:
                raise StreamBrokenError(f"event is longer than {MAX_EVENT_BYTES} bytes")
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise StreamBrokenError(type(error).__name__) from None
    if buffer.strip():
        raise StreamBrokenError(
            f"stream ended inside an event, after {len(buffer)} bytes of it"
        )
    if was_cut_off(response):
        raise StreamBrokenError("connection reset at the end of a stream")


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

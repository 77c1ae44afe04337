"""Parsing of the event streams that engines send."""

from collections.abc import AsyncIterator

import aiohttp

from bankrudder.fleet import StreamBrokenError, StreamEvent
from bankrudder.platform import _names as names
from bankrudder.world import ModelVersion

MAX_EVENT_BYTES = 1 << 20
"""Longest event that is accepted: sixty times the longest seen."""

_VERSION_FIELD = names.WEIGHT_VERSION.lower().encode("ascii")


async def read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[StreamEvent]:
    """Yield the events of a response as they arrive.

    Raises
    ------
    StreamBrokenError
        If it ends before the response does, or holds something else than events.
    """
    rest = b""
    try:
        async for part in response.content.iter_any():
            *events, rest = (rest + part).split(b"\n\n")
            for event in events:
                if event.strip():
                    yield parse_event(event)
            if len(rest) > MAX_EVENT_BYTES:
                raise StreamBrokenError("event too long")
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise StreamBrokenError(type(error).__name__) from None
    if rest.strip():
        raise StreamBrokenError("ends within an event")


def parse_event(block: bytes) -> StreamEvent:
    """Parse one event without its blank line; raises `StreamBrokenError`."""
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
                case b"id":
                    number = int(value)
                case _ if name.lower() == _VERSION_FIELD:
                    version = ModelVersion(int(value))
                case b"" | b"event" | b"retry":
                    pass
                case _:
                    raise StreamBrokenError("unknown field")
    except ValueError as error:
        raise StreamBrokenError("malformed event") from error
    if number is None:
        raise StreamBrokenError("event without a number")
    return StreamEvent(number, "\n".join(data), version, block + b"\n\n")

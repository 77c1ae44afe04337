"""Bodies that are written in slices, without a copy.

The HTTP library joins a body with its head before it is written, and the connection
keeps what the other side does not take. For a large body that is its size once more.
"""

from collections.abc import Iterator
from typing import Any

from aiohttp import Payload
from aiohttp.abc import AbstractStreamWriter

SLICE_BYTES = 16 << 10
"""Size of the slices. The next one is written when the connection has taken enough."""


def body_slices(body: bytes) -> Iterator[memoryview]:
    """Yield a body in slices that share its memory."""
    view = memoryview(body)
    for begin in range(0, len(body), SLICE_BYTES):
        yield view[begin : begin + SLICE_BYTES]


def outgoing_body(body: bytes) -> "bytes | SlicedPayload | None":
    """Return a body in the form in which the HTTP client sends it without a copy."""
    if len(body) <= SLICE_BYTES:
        return body or None
    return SlicedPayload(body)


class SlicedPayload(Payload):
    """Payload that writes its value in slices."""

    _value: bytes

    def __init__(self, value: bytes):
        super().__init__(value)
        self._size = len(value)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the value as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write all of the value."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the value, at most `content_length` bytes of it."""
        left_bytes = len(self._value) if content_length is None else content_length
        for part in body_slices(self._value):
            if left_bytes <= 0:
                return
            await writer.write(part[:left_bytes])
            left_bytes -= len(part)

    async def as_bytes(self, *_: Any) -> bytes:
        """Return the value."""
        return self._value

"""One attempt to stream from an endpoint, and the stream that a caller receives."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import msgspec

from bankrudder.crashes import Send
from bankrudder.fleet import (
    EndpointClient,
    Headers,
    OutgoingRequest,
    StreamEvent,
    StreamOutcome,
)
from bankrudder.world import ModelVersion


class StreamStarted(msgspec.Struct, frozen=True):
    """A stream that has begun.

    ``events`` raises `StreamBrokenError` if the stream ends early and is not resumed.
    """

    status: int
    headers: Headers
    version: ModelVersion | None
    events: AsyncIterator[StreamEvent]


class StreamAttempt:
    """One stream at one endpoint, which counts as in flight there until `close`."""

    def __init__(self, send: Send, is_suspect: bool):
        self.send = send
        self.target = send.target
        self._is_suspect = is_suspect
        self._stack = AsyncExitStack()

    async def open(
        self, client: EndpointClient, outgoing: OutgoingRequest
    ) -> StreamOutcome:
        self._stack.callback(self.target.occupy(self._is_suspect))
        return await self._stack.enter_async_context(
            client.open_stream(self.target.endpoint, outgoing)
        )

    async def close(self) -> None:
        await self._stack.aclose()

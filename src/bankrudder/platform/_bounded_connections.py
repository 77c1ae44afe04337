"""Connections whose answers may have only so many bytes besides their bodies.

The HTTP client limits the length of a line and the number of fields, but not the bytes
that it skips: blank lines, spaces, informational answers, leading zeros of chunk sizes
and extensions of chunks. A server in trouble may send them without end.
"""

import functools
from typing import Any

import aiohttp
import structlog
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from bankrudder.platform._bounded_answers import AnswerTooLongError

MAX_FRAMING_BYTES = 64 << 10
"""Maximum size of what is not the body of an answer, beyond the size of the body: four
times the largest head that callers may send by default. Chunks of six bytes or more
have less framing than data."""

HEAD_PART_BYTES = 8 << 10
"""Size of the parts in which a head is parsed. The limit is checked after each of them,
because parsing thousands of informational answers would hold up the event loop."""

HEAD_END = b"\r\n\r\n"

_log = structlog.get_logger("answers")


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections limit the size of what is not the body."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        handler: type[ResponseHandler] = _BoundedResponseHandler
        self._factory = functools.partial(handler, loop=self._loop)


class _BoundedResponseHandler(ResponseHandler):
    """Counts the bytes of an answer that are not its body, and sends no late ones."""

    def __init__(self, loop: Any):
        super().__init__(loop)
        self._received_bytes = 0
        self._body: StreamReader | None = None
        self._is_broken_off = False

    def close(self) -> None:
        """Close the connection, without the rest of a request that was given up.

        Until its rest was sent, the transport would keep the whole body of the request.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    def set_response_params(self, **options: Any) -> None:
        """Begin the next answer."""
        self._received_bytes = 0
        self._body = None
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take a head that was parsed."""
        message, payload = data
        if self._body is None and message.code >= 200:
            self._body = payload
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless they belong to no answer or are too many."""
        if self._is_broken_off:
            return
        if data and self._body is not None and self._body.is_eof():
            self._close_after_answer(len(data))
            return
        begin = 0
        while self._body is None and begin < len(data):
            end = begin + HEAD_PART_BYTES
            # What follows a head is parsed by itself: if it is malformed, the parser
            # drops all that it was given, also the head of a complete answer.
            head_end = data.find(HEAD_END, begin, end)
            if head_end >= 0:
                end = head_end + len(HEAD_END)
            self._parse(data[begin:end])
            begin = end
            if self._is_broken_off or self.transport is None:
                return
        if begin < len(data) or not data:
            self._parse(data[begin:])

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        super().data_received(data)
        error = self.exception()
        if error is not None:
            self._fail_body(error)
        # While the reader of the body is behind, received bytes wait to be parsed.
        elif self.transport is not None and not self._reading_paused:
            self._check_framing(self.transport)

    def _fail_body(self, error: BaseException) -> None:
        """End a body after bytes that cannot be parsed.

        The HTTP client closes the connection, but does not tell the body's reader.
        """
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(aiohttp.ClientPayloadError(str(error)))

    def _check_framing(self, transport: Any) -> None:
        body_bytes = self._body.total_bytes if self._body is not None else 0
        framing_bytes = self._received_bytes - body_bytes
        if framing_bytes <= MAX_FRAMING_BYTES + body_bytes:
            return
        if self._body is not None and self._body.is_eof():
            self._close_after_answer(framing_bytes)
            return
        self._is_broken_off = True
        self._log_closed(
            "head or framing too long, connection closed", framing_bytes, body_bytes
        )
        error = AnswerTooLongError(
            f"{framing_bytes} bytes besides {body_bytes} of the body"
        )
        self.set_exception(error)
        if self._body is not None:
            self._body.set_exception(error)
        self._payload = None  # The error of the closed connection would replace ours.
        transport.abort()

    def _close_after_answer(self, count: int) -> None:
        """Close a connection whose answer is complete; further bytes belong to none."""
        self._log_closed("bytes after an answer, connection closed", count)
        self.abort()

    def _log_closed(self, event: str, count: int, body_bytes: int = 0) -> None:
        peer = self.transport.get_extra_info("peername") if self.transport else None
        host, port = peer[:2] if peer else ("", 0)
        _log.warning(
            f"answers: {event}",
            address=f"{host}:{port}",
            bytes=count,
            body_bytes=body_bytes,
            max_bytes=MAX_FRAMING_BYTES + body_bytes,
        )

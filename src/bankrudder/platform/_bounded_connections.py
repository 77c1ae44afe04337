"""Connections on which only valid answers of limited size are read.

Each head is checked before the HTTP client parses it, which is lenient. Whatever calls
an endpoint, the store or the platform uses these connections, so that bytes that are no
answer are a lost answer for all of them.

The HTTP client limits the length of a line and the number of fields, but not the bytes
that it skips: spaces, informational answers, leading zeros of chunk sizes and
extensions of chunks. A server in trouble may send them without end.
"""

import functools
from typing import Any

import aiohttp
import structlog
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from bankrudder.platform._answer_heads import (
    AnswerHead,
    MalformedHeadError,
    check_line_length,
    may_begin_head,
)
from bankrudder.platform._bounded_answers import AnswerTooLongError

MAX_FRAMING_BYTES = 64 << 10
"""Maximum size of what is not the body of an answer, beyond the size of the body: four
times the largest head that callers may send by default. Chunks of six bytes or more
have less framing than data."""

_log = structlog.get_logger("answers")


class MalformedAnswerError(aiohttp.ClientPayloadError):
    """The received bytes are no answer; the connection is closed."""


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections read only valid answers of limited size."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        handler: type[ResponseHandler] = _BoundedResponseHandler
        self._factory = functools.partial(handler, loop=self._loop)


class _BoundedResponseHandler(ResponseHandler):
    """Checks heads, counts the bytes that are not of a body, and sends no late ones."""

    def __init__(self, loop: Any):
        super().__init__(loop)
        self._received_bytes = 0
        self._is_bodiless = False
        self._head = AnswerHead()
        self._partial_line = bytearray()
        self._body: StreamReader | None = None
        self._is_broken_off = False

    def close(self) -> None:
        """Close the connection, without the rest of a request that was given up.

        Until its rest was sent, the transport would keep the whole body of the request.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        else:
            self._fail_body(aiohttp.ClientConnectionError("connection closed"))
            super().close()

    def abort(self) -> None:
        """Reset the connection."""
        self._fail_body(aiohttp.ClientConnectionError("connection reset"))
        super().abort()

    def set_response_params(self, **options: Any) -> None:
        """Begin the next answer."""
        self._received_bytes = 0
        self._body = None
        self._begin_head(is_bodiless=options.get("skip_payload", False))
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take a head that was parsed."""
        if self._body is None:
            _, self._body = data
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless they belong to no answer or are too many."""
        if self._is_broken_off:
            return
        if not data or self._parser is None:
            # Data that was held back is parsed, or no answer is expected yet.
            self._parse(data)
            return
        while data and self._body is None:
            data = self._read_head(data)
            if self._is_broken_off or self.transport is None:
                return
        if data and self._body is not None and self._body.is_eof():
            self._close_after_answer(len(data))
        elif data:
            self._received_bytes += len(data)
            self._parse(data)

    def _begin_head(self, *, is_bodiless: bool) -> None:
        self._is_bodiless = is_bodiless
        self._head = AnswerHead(is_bodiless=is_bodiless)
        self._partial_line.clear()

    def _read_head(self, data: bytes) -> bytes:
        """Read up to the end of a head; return the bytes after it."""
        begin = 0
        try:
            while (end := data.find(b"\n", begin)) >= 0:
                line = bytes(self._partial_line) + data[begin:end]
                self._partial_line.clear()
                begin = end + 1
                if self._head.add(line):
                    self._received_bytes += begin
                    self._parse_head()
                    return data[begin:]
            self._partial_line += data[begin:]
            check_line_length(self._partial_line)
            if not self._head.status and not may_begin_head(self._partial_line):
                raise MalformedHeadError("bytes that are no HTTP")
        except MalformedHeadError as error:
            self._fail_malformed(error)
            return b""
        self._received_bytes += len(data)
        self._check_framing()
        return b""

    def _parse_head(self) -> None:
        """Parse a head that was read, unless the answer itself is still to come."""
        head = self._head
        self._begin_head(is_bodiless=self._is_bodiless)
        if head.is_interim:
            self._check_framing()
        else:
            self._parse(head.encode())

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        error = self.exception()
        if error is not None:
            self._fail_body(error)
        # While the reader of the body is behind, received bytes wait to be parsed.
        elif not self._reading_paused:
            self._check_framing()

    def _fail_body(self, error: BaseException) -> None:
        """End a body that is not complete.

        The HTTP client does not tell the body's reader of bytes that cannot be parsed,
        and takes a connection that is closed on this side for the end of a body without
        a length.
        """
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(aiohttp.ClientPayloadError(str(error)))

    def _check_framing(self) -> None:
        body_bytes = self._body.total_bytes if self._body is not None else 0
        framing_bytes = self._received_bytes - body_bytes
        if self.transport is None or framing_bytes <= MAX_FRAMING_BYTES + body_bytes:
            return
        if self._body is not None and self._body.is_eof():
            self._close_after_answer(framing_bytes)
            return
        self._log_closed(
            "head or framing too long, connection closed", framing_bytes, body_bytes
        )
        self._break_off(
            AnswerTooLongError(
                f"{framing_bytes} bytes besides {body_bytes} of the body"
            )
        )

    def _fail_malformed(self, error: MalformedHeadError) -> None:
        host, port = self._peer
        _log.warning(
            "answers: not an answer, connection closed",
            address=f"{host}:{port}",
            reason=str(error),
        )
        self._break_off(MalformedAnswerError(str(error)))

    def _break_off(self, error: aiohttp.ClientPayloadError) -> None:
        """Close the connection; whoever waits for the answer gets the error."""
        self._is_broken_off = True
        self.set_exception(error)
        if self._body is not None:
            self._body.set_exception(error)
        self._payload = None  # The error of the closed connection would replace ours.
        if self.transport is not None:
            self.transport.abort()

    def _close_after_answer(self, count: int) -> None:
        """Close a connection whose answer is complete; further bytes belong to none."""
        self._log_closed("bytes after an answer, connection closed", count)
        self.abort()

    def _log_closed(self, event: str, count: int, body_bytes: int = 0) -> None:
        host, port = self._peer
        _log.warning(
            f"answers: {event}",
            address=f"{host}:{port}",
            bytes=count,
            body_bytes=body_bytes,
            max_bytes=MAX_FRAMING_BYTES + body_bytes,
        )

    @property
    def _peer(self) -> tuple[str, int]:
        peer = self.transport.get_extra_info("peername") if self.transport else None
        return peer[:2] if peer else ("", 0)

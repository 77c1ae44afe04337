"""Which bytes are the head of an HTTP/1.1 answer (RFC 9110, RFC 9112).

Parsers of HTTP accept more than the specification allows, and differ in what they make
of it. Bytes that are no answer state nothing: neither a status, nor that a request did
not run, nor where a body ends.
"""

import re

MAX_LINE_BYTES = 8190
MAX_FIELD_COUNT = 128
"""Limits of the HTTP client on a line and on the fields of a head, applied here so that
a head that exceeds them is not kept."""

MAX_LENGTH_DIGITS = 18
"""Largest number of digits of a length that any parser can represent."""

# A reason phrase is optional in practice, also without the space before it.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?"
)
_FIELD = re.compile(
    rb"(?P<name>[!#$%&'*+\-.^_`|~0-9A-Za-z]+):(?P<value>[\t\x20-\x7e\x80-\xff]*)"
)
_FOLDED = re.compile(rb"[\t ][\t\x20-\x7e\x80-\xff]*")
_DIGITS = re.compile(rb"[0-9]{1,%d}" % MAX_LENGTH_DIGITS)

_CODING = b"transfer-encoding"
_LENGTH = b"content-length"
_BLANK = b"\t "
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class MalformedHeadError(ValueError):
    """The received bytes are not the head of an answer.

    The text does not quote them: they may be of an answer's body.
    """


class AnswerHead:
    """A head of an answer that is received line by line.

    Parameters
    ----------
    is_bodiless : bool
        Whether the request asks for a head only, which may state the length of a body
        that does not follow.
    """

    def __init__(self, *, is_bodiless: bool = False):
        self._is_bodiless = is_bodiless
        self._lines: list[bytes] = []
        self._minor_version = 0
        self._status = 0

    @property
    def status(self) -> int:
        """The status, 0 before the first line."""
        return self._status

    @property
    def is_interim(self) -> bool:
        """Whether the answer itself is still to come."""
        return 100 <= self._status < 200

    def add(self, line: bytes) -> bool:
        """Add a line without its line feed; return whether it completes the head.

        Raises
        ------
        MalformedHeadError
            If no answer has such a line at this place.
        """
        line = line.removesuffix(b"\r")
        check_line_length(line)
        if not self._lines:
            self._add_status_line(line)
        elif not line:
            self._complete()
            return True
        elif line.startswith((b" ", b"\t")):
            self._add_folded(line)
        else:
            self._add_field(line)
        return False

    def encode(self) -> bytes:
        """Return the head as HTTP/1.0 or HTTP/1.1, without folded lines.

        Fields that would frame a body are left out if they are unsound and no body
        follows.
        """
        return b"\r\n".join([*self._lines, b"", b""])

    def _add_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError(f"status line of {len(line)} bytes is none")
        self._minor_version = int(match["minor"])
        self._status = int(match["status"])
        if self._status == _SWITCHING_PROTOCOLS:
            raise MalformedHeadError("another protocol, which was not asked for")
        if self._minor_version > 1:
            line = b"HTTP/1.1" + line[len(b"HTTP/1.x") :]
        self._lines.append(line)

    def _add_field(self, line: bytes) -> None:
        if not _FIELD.fullmatch(line):
            raise MalformedHeadError(f"{self._position} of {len(line)} bytes is none")
        if len(self._lines) > MAX_FIELD_COUNT:
            raise MalformedHeadError(f"more than {MAX_FIELD_COUNT} fields")
        self._lines.append(line)

    def _add_folded(self, line: bytes) -> None:
        if len(self._lines) == 1 or not _FOLDED.fullmatch(line):
            raise MalformedHeadError(f"{self._position} is folded")
        self._lines[-1] += b" " + line.strip(_BLANK)
        check_line_length(self._lines[-1])

    def _complete(self) -> None:
        try:
            self._check_framing()
        except MalformedHeadError:
            if self._has_body:
                raise
            # Whatever these fields state, there is no body that they could frame.
            framing = (_CODING, _LENGTH)
            self._lines[1:] = [
                line for line in self._lines[1:] if _name(line) not in framing
            ]

    @property
    def _position(self) -> str:
        return f"field {len(self._lines)}"

    @property
    def _has_body(self) -> bool:
        is_without = self.is_interim or self._status in (_NO_CONTENT, _NOT_MODIFIED)
        return not (self._is_bodiless or is_without)

    def _check_framing(self) -> None:
        """Check that the body has one end, which can be found."""
        codings = self._values(_CODING)
        lengths = self._values(_LENGTH)
        if codings and lengths:
            raise MalformedHeadError("a length and a transfer coding")
        if codings and not self._minor_version:
            raise MalformedHeadError("a transfer coding of HTTP/1.0")
        # A body in any other coding is not decoded here.
        if codings and [each.lower() for each in codings] != [b"chunked"]:
            raise MalformedHeadError("a transfer coding that is not chunked")
        if lengths and (len(lengths) > 1 or not _DIGITS.fullmatch(lengths[0])):
            raise MalformedHeadError(f"{len(lengths)} lengths, or one that is none")

    def _values(self, name: bytes) -> list[bytes]:
        return [
            line.partition(b":")[2].strip(_BLANK)
            for line in self._lines[1:]
            if _name(line) == name
        ]


def _name(line: bytes) -> bytes:
    return line.partition(b":")[0].lower()


def may_begin_head(data: bytes | bytearray) -> bool:
    """Whether a first line that is received in part may be one of an answer."""
    begin = b"HTTP/1."
    return begin.startswith(data[: len(begin)])


def check_line_length(line: bytes | bytearray) -> None:
    """Raise `MalformedHeadError` if a line, or a part of it, is too long."""
    if len(line) > MAX_LINE_BYTES:
        raise MalformedHeadError(f"line of {len(line)} bytes or more")

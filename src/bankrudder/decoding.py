"""Decoding of everything that another process wrote or sent.

Any program may write the rows, documents, messages and headers that this one reads. The
functions here accept a valid value of the expected type and raise one error for all
other bytes. Other modules decode only through them.
"""

from types import UnionType
from typing import Annotated, Any, TypeVar, overload

import msgspec

MAX_INT = 2**63 - 1
"""Largest integer that is accepted: the codecs of messages have 64 bits."""

MAX_INT_DIGITS = len(str(MAX_INT))

MAX_REASON_CHARS = 200
"""Longest reason kept for an unreadable document: the reason is logged, and may quote
text that any writer of the document chose."""

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]

DECODE_ERRORS = (msgspec.DecodeError, ValueError, OverflowError, RecursionError)
"""Exceptions of the decoders for invalid input.

`RecursionError` is raised for documents with too many levels of nesting.
"""

_T = TypeVar("_T")


class UnreadableDocumentError(Exception):
    """A document cannot be decoded; ``reason`` gives the cause."""

    def __init__(self, reason: str):
        self.reason = reason[:MAX_REASON_CHARS]
        super().__init__(self.reason)


def decode_json(data: bytes | msgspec.Raw, kind: type[_T]) -> _T:
    """Decode a JSON document of the given type.

    Raises
    ------
    UnreadableDocumentError
        If the bytes are anything else.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise UnreadableDocumentError(str(error)) from None


@overload
def decode_msgpack(data: bytes, kind: type[_T]) -> _T: ...


@overload
def decode_msgpack(data: bytes, kind: UnionType) -> Any: ...


def decode_msgpack(data: bytes, kind: Any) -> Any:
    """Decode a MessagePack document; raises the same error as `decode_json`."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise UnreadableDocumentError(str(error)) from None


def decode_decimal(text: str | bytes) -> int | None:
    """Return the integer from 0 to `MAX_INT` in a header or query, None if invalid.

    The digits of other scripts, which `str.isdigit` accepts, are invalid.
    """
    if len(text) > MAX_INT_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    number = int(text)
    return number if number <= MAX_INT else None

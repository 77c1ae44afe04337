"""Orders and answers of calls."""

from enum import Enum

import msgspec

from bankrudder.presence import Lifetime
from bankrudder.world import (
    Caller,
    CallKey,
    DataClassName,
    HostId,
    ModelVersion,
    PoolName,
)

NO_KEY = CallKey("")


class CallOrder(msgspec.Struct, frozen=True):
    """What a caller asks for.

    Attributes
    ----------
    method : str
        Method of a plain service, empty for an engine.
    key : CallKey
        Idempotency key, `NO_KEY` if the caller sent none.
    max_tokens : int
        Most tokens to generate, for an engine; 0 for the engine's own bound.
    deadline : float
        Monotonic time after which the caller no longer waits.
    trace : str
        W3C ``traceparent`` of the span that received the call, or empty.
    """

    caller: Caller
    data_class: DataClassName
    pool: PoolName
    deadline: float
    method: str = ""
    payload: bytes = b""
    key: CallKey = NO_KEY
    max_tokens: int = 0
    trace: str = ""


class AnswerChunk(msgspec.Struct, frozen=True):
    """A part of an answer; ``offset`` is that of its first byte in the whole."""

    offset: int
    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True):
    """The mark that an answer is whole.

    Attributes
    ----------
    length : int
        Bytes of the whole answer.
    versions : tuple of ModelVersion
        Weight versions that produced it, in order of first use.
    endpoint : str
        The endpoint that made it, empty for a stream that went on elsewhere.
    replayed : bool
        Whether an earlier request with the same key had produced it.
    """

    length: int
    versions: tuple[ModelVersion, ...] = ()
    endpoint: str = ""
    replayed: bool = False


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of a plain service."""

    body: bytes
    endpoint: str = ""


class RecordState(Enum):
    """What became of a key."""

    RUNNING = "running"
    """It is being sent, or was when its host ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The endpoint answered with an error."""

    UNKNOWN = "unknown"
    """It was sent, and no answer came."""


class CallRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What is kept of a key.

    Attributes
    ----------
    fingerprint : bytes
        Hash of the request, so that a key is not used for another one.
    host, lifetime
        Which run of which host sends it.
    attempt : str
        Unique for each time that a record is begun.
    body : bytes
        The answer, unless it is long: then it is the object ``object_name``.
    detail : str
        Why there is no answer.
    """

    fingerprint: bytes
    host: HostId
    lifetime: Lifetime
    attempt: str
    state: RecordState = RecordState.RUNNING
    body: bytes = b""
    object_name: str = ""
    endpoint: str = ""
    detail: str = ""

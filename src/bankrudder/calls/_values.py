"""Values of calls: parameters, answers, and records of idempotency keys."""

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


class CallSpec(msgspec.Struct, frozen=True):
    """Parameters of a call.

    Attributes
    ----------
    method : str
        Method of a service pool, empty for an engine pool.
    key : CallKey
        Idempotency key, `NO_KEY` if the caller sent none.
    max_tokens : int
        Most tokens that an engine generates; 0 for the limit of the engine.
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
    """A part of an answer; ``offset`` is the position of its first byte."""

    offset: int
    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True):
    """The end of a complete answer.

    Attributes
    ----------
    length : int
        Length of the answer in bytes.
    versions : tuple of ModelVersion
        Weight versions that generated the answer, in order of first use.
    endpoint : str
        The endpoint that answered, empty for a stream.
    replayed : bool
        Whether the answer was recorded by an earlier request with the same key.
    """

    length: int
    versions: tuple[ModelVersion, ...] = ()
    endpoint: str = ""
    replayed: bool = False


class Answer(msgspec.Struct, frozen=True):
    """A complete answer of a service pool."""

    body: bytes
    endpoint: str = ""


class RecordState(Enum):
    """State of a request whose idempotency key is recorded."""

    RUNNING = "running"
    """The request is being sent, or was being sent when its host stopped."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The endpoint answered with an error."""

    UNKNOWN = "unknown"
    """The request was sent, and its outcome is not known."""


class CallRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of an idempotency key.

    Attributes
    ----------
    fingerprint : bytes
        Hash of the request; a different request with the same key is refused.
    host, lifetime
        The host that sends the request, and the lifetime of its process.
    attempt : str
        Unique identifier of the attempt that created the record.
    body : bytes
        The answer; a long one is stored as the object ``object_name`` instead.
    detail : str
        Error text if there is no answer.
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

"""Decoding of batches, and encoding of their results."""

import base64
import re
from typing import Annotated

import msgspec

from bankrudder.batches import (
    Batch,
    BatchId,
    ResultPage,
    ResultState,
    RewardCall,
    Sample,
)
from bankrudder.decoding import (
    NonNegativeInt,
    UnreadableDocumentError,
    decode_decimal,
    decode_json,
)
from bankrudder.platform import _names as names
from bankrudder.routing import ModelName, Route
from bankrudder.world import (
    NO_WORKSPACE,
    GroupId,
    ModelVersion,
    SampleId,
    WorkspaceName,
)

_DROPPED_HEADERS = frozenset({names.AUTHORIZATION.lower(), names.WORKSPACE.lower()})
"""Headers that are removed from samples, in lower case.

An API key must be neither stored nor forwarded, and a caller cannot choose the
workspace that its request belongs to.
"""

MAX_NAME_BYTES = 200
"""Largest size of a name that becomes part of a row's key, as the store's limit."""

MAX_LENGTH_HINT = 10_000_000
"""Largest estimate of output tokens that is believed: it exceeds the memory of engines
many times."""

TEXT_BYTES = 80
OBJECT_BYTES = 256
"""Memory that a decoded text takes besides its characters, and a decoded object."""

_NAME = rf"^[!-~]{{1,{MAX_NAME_BYTES}}}\Z"
_HEADER_NAME = r"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z"
_HEADER_VALUE = r"^[^\x00-\x08\x0a-\x1f\x7f]*\Z"
_TARGET = r"^/[!-~]*\Z"

_Name = Annotated[str, msgspec.Meta(pattern=_NAME)]
_HeaderName = Annotated[str, msgspec.Meta(pattern=_HEADER_NAME)]
_HeaderValue = Annotated[str, msgspec.Meta(pattern=_HEADER_VALUE)]
_Target = Annotated[str, msgspec.Meta(pattern=_TARGET)]

_WIRE_STATES = {ResultState.SUCCEEDED: "succeeded", ResultState.ABORTED: "aborted"}


class MalformedBatchError(Exception):
    """A batch is malformed; `field` is the invalid field or the decoder's error."""

    def __init__(self, field: str):
        super().__init__(field)
        self.field = field


class _WireReward(msgspec.Struct):
    """The request that scores a sample; ``body`` is base64."""

    id: _Name
    host: _HeaderValue
    path: _Target
    body: str = ""


class _WireSample(msgspec.Struct):
    """A sample.

    ``body`` is base64. ``tokens`` is the maximum number of prompt and generated tokens.
    """

    id: _Name
    path: _Target
    headers: dict[_HeaderName, _HeaderValue] = {}
    body: str = ""
    tokens: NonNegativeInt = 0
    group: str = ""
    scorer: _WireReward | None = None


class _WireBatch(msgspec.Struct):
    items: list[msgspec.Raw]
    step: NonNegativeInt = 0
    model: str = ""
    min_version: NonNegativeInt = 0
    target_groups: NonNegativeInt = 0


class _WireResult(msgspec.Struct):
    id: str
    state: str
    text: str
    versions: list[int]
    score: str


class _WirePage(msgspec.Struct):
    total_count: int
    results: list[_WireResult]
    next: int


def decode_batch(
    batch_id: str,
    route: Route,
    host: str,
    body: bytes,
    workspace: WorkspaceName = NO_WORKSPACE,
) -> Batch:
    """Decode a batch of a workspace.

    Raises
    ------
    MalformedBatchError
        If the body is not a valid batch.
    """
    if not re.fullmatch(_NAME, batch_id):
        raise MalformedBatchError(names.REQUEST_ID)
    try:
        wire = decode_json(body, _WireBatch)
        # One by one, as samples in the wire's form take many times their size.
        samples = tuple(
            _decode_sample(number, item) for number, item in enumerate(wire.items)
        )
    except (UnreadableDocumentError, ValueError) as error:
        raise MalformedBatchError(str(error)) from None
    if not samples:
        raise MalformedBatchError("items")
    if len({each.id for each in samples}) != len(samples):
        raise MalformedBatchError("items: an id stands twice")
    model = wire.model or dict(samples[0].headers).get(names.MODEL, "")
    if len(model.encode()) > MAX_NAME_BYTES:
        raise MalformedBatchError("model")
    return Batch(
        id=BatchId(batch_id),
        route=route.name,
        host=host,
        model=ModelName(model),
        min_version=ModelVersion(wire.min_version),
        target_groups=wire.target_groups,
        samples=samples,
        workspace=workspace,
    )


def encode_page(page: ResultPage) -> bytes:
    """Encode a page of results."""
    results = [
        _WireResult(
            each.id,
            _WIRE_STATES[each.state],
            each.text,
            [int(version) for version in each.versions],
            each.score,
        )
        for each in page.results
    ]
    return msgspec.json.encode(
        _WirePage(page.sample_count, results, page.next_position)
    )


def decoding_bytes(body: bytes) -> int:
    """Return about how much memory it takes to decode and store a batch.

    It is estimated without decoding, from the number of texts and objects. The content
    is counted twice, once decoded and once as it is stored.
    """
    text_count = body.count(b'"') // 2
    object_count = body.count(b"{")
    return 2 * len(body) + TEXT_BYTES * text_count + OBJECT_BYTES * object_count


def _decode_sample(number: int, item: msgspec.Raw) -> Sample:
    try:
        return _sample(decode_json(item, _WireSample))
    except UnreadableDocumentError as error:
        raise UnreadableDocumentError(f"items[{number}]: {error.reason}") from None


def _sample(wire: _WireSample) -> Sample:
    reward = None
    if wire.scorer is not None:
        reward = RewardCall(
            wire.scorer.id,
            wire.scorer.host,
            wire.scorer.path,
            _decode_base64(wire.scorer.body),
        )
    hint = decode_decimal(wire.headers.get(names.LENGTH_HINT, "")) or 0
    return Sample(
        id=SampleId(wire.id),
        target=wire.path,
        headers=tuple(
            (name, value)
            for name, value in wire.headers.items()
            if name.lower() not in _DROPPED_HEADERS
        ),
        body=_decode_base64(wire.body),
        # A sample without a group forms a group of its own.
        group=GroupId(wire.group or wire.id),
        length_hint=hint if hint <= MAX_LENGTH_HINT else 0,
        reward=reward,
    )


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)

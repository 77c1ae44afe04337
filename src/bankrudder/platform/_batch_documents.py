"""Decoding of batches, and encoding of their results."""

import base64
import binascii

import msgspec

from bankrudder.batches import (
    Batch,
    BatchId,
    ResultPage,
    ResultState,
    RewardCall,
    Sample,
)
from bankrudder.decoding import decode_decimal
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

_WIRE_STATES = {ResultState.SUCCEEDED: "succeeded", ResultState.ABORTED: "aborted"}


class MalformedBatchError(Exception):
    """A batch is malformed; `field` is the invalid field or the decoder's error."""

    def __init__(self, field: str):
        super().__init__(field)
        self.field = field


class _WireReward(msgspec.Struct):
    """The request that scores a sample; ``body`` is base64."""

    id: str
    host: str
    path: str
    body: str = ""


class _WireSample(msgspec.Struct):
    """A sample.

    ``body`` is base64. ``tokens`` is the maximum number of prompt and generated tokens.
    """

    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0
    group: str = ""
    scorer: _WireReward | None = None


class _WireBatch(msgspec.Struct):
    items: list[_WireSample]
    step: int = 0
    model: str = ""
    min_version: int = 0
    target_groups: int = 0


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
    try:
        wire = msgspec.json.decode(body, type=_WireBatch)
        samples = tuple(_sample(each) for each in wire.items)
    except (msgspec.DecodeError, binascii.Error, ValueError) as error:
        raise MalformedBatchError(str(error)) from None
    if not samples:
        raise MalformedBatchError("items")
    if len({each.id for each in samples}) != len(samples):
        raise MalformedBatchError("items: an id stands twice")
    return Batch(
        id=BatchId(batch_id),
        route=route.name,
        host=host,
        model=ModelName(wire.model or _model_of(wire)),
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


def _model_of(wire: _WireBatch) -> str:
    return wire.items[0].headers.get(names.MODEL, "") if wire.items else ""


def _sample(wire: _WireSample) -> Sample:
    reward = None
    if wire.scorer is not None:
        reward = RewardCall(
            wire.scorer.id,
            wire.scorer.host,
            wire.scorer.path,
            base64.b64decode(wire.scorer.body),
        )
    hint = wire.headers.get(names.LENGTH_HINT, "")
    return Sample(
        id=SampleId(wire.id),
        target=wire.path,
        headers=tuple(
            (name, value)
            for name, value in wire.headers.items()
            if name.lower() not in _DROPPED_HEADERS
        ),
        body=base64.b64decode(wire.body),
        # A sample without a group forms a group of its own.
        group=GroupId(wire.group or wire.id),
        length_hint=decode_decimal(hint) or 0,
        reward=reward,
    )

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
from bankrudder.platform import _names as names
from bankrudder.routing import ModelName, Route
from bankrudder.world import (
    NO_WORKSPACE,
    GroupId,
    ModelVersion,
    SampleId,
    WorkspaceName,
)

_NOT_KEPT = frozenset({names.AUTHORIZATION.lower(), names.WORKSPACE.lower()})
"""Headers of samples that are dropped: a key must be neither stored nor passed on, and
a caller does not say whose request it is."""

_STATES = {ResultState.SUCCEEDED: "succeeded", ResultState.ABORTED: "aborted"}


class MalformedBatchError(Exception):
    """A batch cannot be understood; `field` names what is wrong."""

    def __init__(self, field: str):
        super().__init__(field)
        self.field = field


class _WireReward(msgspec.Struct):
    """The call that scores a sample; ``body`` is base64."""

    id: str
    host: str
    path: str
    body: str = ""


class _WireSample(msgspec.Struct):
    """A sample; ``body`` is base64, ``tokens`` those read and generated at most."""

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
        If it is not one.
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
    """Encode results."""
    results = [
        _WireResult(
            each.id,
            _STATES[each.state],
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
            if name.lower() not in _NOT_KEPT
        ),
        body=base64.b64decode(wire.body),
        # A sample without a group is one by itself.
        group=GroupId(wire.group or wire.id),
        length_hint=int(hint) if hint.isdigit() else 0,
        reward=reward,
    )

"""Values that describe batches, their samples, owners, progress and results."""

from enum import Enum
from typing import Annotated, NewType

import msgspec

from bankrudder.decoding import NonNegativeInt
from bankrudder.fleet import Generation, Headers
from bankrudder.routing import ModelName, RouteName
from bankrudder.world import (
    NO_WORKSPACE,
    DataCentreName,
    GroupId,
    ModelVersion,
    SampleId,
    WorkspaceName,
)

BatchId = NewType("BatchId", str)

MAX_CHUNKS = 9999
"""Largest number of rows that hold the samples of a batch: they have four digits."""


class RewardCall(msgspec.Struct, frozen=True):
    """The request that scores a sample once its text is complete."""

    id: str
    host: str
    target: str
    body: bytes


class Sample(msgspec.Struct, frozen=True, omit_defaults=True):
    """One text to generate.

    Attributes
    ----------
    target : str
        Path and query of the request to an engine.
    length_hint : int
        Estimate of the tokens that will be generated, often inaccurate.
    generation : Generation or None
        What to generate, if the headers do not specify it.
    """

    id: SampleId
    target: str
    headers: Headers
    body: bytes
    group: GroupId
    length_hint: int = 0
    reward: RewardCall | None = None
    generation: Generation | None = None


class Batch(msgspec.Struct, frozen=True, omit_defaults=True):
    """All samples of one step of a trainer.

    Attributes
    ----------
    min_version : ModelVersion
        Oldest weights that may generate any of its text.
    target_groups : int
        Number of complete groups that the trainer waits for; 0 for all.
    data_centres : tuple of DataCentreName
        Where the batch may be worked on; empty for anywhere.
    trace : str
        W3C ``traceparent`` of the span in which the batch was received, or empty.
    workspace : WorkspaceName
        Workspace whose callers may read and end the batch. Requests to endpoints name
        it.
    """

    id: BatchId
    route: RouteName
    host: str
    model: ModelName
    min_version: ModelVersion
    target_groups: int
    samples: tuple[Sample, ...]
    data_centres: tuple[DataCentreName, ...] = ()
    trace: str = ""
    workspace: WorkspaceName = NO_WORKSPACE


class BatchHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored description of a batch, without its samples.

    Attributes
    ----------
    digest : str
        SHA-256 of the batch without its trace, to recognise a resent batch.
    chunks : int
        Number of rows that hold the samples, 0 if an object does.
    workspace : WorkspaceName
        Workspace of the batch.
    """

    digest: str
    sample_count: NonNegativeInt
    chunks: Annotated[int, msgspec.Meta(ge=0, le=MAX_CHUNKS)]
    workspace: WorkspaceName = NO_WORKSPACE


class Owner(msgspec.Struct, frozen=True, omit_defaults=True):
    """The host, and its run, that works on a batch; both empty if none does.

    Attributes
    ----------
    accepted_at : float
        Store time in seconds at which the batch was accepted, so that a new owner knows
        when it is due; 0 if unknown.
    work : int
        Tokens that the batch is expected to generate.
    samples : int
        Number of samples of the batch.
    min_version : ModelVersion
        Oldest weights that may generate any of its text.
    data_centres : tuple of DataCentreName
        Where the batch may be worked on; empty for anywhere.
    """

    host: str
    lifetime: str
    model: ModelName
    accepted_at: float = 0.0
    work: NonNegativeInt = 0
    min_version: ModelVersion = ModelVersion(0)
    data_centres: tuple[DataCentreName, ...] = ()
    samples: NonNegativeInt = 0


class ResultState(Enum):
    """How a sample ended."""

    SUCCEEDED = "succeeded"
    ABORTED = "aborted"


class SampleResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of one sample; its position in the batch never changes.

    Attributes
    ----------
    version_events : tuple of int
        Number of events that each of ``versions`` generated.
    """

    id: SampleId
    state: ResultState
    text: str = ""
    versions: tuple[ModelVersion, ...] = ()
    score: str = ""
    version_events: tuple[int, ...] = ()


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """What has been generated of a sample: the data of its events, and their versions.

    Attributes
    ----------
    next_number : int
        Number of the event expected next, -1 before the first one.
    version_events : tuple of int
        Number of events that each of ``versions`` generated.
    content : str
        Digest of the request that the events answer. Another batch may have another
        request under the same identifier.
    """

    texts: tuple[str, ...] = ()
    versions: tuple[ModelVersion, ...] = ()
    next_number: int = -1
    is_whole: bool = False
    version_events: tuple[int, ...] = ()
    content: str = ""


class ResultPage(msgspec.Struct, frozen=True):
    """Results of a batch from a position on."""

    sample_count: int
    results: tuple[SampleResult, ...]
    next_position: int

    @property
    def ends_wait(self) -> bool:
        """Whether a waiting reader is answered: the page has results or is the last."""
        return bool(self.results) or self.next_position >= self.sample_count

"""Batches of samples that trainers ask for, and what becomes of them."""

from enum import Enum
from typing import NewType

import msgspec

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


class RewardCall(msgspec.Struct, frozen=True):
    """The request that scores a sample once its text is whole."""

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
        Estimate of the tokens that will be generated, often far off.
    generation : Generation or None
        What to generate, if the headers do not say it.
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
        Whole groups that the trainer waits for.
    data_centres : tuple of DataCentreName
        Where it may be worked on; empty for anywhere.
    trace : str
        W3C ``traceparent`` of the span that received it, or empty.
    workspace : WorkspaceName
        Whose batch it is: its callers may read and end it, and endpoints are told.
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
    """What is kept about a batch beside its samples.

    Attributes
    ----------
    digest : str
        SHA-256 of the samples, to recognise the batch when it comes again.
    chunks : int
        Rows that hold the samples, 0 if an object does.
    workspace : WorkspaceName
        Whose batch it is.
    """

    digest: str
    sample_count: int
    chunks: int
    workspace: WorkspaceName = NO_WORKSPACE


class Owner(msgspec.Struct, frozen=True, omit_defaults=True):
    """Which run of which host works on a batch; both empty if none does.

    Attributes
    ----------
    accepted_at : float
        Store time in seconds at which the batch was accepted; 0 if the store
        has not told its time yet.
    work : int
        Tokens that the batch is expected to generate.
    samples : int
        Number of its samples.
    min_version : ModelVersion
        Oldest weights that may generate any of its text.
    data_centres : tuple of DataCentreName
        Where the batch may be worked on; empty for anywhere.
    """

    host: str
    lifetime: str
    model: ModelName
    accepted_at: float = 0.0
    work: int = 0
    min_version: ModelVersion = ModelVersion(0)
    data_centres: tuple[DataCentreName, ...] = ()
    samples: int = 0


class ResultState(Enum):
    """How a sample ended."""

    SUCCEEDED = "succeeded"
    ABORTED = "aborted"


class SampleResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """The end of one sample; it keeps its position in the batch for good.

    Attributes
    ----------
    version_events : tuple of int
        Number of events that each version made.
    """

    id: SampleId
    state: ResultState
    text: str = ""
    versions: tuple[ModelVersion, ...] = ()
    score: str = ""
    version_events: tuple[int, ...] = ()


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """What has been generated of a sample: its events and their versions.

    ``next_number`` is the number of the event that has to come next, -1 before
    the first one; ``version_events`` is the number of events that each version made.
    """

    texts: tuple[str, ...] = ()
    versions: tuple[ModelVersion, ...] = ()
    next_number: int = -1
    is_whole: bool = False
    version_events: tuple[int, ...] = ()


class ResultPage(msgspec.Struct, frozen=True):
    """Results from some position on."""

    sample_count: int
    results: tuple[SampleResult, ...]
    next_position: int

    @property
    def ends_wait(self) -> bool:
        """Whether a reader gains nothing by waiting for more."""
        return bool(self.results) or self.next_position >= self.sample_count

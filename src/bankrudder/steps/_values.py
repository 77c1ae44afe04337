"""Parameters for opening a training step."""

import msgspec

from bankrudder.world import (
    JobName,
    ModelVersion,
    SampleSlot,
    StepNumber,
    StepShape,
)


class StepSpec(msgspec.Struct, frozen=True):
    """Parameters with which a trainer opens a step.

    Attributes
    ----------
    prompts : tuple of bytes
        One prompt for each group.
    current_version : ModelVersion
        The newest version that the trainer published, 0 if unspecified.
    held : frozenset of SampleSlot
        Samples that the trainer already has.
    max_tokens : int
        Most tokens of a sample, 0 for the limit of the job.
    trace : str
        W3C ``traceparent`` of the span that received the request, or empty.
    """

    job: JobName
    step: StepNumber
    prompts: tuple[bytes, ...]
    samples_per_group: int
    current_version: ModelVersion = ModelVersion(0)
    held: frozenset[SampleSlot] = frozenset()
    max_tokens: int = 0
    trace: str = ""

    @property
    def shape(self) -> StepShape:
        """Number of groups and of samples per group."""
        return StepShape(len(self.prompts), self.samples_per_group)

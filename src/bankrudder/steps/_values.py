"""What a trainer asks of a host."""

import msgspec

from bankrudder.world import (
    JobName,
    ModelVersion,
    SampleSlot,
    StepNumber,
    StepShape,
)


class StepOrder(msgspec.Struct, frozen=True):
    """What a trainer asks for.

    Attributes
    ----------
    prompts : tuple of bytes
        One for each group.
    current_version : ModelVersion
        The newest version that the trainer published, 0 if it does not say.
    held : frozenset of SampleSlot
        What the trainer already has.
    max_tokens : int
        Most tokens of a sample, 0 for the job's.
    trace : str
        W3C ``traceparent`` of the span that received it, or empty.
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
        """How many samples are asked for."""
        return StepShape(len(self.prompts), self.samples_per_group)

"""Training steps: the samples that a trainer requests and receives."""

import msgspec

from bankrudder.world._ids import ModelVersion


class SampleSlot(msgspec.Struct, frozen=True, order=True):
    """One sample of a step: its group, and its number within the group."""

    group: int
    index: int


class StepShape(msgspec.Struct, frozen=True):
    """Numbers of groups and samples of a step."""

    groups: int
    samples_per_group: int

    @property
    def slots(self) -> frozenset[SampleSlot]:
        """All slots of the step."""
        return frozenset(
            SampleSlot(group, index)
            for group in range(self.groups)
            for index in range(self.samples_per_group)
        )


class VersionSpan(msgspec.Struct, frozen=True):
    """A model version, and the number of stream events that it generated."""

    version: ModelVersion
    events: int


class StepSample(msgspec.Struct, frozen=True):
    """One sample; ``versions`` are in the order of their first events."""

    slot: SampleSlot
    text: bytes
    versions: tuple[VersionSpan, ...]
    sample_id: str

    @property
    def oldest_version(self) -> ModelVersion:
        """The oldest version that generated a part of the sample."""
        return min(span.version for span in self.versions)


class StepEnd(msgspec.Struct, frozen=True):
    """The end of a step, after the delivery of all samples."""

    delivered: int

"""Steps: what a trainer asks for, and what it receives."""

import msgspec

from bankrudder.world._ids import ModelVersion


class SampleSlot(msgspec.Struct, frozen=True, order=True):
    """One sample of a step: its group, and its number within the group."""

    group: int
    index: int


class StepShape(msgspec.Struct, frozen=True):
    """How many samples a step has."""

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
    """A version, and the events of an engine's stream that it made."""

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
        """The oldest version that made any of it."""
        return min(span.version for span in self.versions)


class StepEnd(msgspec.Struct, frozen=True):
    """The mark that all samples were delivered."""

    delivered: int

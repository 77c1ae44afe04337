"""Which samples of a step the client accepts, and which the trainer has processed."""

from collections.abc import Iterable

from bankrudder.world import SampleSlot, StepSample


class ReceivedStep:
    """Accepts the samples of a step that are neither duplicates nor stale.

    Parameters
    ----------
    held : iterable of SampleSlot
        Slots whose samples the trainer has from before a restart.
    max_staleness : int
        Maximum number of versions that a sample may lag the newest published one.

    Attributes
    ----------
    duplicate_count : int
        Samples dropped because their slot was already filled.
    stale_count : int
        Samples dropped because they lag the published version too far.
    """

    def __init__(self, held: Iterable[SampleSlot], max_staleness: int):
        self._held = set(held)
        self._consumed = set(self._held)
        self._max_staleness = max_staleness
        self._stale_slots: set[SampleSlot] = set()
        self._opened_versions: set[int] = set()
        self.duplicate_count = 0
        self.stale_count = 0

    @property
    def held(self) -> frozenset[SampleSlot]:
        """Slots whose samples the trainer has."""
        return frozenset(self._held)

    @property
    def has_missing_samples(self) -> bool:
        """Whether a slot whose stale sample was dropped is still empty."""
        return bool(self._stale_slots - self._held)

    @property
    def consumed(self) -> tuple[SampleSlot, ...]:
        """Slots whose samples the trainer has processed, in order."""
        return tuple(sorted(self._consumed))

    @property
    def opened_versions(self) -> tuple[int, ...]:
        """Each ``current_version`` that a stream was opened with, in order."""
        return tuple(sorted(self._opened_versions))

    def record_opened(self, current_version: int) -> None:
        """Record that a stream is opened with `current_version`."""
        self._opened_versions.add(current_version)

    def accept(self, sample: StepSample, published_version: int) -> bool:
        """Record `sample`; return whether it goes to the trainer.

        Parameters
        ----------
        published_version : int
            Newest version that the trainer has published.
        """
        if sample.slot in self._held:
            self.duplicate_count += 1
            return False
        if sample.oldest_version < published_version - self._max_staleness:
            self.stale_count += 1
            self._stale_slots.add(sample.slot)
            return False
        self._held.add(sample.slot)
        return True

    def record_consumed(self, slot: SampleSlot) -> None:
        """Record that the trainer has processed the sample of a slot."""
        self._consumed.add(slot)

"""What a trainer has received of one step, and what it takes in."""

from collections.abc import Iterable

from bankrudder.world import SampleSlot, StepSample


class ReceivedStep:
    """Decides which samples of a step are new and fresh.

    Parameters
    ----------
    held : iterable of SampleSlot
        Slots whose samples the trainer has from before.
    max_staleness : int
        Most versions by which a sample may lag the newest published one.

    Attributes
    ----------
    duplicates, stale : int
        Samples dropped since their slot was held, or a newer version was published.
    """

    def __init__(self, held: Iterable[SampleSlot], max_staleness: int):
        self._held = set(held)
        self._used = set(self._held)
        self._max_staleness = max_staleness
        self._rejected: set[SampleSlot] = set()
        self._opened: set[int] = set()
        self.duplicates = 0
        self.stale = 0

    @property
    def held(self) -> frozenset[SampleSlot]:
        """Slots whose samples the trainer has."""
        return frozenset(self._held)

    @property
    def is_missing(self) -> bool:
        """Whether a slot's sample was dropped and none has come since."""
        return bool(self._rejected - self._held)

    @property
    def used(self) -> tuple[SampleSlot, ...]:
        """Slots that the trainer's code is done with, in order."""
        return tuple(sorted(self._used))

    @property
    def opened_versions(self) -> tuple[int, ...]:
        """The versions that the step was opened with, in order."""
        return tuple(sorted(self._opened))

    def note_opened(self, current_version: int) -> None:
        """Note that a stream is opened with a version."""
        self._opened.add(current_version)

    def take(self, sample: StepSample, published: int) -> bool:
        """Return whether the trainer is to have `sample`.

        Parameters
        ----------
        published : int
            Newest version that the trainer published.
        """
        if sample.slot in self._held:
            self.duplicates += 1
            return False
        if sample.oldest_version < published - self._max_staleness:
            self.stale += 1
            self._rejected.add(sample.slot)
            return False
        self._held.add(sample.slot)
        return True

    def note_used(self, slot: SampleSlot) -> None:
        """Note that the trainer's code is done with a sample."""
        self._used.add(slot)

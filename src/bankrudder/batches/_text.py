"""What has been generated of one sample: its events, and the versions behind them."""

from bankrudder.batches._values import Progress
from bankrudder.fleet import StreamBrokenError, StreamEvent
from bankrudder.world import ModelVersion


class SampleText:
    """Events in their order, each once."""

    def __init__(self) -> None:
        self._events: list[str] = []
        self._versions: list[ModelVersion] = []
        self._version_events: list[int] = []
        self._next_number = -1
        self.is_whole = False

    def __len__(self) -> int:
        return len(self._events)

    @property
    def text(self) -> str:
        """The data of all events so far."""
        return "\n".join(self._events)

    @property
    def versions(self) -> tuple[ModelVersion, ...]:
        """The versions that made it, in the order of their first events."""
        return tuple(self._versions)

    @property
    def version_events(self) -> tuple[int, ...]:
        """The number of events that each of the versions made."""
        return tuple(self._version_events)

    @property
    def next_number(self) -> int:
        """Number of the event that has to come next, -1 before the first one."""
        return self._next_number

    @property
    def last_number(self) -> int:
        """Number of the last event, -1 before the first one."""
        return self._next_number - 1 if self._events else -1

    @property
    def progress(self) -> Progress:
        """All of it, as it is kept for a later owner or batch."""
        return Progress(
            tuple(self._events),
            self.versions,
            self._next_number,
            self.is_whole,
            self.version_events,
        )

    def resume(self, progress: Progress) -> None:
        """Go on from what was kept."""
        self._events = list(progress.texts)
        self._versions = list(progress.versions)
        self._version_events = list(progress.version_events)
        self._next_number = progress.next_number
        self.is_whole = progress.is_whole

    def add(self, event: StreamEvent, version: ModelVersion | None) -> None:
        """Add the next event.

        Raises
        ------
        StreamBrokenError
            If it is not the one that has to come next.
        """
        if self._events and event.number != self._next_number:
            raise StreamBrokenError(
                f"event {event.number} in place of {self._next_number}"
            )
        if version is not None:
            self._count(version)
        self._events.append(event.data)
        self._next_number = event.number + 1

    def clear(self) -> None:
        """Begin anew."""
        self._events = []
        self._versions = []
        self._version_events = []
        self._next_number = -1

    def _count(self, version: ModelVersion) -> None:
        if version not in self._versions:
            self._versions.append(version)
            self._version_events.append(0)
        self._version_events[self._versions.index(version)] += 1


def can_resume(progress: Progress, min_version: ModelVersion, *, single: bool) -> bool:
    """Whether kept text may be used.

    Parameters
    ----------
    min_version : ModelVersion
        Oldest version that may have made any of it.
    single : bool
        Whether one version must have made all of it.
    """
    if single and len(progress.versions) > 1:
        return False
    if len(progress.version_events) != len(progress.versions):
        return False  # saved by a program that did not count them
    return bool(progress.versions) and min(progress.versions) >= min_version

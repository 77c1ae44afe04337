"""Text generated of one sample: its events, and the versions that generated them."""

import hashlib

import msgspec

from bankrudder.batches._values import Batch, Progress, Sample
from bankrudder.fleet import (
    FIRST_NUMBERS,
    NO_EVENT,
    StreamBrokenError,
    StreamEvent,
    StreamOverrunError,
    follows,
)
from bankrudder.world import ModelVersion

MAX_TEXT_BYTES = 8 << 20
"""Maximum size of the text of a sample: eight times what the store takes in one
transaction."""

EVENT_BYTES = 64
"""Bytes that an event takes besides its data."""


class SampleText:
    """The events of one sample from the first one on, in order, without duplicates."""

    def __init__(self) -> None:
        self._events: list[str] = []
        self._versions: list[ModelVersion] = []
        self._version_events: list[int] = []
        self._last_number = NO_EVENT
        self._run_versions: list[ModelVersion | None] = []
        self._size_bytes = 0
        self.is_whole = False

    def __len__(self) -> int:
        return len(self._events)

    @property
    def text(self) -> str:
        """The data of all events so far."""
        return "\n".join(self._events)

    @property
    def versions(self) -> tuple[ModelVersion, ...]:
        """The versions that generated the text, in the order of their first events."""
        return tuple(self._versions)

    @property
    def version_events(self) -> tuple[int, ...]:
        """The number of events that each of `versions` generated."""
        return tuple(self._version_events)

    @property
    def next_number(self) -> int:
        """Number of the event expected next, -1 before the first one."""
        return self._last_number + 1 if self._events else NO_EVENT

    @property
    def last_number(self) -> int:
        """Number of the last event, -1 before the first one."""
        return self._last_number

    @property
    def progress(self) -> Progress:
        """The text as it is saved for a later owner or batch, without a digest."""
        return Progress(
            tuple(self._events),
            self.versions,
            self.next_number,
            self.is_whole,
            self.version_events,
        )

    def resume(self, progress: Progress) -> None:
        """Replace the text by saved progress."""
        self._events = list(progress.texts)
        self._versions = list(progress.versions)
        self._version_events = list(progress.version_events)
        self._last_number = progress.next_number - 1
        self._run_versions = []
        self._size_bytes = sum(len(each) + EVENT_BYTES for each in self._events)
        self.is_whole = progress.is_whole

    def begin_run(self) -> None:
        """Record that the next events come from another run than the events so far."""
        self._run_versions = []

    def add(self, event: StreamEvent, version: ModelVersion | None) -> None:
        """Add the next event.

        Raises
        ------
        StreamBrokenError
            If it is not the event expected next. If the same run made the last event,
            either of the two may have the wrong number, so the last one is removed.
        StreamOverrunError
            If the text is too long to be stored.
        """
        if not follows(event.number, self._last_number):
            last_number = self._last_number
            self._remove_last_of_run()
            raise StreamBrokenError(f"got event {event.number} after {last_number}")
        self._size_bytes += len(event.data) + EVENT_BYTES
        if self._size_bytes > MAX_TEXT_BYTES:
            raise StreamOverrunError(f"text of {len(self._events)} events is too long")
        if version is not None:
            self._count(version)
        self._events.append(event.data)
        self._run_versions.append(version)
        self._last_number = event.number

    def clear(self) -> None:
        """Remove all events, so that generation starts again."""
        self._events = []
        self._versions = []
        self._version_events = []
        self._run_versions = []
        self._last_number = NO_EVENT
        self._size_bytes = 0

    def _remove_last_of_run(self) -> None:
        if not self._run_versions:
            return
        version = self._run_versions.pop()
        self._size_bytes -= len(self._events.pop()) + EVENT_BYTES
        self._last_number = self._last_number - 1 if self._events else NO_EVENT
        if version is not None:
            self._uncount(version)

    def _uncount(self, version: ModelVersion) -> None:
        index = self._versions.index(version)
        self._version_events[index] -= 1
        if not self._version_events[index]:
            del self._versions[index], self._version_events[index]

    def _count(self, version: ModelVersion) -> None:
        if version not in self._versions:
            self._versions.append(version)
            self._version_events.append(0)
        self._version_events[self._versions.index(version)] += 1


def request_digest(batch: Batch, sample: Sample) -> str:
    """Return the digest of all that determines a sample's text."""
    generation = sample.generation
    parts = (
        batch.workspace,
        batch.host.lower(),
        sample.target,
        sorted(sample.headers),
        sample.body,
        (generation.model, generation.max_tokens) if generation is not None else None,
    )
    return hashlib.sha256(msgspec.msgpack.encode(parts)).hexdigest()


def resume_obstacle(
    progress: Progress,
    content: str,
    min_version: ModelVersion,
    *,
    needs_single_version: bool,
) -> str:
    """Return why a sample may not resume from saved progress, empty if it may.

    Parameters
    ----------
    content : str
        Digest of the sample's request.
    min_version : ModelVersion
        Oldest version that may have generated any of the text.
    needs_single_version : bool
        Whether a single version must have generated all of the text.
    """
    if progress.content != content:
        return "another request"  # or of a release that did not save a digest
    if not _is_consistent(progress):
        return "inconsistent"
    if needs_single_version and len(progress.versions) > 1:
        return "several versions"
    if not progress.versions or min(progress.versions) < min_version:
        return "old version"
    return ""


def _is_consistent(progress: Progress) -> bool:
    return (
        progress.next_number - len(progress.texts) in FIRST_NUMBERS
        and len(progress.version_events) == len(progress.versions)
        and sum(progress.version_events) <= len(progress.texts)
    )

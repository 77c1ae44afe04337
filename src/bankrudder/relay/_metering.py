"""Counting of the requests that endpoints began to run."""

from typing import Protocol

from bankrudder.world import WorkspaceName


class RunMeter(Protocol):
    """Takes note of requests that began to run."""

    def note_begun(self, workspace: WorkspaceName, began_at: float) -> None:
        """Count a request of a workspace that began at a monotonic time."""
        ...


class NoMeter:
    """Counts nothing, where nobody asks for it."""

    def note_begun(self, workspace: WorkspaceName, began_at: float) -> None:
        """Do nothing."""

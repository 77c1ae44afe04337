"""The interface for counting requests that endpoints began to run."""

from typing import Protocol

from bankrudder.world import WorkspaceName


class RunMeter(Protocol):
    """Counts requests that began to run."""

    def note_begun(self, workspace: WorkspaceName, began_at: float) -> None:
        """Count a request of a workspace that began at a monotonic time."""
        ...


class NoMeter:
    """A `RunMeter` that counts nothing, the default of the forwarders."""

    def note_begun(self, workspace: WorkspaceName, began_at: float) -> None:
        """Do nothing."""

"""What the holders of duties tell the platform."""

from typing import NewType

import msgspec

from bankrudder.world import WorkspaceName

UsageWindow = NewType("UsageWindow", int)
"""Number of a window of true time, counted from the Unix epoch."""


class UsageReport(msgspec.Struct, frozen=True):
    """How many requests of each workspace began to run in a window."""

    window: UsageWindow
    counts: dict[WorkspaceName, int]

"""What the holders of duties tell the platform."""

from typing import NewType

import msgspec

from bankrudder.routing import ServiceName
from bankrudder.world import DataCentreName, WorkspaceName

UsageWindow = NewType("UsageWindow", int)
"""Number of a window of true time, counted from the Unix epoch."""


class UsageReport(msgspec.Struct, frozen=True):
    """How many requests of each workspace began to run in a window."""

    window: UsageWindow
    counts: dict[WorkspaceName, int]


class EndpointOrder(msgspec.Struct, frozen=True):
    """How many endpoints a service shall have in a data centre."""

    service: ServiceName
    data_centre: DataCentreName
    count: int

"""Messages that the holders of duties send to the platform."""

from typing import NewType

import msgspec

from bankrudder.decoding import NonNegativeInt
from bankrudder.routing import ServiceName
from bankrudder.world import DataCentreName, WorkspaceName

UsageWindow = NewType("UsageWindow", NonNegativeInt)
"""Number of a usage window, counted from the Unix epoch in the hosts' agreed time."""


class UsageReport(msgspec.Struct, frozen=True):
    """Number of requests of each workspace that started to run in a window."""

    window: UsageWindow
    counts: dict[WorkspaceName, int]


class EndpointOrder(msgspec.Struct, frozen=True):
    """Number of endpoints that a service should have in a data centre."""

    service: ServiceName
    data_centre: DataCentreName
    count: int

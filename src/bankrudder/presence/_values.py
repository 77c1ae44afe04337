"""Heartbeats in the form in which hosts write them to the store."""

from typing import Annotated, NewType

import msgspec

from bankrudder.decoding import NonNegativeInt
from bankrudder.world import Address, DataCentreName, Revision, address_error

Lifetime = NewType("Lifetime", str)
"""Identifier of one run of a daemon; a restart makes a new one."""

HOSTS_TABLE = "hosts"

NO_DATA_CENTRE = DataCentreName("")
"""Data centre of a host that gives none."""

NO_ADDRESS = Address("")
"""Address of a listener that a host does not have."""

HEARTBEAT_INTERVAL_S = 0.5
"""Shortest time between two heartbeats; that of a host that other hosts wait for."""

MAX_INTERVAL_S = 3600.0
"""Longest interval of heartbeats that is believed. A host is taken for dead only some
intervals after its last heartbeat."""


class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a host's row.

    Attributes
    ----------
    count : int
        Number of the heartbeat, counted from one in each run.
    is_leaving : bool
        Whether the host is about to stop as planned.
    room : float
        Capacity of the host, in processor cores of the reference speed.
    interval_s : float
        Seconds until the next heartbeat.
    is_busy : bool
        Whether other hosts wait for the host's work on batches.
    holds_lease : bool
        Whether the host carries out a duty under a lease.
    rpc_address : Address
        Where the host accepts remote procedure calls, empty if it does not.
    revision : Revision
        Revision of the configuration in force on the host.
    feed_address : Address
        Where the host publishes changes of the store when it reads for others, empty
        if it cannot.
    wall_ahead_s : float or None
        How far the host's wall clock is ahead of the store's clock, None if the host
        does not publish it.
    """

    lifetime: Lifetime
    count: NonNegativeInt
    is_leaving: bool = False
    room: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    interval_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_INTERVAL_S)] = (
        HEARTBEAT_INTERVAL_S
    )
    is_busy: bool = False
    holds_lease: bool = False
    data_centre: DataCentreName = NO_DATA_CENTRE
    rpc_address: Address = NO_ADDRESS
    revision: Revision = Revision(0)
    feed_address: Address = NO_ADDRESS
    wall_ahead_s: float | None = None

    def __post_init__(self) -> None:
        for address in (self.rpc_address, self.feed_address):
            if address and (problem := address_error(address)):
                raise ValueError(f"address {address!r}: {problem}")

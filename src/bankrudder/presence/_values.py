"""Heartbeats as hosts write them to the store."""

from typing import NewType

import msgspec

from bankrudder.world import Address, DataCentreName, Revision

Lifetime = NewType("Lifetime", str)
"""Identifier of one run of a daemon; a restart makes a new one."""

HOSTS_TABLE = "hosts"

NO_DATA_CENTRE = DataCentreName("")
NO_ADDRESS = Address("")
"""Where a host is that does not say so, or takes no remote procedure calls."""

HEARTBEAT_S = 0.5
"""Seconds between two heartbeats of a host that others wait for."""


class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a host's row.

    Attributes
    ----------
    count : int
        Grows with each heartbeat.
    is_leaving : bool
        Whether the host is about to stop as planned.
    room : float
        What the host can carry, in cores of usual speed.
    interval_s : float
        Seconds until the next heartbeat.
    is_busy : bool
        Whether others wait for its work on batches.
    holds_lease : bool
        Whether it carries out a duty under a lease.
    rpc_address : Address
        Where it takes remote procedure calls, empty if it does not.
    revision : Revision
        The project's own configuration that it has in force.
    feed_address : Address
        Where it passes changes of the store on if it reads for others, empty if it
        cannot.
    wall_ahead_s : float or None
        How far its time of day is ahead of the store's clock, None if it does not
        say so.
    """

    lifetime: Lifetime
    count: int
    is_leaving: bool = False
    room: float = 1.0
    interval_s: float = HEARTBEAT_S
    is_busy: bool = False
    holds_lease: bool = False
    data_centre: DataCentreName = NO_DATA_CENTRE
    rpc_address: Address = NO_ADDRESS
    revision: Revision = Revision(0)
    feed_address: Address = NO_ADDRESS
    wall_ahead_s: float | None = None

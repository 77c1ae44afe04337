"""Failure detection: each host writes heartbeats to the store and reads all others.

A host is considered dead when its row has not changed for some time on the observer's
own monotonic clock, or when a later run of the host has written the row. Correctness
does not depend on the verdict: whoever acts for a dead host uses a conditional write.
"""

import asyncio
from collections.abc import Callable, Collection
from itertools import islice

from bankrudder.presence._rendezvous import RendezvousOrder
from bankrudder.presence._seen import SeenHosts
from bankrudder.presence._sending import HeartbeatSchedule, HeartbeatSender
from bankrudder.presence._values import (
    HEARTBEAT_INTERVAL_S,
    HOSTS_TABLE,
    NO_ADDRESS,
    NO_DATA_CENTRE,
    Heartbeat,
    Lifetime,
)
from bankrudder.store import (
    ReadPace,
    RowVersion,
    Store,
    TableFollower,
)
from bankrudder.world import Address, Clock, DataCentreName, HostId, Revision

IDLE_HEARTBEATS_PER_S = 30.0
"""Maximum heartbeats per second of all idle hosts together. In a large fleet each host
therefore sends heartbeats less often."""

BUSY_HEARTBEATS_PER_S = 60.0
"""Maximum heartbeats per second of all busy hosts together. Added to those of the idle
hosts, they are well below the write rate that one part of the store accepts."""

MAX_AGE_INTERVALS = 2.0
"""Maximum age of a host's last heartbeat, in heartbeat intervals, at which the host
still gets new work. The host of an older heartbeat may be dead."""

MAX_AGE_SLACK_S = 0.4
"""Time added to `MAX_AGE_INTERVALS` for the delay until a heartbeat is read."""

MAX_MISSED_HEARTBEATS = 3
"""Heartbeat intervals without a heartbeat after which a host is considered dead. A
batch whose owner is lost waits this long, a fifth of the time in which its results are
due."""

MIN_READ_PAUSE_S = 0.25
"""Minimum pause between two reads of the heartbeats: half of their interval."""

HEARTBEAT_READ_SHARE = 0.2
"""Share of the store's read rate that reading heartbeats may use."""

DEFAULT_STORE_READS_PER_S = 2000.0
"""Store reads per second if no read pace is given: the rate that the stores of small
sites accept."""


class Presence:
    """Sends the heartbeats of this host and evaluates those of all other hosts.

    Parameters
    ----------
    room : float, optional
        Capacity of this host, in processor cores of the reference speed.
    """

    def __init__(
        self,
        store: Store,
        host: HostId,
        lifetime: Lifetime,
        clock: Clock,
        room: float = 1.0,
        data_centre: DataCentreName = NO_DATA_CENTRE,
        rpc_address: Address = NO_ADDRESS,
        feed_address: Address = NO_ADDRESS,
        pace: ReadPace | None = None,
        on_written: Callable[[float, float], None] = lambda *_: None,
        wall_ahead_s: Callable[[], float | None] = lambda: None,
    ):
        self._wall_ahead_s = wall_ahead_s
        pace = pace or ReadPace(lambda: 1, DEFAULT_STORE_READS_PER_S)
        self._pause_s = pace.pause(HEARTBEAT_READ_SHARE, MIN_READ_PAUSE_S)
        self._feed_address = feed_address
        self._reads_for_others = False
        self._host = host
        self._lifetime = lifetime
        self._clock = clock
        self._room = room
        self._data_centre = data_centre
        self._rpc_address = rpc_address
        self._revision = Revision(0)
        self._is_leaving = False
        self._is_busy = False
        self._holds_lease = False
        self._seen = SeenHosts(clock)
        self._sender = HeartbeatSender(
            store,
            host,
            clock,
            make_heartbeat=self._make_heartbeat,
            schedule=self._current_schedule,
            on_written=on_written,
        )
        self._follower = TableFollower(
            store,
            HOSTS_TABLE,
            clock,
            on_row=self._seen.apply_row,
            on_removed=self._seen.remove_row,
            pause_s=self._pause_s,
        )

    @property
    def host(self) -> HostId:
        """Name of this host."""
        return self._host

    @property
    def lifetime(self) -> Lifetime:
        """Identifier of this run of the daemon."""
        return self._lifetime

    @property
    def seen(self) -> SeenHosts:
        """The newest heartbeat of each known host."""
        return self._seen

    @property
    def is_announced(self) -> bool:
        """Whether other hosts may know of this run: one heartbeat write has ended."""
        return self._sender.was_answered

    @property
    def interval_s(self) -> float:
        """Current number of seconds between two heartbeats of this host."""
        idle_s = max(HEARTBEAT_INTERVAL_S, len(self._seen) / IDLE_HEARTBEATS_PER_S)
        if not (self._is_busy or self._reads_for_others):
            return idle_s
        busy = sum(
            heartbeat.interval_s < idle_s
            for heartbeat in self._seen.newest_heartbeats()
        )
        return max(HEARTBEAT_INTERVAL_S, busy / BUSY_HEARTBEATS_PER_S)

    def set_busy(self, is_busy: bool) -> None:
        """Send heartbeats more often while other hosts wait for this host's work."""
        if is_busy and not self._is_busy:
            self._sender.request_send()
        self._is_busy = is_busy

    def set_reads_for_others(self, reads_for_others: bool) -> None:
        """Send heartbeats more often while this host reads the store for others."""
        if reads_for_others and not self._reads_for_others:
            self._sender.request_send()
        self._reads_for_others = reads_for_others

    def set_revision(self, revision: Revision) -> None:
        """Publish which configuration is in force on this host."""
        self._revision = revision
        self._sender.request_send()

    def live_hosts(self, data_centres: Collection[DataCentreName] = ()) -> list[HostId]:
        """Return the live hosts that are not about to stop, sorted.

        Parameters
        ----------
        data_centres : collection of DataCentreName
            Data centres to which the hosts are restricted; empty for all.
        """
        return sorted(
            host
            for host in self._seen
            if self._is_eligible(host, self._seen[host].heartbeat, data_centres)
        )

    def first_live(
        self,
        order: RendezvousOrder,
        count: int,
        data_centres: Collection[DataCentreName] = (),
        condition: Callable[[Heartbeat], bool] = lambda _: True,
    ) -> list[HostId]:
        """Return the first live hosts in a rendezvous order that meet a condition.

        Hosts are checked only until enough are found.

        Parameters
        ----------
        count : int
            Maximum number of hosts to return.
        data_centres : collection of DataCentreName
            Data centres to which the hosts are restricted; empty for all.
        """
        found = (
            host
            for host in order.of(self._seen.known_hosts())
            if condition(self._seen[host].heartbeat)
            and self._is_eligible(host, self._seen[host].heartbeat, data_centres)
        )
        return list(islice(found, count))

    def _is_eligible(
        self,
        host: HostId,
        heartbeat: Heartbeat,
        data_centres: Collection[DataCentreName],
    ) -> bool:
        # The most expensive check comes last.
        return (
            not heartbeat.is_leaving
            and self.is_in_data_centres(host, data_centres)
            and self._is_considered_alive(host)
        )

    def is_in_data_centres(
        self, host: HostId, data_centres: Collection[DataCentreName]
    ) -> bool:
        """Whether a host is in one of the data centres; True if none are given."""
        if not data_centres:
            return True
        if host == self._host:
            return self._data_centre in data_centres
        seen = self._seen.get(host)
        return seen is not None and seen.heartbeat.data_centre in data_centres

    def silent_hosts(self, seconds: float) -> list[tuple[HostId, RowVersion]]:
        """Return hosts whose rows have not changed for `seconds`, and the row versions.

        The list is empty while this host cannot read the rows.
        """
        if self._follower.failing_since is not None:
            return []
        since = self._clock.monotonic() - seconds
        recovered_at = self._follower.recovered_at or 0.0
        return [
            (host, seen.version)
            for host, seen in self._seen.others(self._host)
            if max(seen.seen_at, recovered_at) < since
        ]

    def host_count(self) -> int:
        """Return the number of known hosts."""
        return len(self._seen)

    def heartbeats(self) -> dict[HostId, Heartbeat]:
        """Return the newest heartbeat of each known host."""
        return {host: self._seen[host].heartbeat for host in self._seen}

    def set_holds_lease(self, holds_lease: bool) -> None:
        """Publish whether this host carries out a duty under a lease."""
        self._holds_lease = holds_lease

    def duty_hosts(self, order: RendezvousOrder, count: int) -> list[HostId]:
        """Return the first live hosts in a rendezvous order for a duty under a lease.

        Hosts without batches are preferred, so that the loss of one host does not
        interrupt both a training step and the duty.
        """
        free = self.first_live(
            order, count, condition=lambda heartbeat: not heartbeat.is_busy
        )
        return free or self.first_live(order, count)

    def batch_hosts(
        self, data_centres: Collection[DataCentreName] = ()
    ) -> list[HostId]:
        """Return the hosts that should get new batches.

        Hosts that hold a lease are included only if no other host is available.
        """
        hosts = [
            host for host in self.live_hosts(data_centres) if self.takes_new_work(host)
        ]
        free = [host for host in hosts if not self._seen[host].heartbeat.holds_lease]
        return free or hosts

    def takes_new_work(self, host: HostId) -> bool:
        """Whether a host is not about to stop and its last heartbeat is not overdue."""
        seen = self._seen.get(host)
        if (
            seen is None
            or seen.heartbeat.is_leaving
            or not self._is_considered_alive(host)
        ):
            return False
        if host == self._host:
            return True
        age_s = self._clock.monotonic() - seen.seen_at
        slack_s = MAX_AGE_SLACK_S + self._pause_s() - MIN_READ_PAUSE_S
        return age_s < MAX_AGE_INTERVALS * seen.heartbeat.interval_s + slack_s

    def is_alive(self, host: HostId, lifetime: Lifetime) -> bool:
        """Whether a run of a host is considered alive, even if the host is leaving."""
        if host == self._host:
            return lifetime == self._lifetime
        seen = self._seen.get(host)
        if seen is None:
            # Before the first complete read, a missing row says nothing.
            return not self._follower.is_loaded
        return seen.heartbeat.lifetime == lifetime and self._is_considered_alive(host)

    @property
    def read_version(self) -> RowVersion:
        """Store version up to which this host has read all heartbeats."""
        return self._follower.read_version

    def lifetime_of(self, host: HostId) -> Lifetime | None:
        """Return the newest run of a host, None if the host is not known."""
        seen = self._seen.get(host)
        return seen.heartbeat.lifetime if seen is not None else None

    def capacity_of(self, host: HostId) -> float:
        """Return a host's capacity in processor cores of the reference speed."""
        seen = self._seen.get(host)
        return seen.heartbeat.room if seen is not None else 0.0

    def leave(self) -> None:
        """Publish in later heartbeats that this host is about to stop."""
        self._is_leaving = True

    async def run(self) -> None:
        """Send heartbeats and read those of the other hosts until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._sender.run())

    def own_heartbeat(self) -> Heartbeat:
        """Return this host's last heartbeat with the present values."""
        return self._make_heartbeat(self._sender.count)

    async def announce(self) -> None:
        """Send one heartbeat now."""
        await self._sender.send()

    async def refresh(self) -> None:
        """Read the heartbeats now, in addition to the periodic reads.

        Raises
        ------
        StoreUnavailableError
            If the heartbeats cannot be read.
        """
        await self._follower.refresh()

    def _current_schedule(self) -> HeartbeatSchedule:
        return HeartbeatSchedule(self.interval_s, should_resend=self._is_busy)

    def _make_heartbeat(self, count: int) -> Heartbeat:
        return Heartbeat(
            self._lifetime,
            count,
            self._is_leaving,
            self._room,
            self.interval_s,
            self._is_busy,
            self._holds_lease,
            self._data_centre,
            self._rpc_address,
            self._revision,
            self._feed_address,
            self._wall_ahead_s(),
        )

    def _is_considered_alive(self, host: HostId) -> bool:
        if host == self._host:
            return True
        if self._sender.is_failing:
            # The store does not accept heartbeats, so none can arrive from any host.
            return True
        read_at = self._follower.last_read_at or 0.0
        recovered_at = self._follower.recovered_at or 0.0
        seen = self._seen[host]
        since = max(seen.seen_at, recovered_at, self._sender.recovered_at)
        silence_s = MAX_MISSED_HEARTBEATS * seen.heartbeat.interval_s
        return read_at - since < silence_s

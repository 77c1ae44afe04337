"""Which hosts run: each writes a heartbeat to the store, and all watch them.

A host is taken for dead when its row did not change for a while on the watcher's
own steady clock, or when a later run of the host wrote the row. Nothing rests on
being right: whoever acts for a dead host does so under a condition in the store.
"""

import asyncio
from collections.abc import Callable, Collection
from itertools import islice

from bankrudder.presence._drawn import DrawnOrder
from bankrudder.presence._seen import SeenHosts
from bankrudder.presence._sending import HeartbeatSender, Rhythm
from bankrudder.presence._values import (
    HEARTBEAT_S,
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
BUSY_HEARTBEATS_PER_S = 60.0
"""Most heartbeats a second of all hosts without work, and of all with work: together
well under what one part of the store takes. In a large fleet they come less often."""

FRESH_INTERVALS = 2.0
FRESH_SLACK_S = 0.4
"""A host whose last heartbeat is older than so many intervals, and the time in which
one is read, gets no new work: it may be about to be found dead."""

MISSED_HEARTBEATS = 3
"""Heartbeats that may be missing before a host is taken for dead. A batch whose owner
is lost waits this long, a fifth of the time in which its results are due."""

FOLLOW_PAUSE_S = 0.25
"""Shortest pause between reads of the heartbeats: half of their interval."""

READ_SHARE = 0.2
"""Share of the reads of the store that the heartbeats may take."""

READS_PER_S = 2000.0
"""Reads that the store serves if nobody says more: the rate of the small sites."""


class Presence:
    """The heartbeat of this host, and the view of all others."""

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
        pace = pace or ReadPace(lambda: 1, READS_PER_S)
        self._pause_s = pace.pause(READ_SHARE, FOLLOW_PAUSE_S)
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
            compose=self._compose,
            rhythm=self._rhythm,
            on_written=on_written,
        )
        self._follower = TableFollower(
            store,
            HOSTS_TABLE,
            clock,
            on_row=self._seen.take,
            on_removed=self._seen.drop,
            pause_s=self._pause_s,
        )

    @property
    def host(self) -> HostId:
        """Name of this host."""
        return self._host

    @property
    def lifetime(self) -> Lifetime:
        """Identifier of this run."""
        return self._lifetime

    @property
    def seen(self) -> SeenHosts:
        """What the heartbeats of all hosts told last."""
        return self._seen

    @property
    def is_announced(self) -> bool:
        """Whether the other hosts can know of this run, unless the store fails."""
        return self._sender.was_answered

    @property
    def interval_s(self) -> float:
        """Seconds between two heartbeats of this host."""
        idle_s = max(HEARTBEAT_S, len(self._seen) / IDLE_HEARTBEATS_PER_S)
        if not (self._is_busy or self._reads_for_others):
            return idle_s
        busy = sum(beat.interval_s < idle_s for beat in self._seen.beats())
        return max(HEARTBEAT_S, busy / BUSY_HEARTBEATS_PER_S)

    def set_busy(self, is_busy: bool) -> None:
        """Beat more often while others wait for what this host does."""
        if is_busy and not self._is_busy:
            self._sender.hurry()
        self._is_busy = is_busy

    def set_reads_for_others(self, reads_for_others: bool) -> None:
        """Beat more often while others wait for this host's reads of the store."""
        if reads_for_others and not self._reads_for_others:
            self._sender.hurry()
        self._reads_for_others = reads_for_others

    def set_revision(self, revision: Revision) -> None:
        """Tell the others which configuration is in force here."""
        self._revision = revision
        self._sender.hurry()

    def live_hosts(self, data_centres: Collection[DataCentreName] = ()) -> list[HostId]:
        """Return the hosts that are taken for alive and stay, sorted.

        Parameters
        ----------
        data_centres : collection of DataCentreName
            Where they must be; empty for anywhere.
        """
        return sorted(
            host
            for host in self._seen
            if self._stays(host, self._seen[host].beat, data_centres)
        )

    def first_live(
        self,
        order: DrawnOrder,
        count: int,
        data_centres: Collection[DataCentreName] = (),
        condition: Callable[[Heartbeat], bool] = lambda _: True,
    ) -> list[HostId]:
        """Return the first live hosts in a drawn order that meet a condition.

        Only so many hosts are looked at as are needed.

        Parameters
        ----------
        count : int
            Most hosts that are returned.
        data_centres : collection of DataCentreName
            Where they must be; empty for anywhere.
        """
        found = (
            host
            for host in order.of(self._seen.names())
            if condition(self._seen[host].beat)
            and self._stays(host, self._seen[host].beat, data_centres)
        )
        return list(islice(found, count))

    def _stays(
        self, host: HostId, beat: Heartbeat, data_centres: Collection[DataCentreName]
    ) -> bool:
        # What costs the most is looked at last.
        return (
            not beat.is_leaving
            and self.is_in(host, data_centres)
            and self._is_fresh(host)
        )

    def is_in(self, host: HostId, data_centres: Collection[DataCentreName]) -> bool:
        """Whether a host is in one of some data centres; any if there are none."""
        if not data_centres:
            return True
        if host == self._host:
            return self._data_centre in data_centres
        seen = self._seen.get(host)
        return seen is not None and seen.beat.data_centre in data_centres

    def silent_hosts(self, seconds: float) -> list[tuple[HostId, RowVersion]]:
        """Return the hosts whose rows stood still for so long, and the rows' versions.

        None while this host cannot read the rows.
        """
        if self._follower.failing_since is not None:
            return []
        since = self._clock.monotonic() - seconds
        recovered_at = self._follower.recovered_at or 0.0
        return [
            (host, seen.version)
            for host, seen in self._seen.others(self._host)
            if max(seen.at, recovered_at) < since
        ]

    def host_count(self) -> int:
        """Return the number of hosts that are known."""
        return len(self._seen)

    def heartbeats(self) -> dict[HostId, Heartbeat]:
        """Return the newest heartbeat of each host that is known."""
        return {host: self._seen[host].beat for host in self._seen}

    def set_holds_lease(self, holds_lease: bool) -> None:
        """Tell the others whether this host carries out a duty under a lease."""
        self._holds_lease = holds_lease

    def duty_hosts(self, order: DrawnOrder, count: int) -> list[HostId]:
        """Return the first live hosts in a drawn order for a duty under a lease.

        Hosts without batches go first, so that the loss of one host does not stop
        both a step and the orders.
        """
        free = self.first_live(order, count, condition=lambda beat: not beat.is_busy)
        return free or self.first_live(order, count)

    def batch_hosts(
        self, data_centres: Collection[DataCentreName] = ()
    ) -> list[HostId]:
        """Return the hosts that should get new batches: those without duties first."""
        hosts = [
            host for host in self.live_hosts(data_centres) if self.takes_new_work(host)
        ]
        free = [host for host in hosts if not self._seen[host].beat.holds_lease]
        return free or hosts

    def takes_new_work(self, host: HostId) -> bool:
        """Whether a host stays, and was heard of as lately as it should have been."""
        seen = self._seen.get(host)
        if seen is None or seen.beat.is_leaving or not self._is_fresh(host):
            return False
        if host == self._host:
            return True
        age_s = self._clock.monotonic() - seen.at
        slack_s = FRESH_SLACK_S + self._pause_s() - FOLLOW_PAUSE_S
        return age_s < FRESH_INTERVALS * seen.beat.interval_s + slack_s

    def is_alive(self, host: HostId, lifetime: Lifetime) -> bool:
        """Whether a run of a host is taken for alive, also one that is leaving."""
        if host == self._host:
            return lifetime == self._lifetime
        seen = self._seen.get(host)
        if seen is None:
            # Not read yet: nothing is known before the first whole read.
            return not self._follower.is_loaded
        return seen.beat.lifetime == lifetime and self._is_fresh(host)

    @property
    def read_version(self) -> RowVersion:
        """Version of the store up to which all heartbeats are known here."""
        return self._follower.read_version

    def lifetime_of(self, host: HostId) -> Lifetime | None:
        """Return the newest run of a host, None if the host is not known."""
        seen = self._seen.get(host)
        return seen.beat.lifetime if seen is not None else None

    def room_of(self, host: HostId) -> float:
        """Return what a host can carry, in cores of usual speed."""
        seen = self._seen.get(host)
        return seen.beat.room if seen is not None else 0.0

    def leave(self) -> None:
        """Tell the others that this host is about to stop."""
        self._is_leaving = True

    async def run(self) -> None:
        """Send heartbeats and watch the others until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._sender.run())

    def own_heartbeat(self) -> Heartbeat:
        """Return what this host told the others last, as it is now."""
        return self._compose(self._sender.count)

    async def announce(self) -> None:
        """Send one heartbeat now."""
        await self._sender.send()

    async def refresh(self) -> None:
        """Read the heartbeats that are in the store now, beside the following.

        Raises
        ------
        StoreUnavailableError
            If they cannot be read.
        """
        await self._follower.refresh()

    def _rhythm(self) -> Rhythm:
        return Rhythm(self.interval_s, is_resent=self._is_busy)

    def _compose(self, count: int) -> Heartbeat:
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

    def _is_fresh(self, host: HostId) -> bool:
        if host == self._host:
            return True
        if self._sender.fails:
            # The rows of the heartbeats take no writes: nobody's can arrive.
            return True
        read_at = self._follower.last_read_at or 0.0
        recovered_at = self._follower.recovered_at or 0.0
        seen = self._seen[host]
        since = max(seen.at, recovered_at, self._sender.works_since)
        silence_s = MISSED_HEARTBEATS * seen.beat.interval_s
        return read_at - since < silence_s

"""A lease on a duty that at most one host may carry out at a time.

The holder renews a row of the store with conditional writes, and counts the lease from
the moment before it sends a renewal. Another host acquires the lease only after the row
has not changed for the whole lease duration on that host's own monotonic clock. The
row's version at the acquisition is the fencing token.

A host that finds its own row acquires the lease again at once: the row was written by
an earlier run on the same machine, or the lease lapsed while the store was unavailable.
Duties thus continue within a second of an outage or a restart instead of a lease
duration later.
"""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from bankrudder.decoding import decode_json
from bankrudder.presence import NO_ADDRESS, Lifetime
from bankrudder.store import (
    ABSENT,
    Committed,
    Conflict,
    Expectation,
    NotCommitted,
    NotSettledError,
    Put,
    Row,
    RowKey,
    RowVersion,
    Store,
    StoreUnavailableError,
    Transaction,
    UnreadableRowError,
    commit_settled,
    decoding_row,
)
from bankrudder.world import Address, Clock, HostId

LEASES_TABLE = "leases"

RENEWALS_PER_LEASE = 4
"""Renewals per lease duration: three are due before the lease lapses. One that fails is
repeated after `RETRY_PAUSE_S`."""

SAFETY_MARGIN_SHARE = 0.2
"""Share of the lease duration, at its end, in which the holder no longer acts. Messages
that the holder sent earlier arrive in that time, before another host may act."""

RETRY_PAUSE_S = 0.1
"""Pause after a store call without an answer. The call itself waits until the store is
available again, so a lease that lapsed in an outage is acquired again a tenth of a
second after the outage."""

CANDIDATE_COUNT = 3
"""Number of hosts that watch a lease. More would only add reads of the store."""

_log = structlog.get_logger("leases")


class LeaseRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a lease's row; ``count`` grows with each renewal.

    Attributes
    ----------
    fence : int
        Version of the row at the acquisition; 0 in the acquiring transaction itself.
    address : Address
        Where the holder accepts requests. A machine that replaces another one may have
        the same host name but has another address.
    """

    host: HostId
    lifetime: Lifetime
    count: int
    fence: RowVersion = ABSENT
    address: Address = NO_ADDRESS


class Lease:
    """Acquires, renews and releases one lease on behalf of this host.

    Parameters
    ----------
    is_candidate : callable
        Returns whether this host is one of the few that watch the lease in order to
        acquire it.
    duration_s : float
        Duration of the lease in seconds, given by the platform.
    on_change : callable, optional
        Called with whether this host holds the lease, each time that changes.
    address : Address, optional
        Distinguishes this machine from another one with the same host name. Without
        it, a row of an earlier run is treated like that of another host.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        host: HostId,
        lifetime: Lifetime,
        is_candidate: Callable[[], bool],
        clock: Clock,
        duration_s: float,
        on_change: Callable[[bool], None] = lambda _: None,
        address: Address = NO_ADDRESS,
    ):
        self._address = address
        self._may_own_row = True
        self._store = store
        self._name = name
        self._key = RowKey(LEASES_TABLE, name, "lease")
        self._host = host
        self._lifetime = lifetime
        self._is_candidate = is_candidate
        self._clock = clock
        self._duration_s = duration_s
        self._on_change = on_change
        self._fence = ABSENT
        self._version = ABSENT
        self._renewal_count = 0
        self._valid_until = 0.0
        self._last_change: tuple[RowVersion, float] | None = None

    @property
    def fence(self) -> RowVersion:
        """The fencing token, `ABSENT` while this host does not hold the lease."""
        return self._fence

    @property
    def is_valid(self) -> bool:
        """Whether this host may act now; to be checked right before each action."""
        return bool(self._fence) and self._clock.monotonic() < self._valid_until

    @property
    def left_s(self) -> float:
        """Seconds for which this host may still act, 0 if it may not act."""
        if not self._fence:
            return 0.0
        return max(self._valid_until - self._clock.monotonic(), 0.0)

    def set_duration(self, seconds: float) -> None:
        """Change the duration of the lease from the next renewal on."""
        self._duration_s = seconds

    async def run(self) -> None:
        """Renew the lease, or watch it in order to acquire it, until cancelled."""
        while True:
            pause_s = self._duration_s / RENEWALS_PER_LEASE
            try:
                if self._fence:
                    await self._renew()
                elif self._may_own_row or self._is_candidate():
                    await self._watch()
            except (StoreUnavailableError, NotSettledError):
                _log.warning("leases: store not reached", lease=self._name)
                pause_s = RETRY_PAUSE_S
            if self._fence and self._clock.monotonic() >= self._valid_until:
                self._lose("lapsed")
            await asyncio.sleep(pause_s)

    async def release(self) -> None:
        """Release the lease before a planned stop.

        The row then names no host. Another host still waits for a lease duration before
        it acquires the lease, because messages of this host may be in transit.
        """
        if not self._fence:
            return
        row = LeaseRow(HostId(""), Lifetime(""), self._renewal_count + 1)
        transaction = Transaction(
            (Expectation(self._key, self._version),),
            (Put(self._key, msgspec.json.encode(row)),),
        )
        self._lose("released")
        await self._store.commit(transaction)

    async def _watch(self) -> None:
        key = self._key
        page = await self._store.read(key.table, key.part, key.key, key.key + "\0")
        row: Row | None = page.rows[0] if page.rows else None
        now = self._clock.monotonic()
        if row is not None and self._is_own_row(row):
            await self._acquire(row)
            return
        self._may_own_row = False
        if not self._is_candidate():
            return
        if row is not None:
            if self._last_change is None or self._last_change[0] != row.version:
                self._last_change = (row.version, now)
            if now - self._last_change[1] < self._duration_s:
                return
        await self._acquire(row)

    def _is_own_row(self, row: Row) -> bool:
        """Whether a row names this machine as the holder.

        A row that cannot be decoded is treated like that of another host: it may have
        replaced one, so the lease is free when it has not changed for its duration.
        """
        try:
            with decoding_row(row.key):
                stored = decode_json(row.value, LeaseRow)
        except UnreadableRowError:
            return False
        if not stored.host or stored.host != self._host:
            return False
        is_same_run = stored.lifetime == self._lifetime
        return is_same_run or (bool(self._address) and stored.address == self._address)

    async def _acquire(self, observed: Row | None) -> None:
        version = observed.version if observed is not None else ABSENT
        started_at = self._clock.monotonic()
        outcome = await self._write(self._row(0, ABSENT), version)
        match outcome:
            case Committed(version=acquired):
                self._fence = acquired
                self._version = acquired
                self._renewal_count = 0
                self._extend(started_at)
                self._on_change(True)
                _log.info("leases: taken", lease=self._name, fence=acquired)
            case Conflict():
                self._last_change = None
            case NotCommitted(error_kind=error_kind):
                self._last_change = None
                raise StoreUnavailableError(error_kind)

    async def _renew(self) -> None:
        started_at = self._clock.monotonic()
        self._renewal_count += 1
        row = self._row(self._renewal_count, self._fence)
        outcome = await self._write(row, self._version)
        match outcome:
            case Committed(version=version):
                self._version = version
                self._extend(started_at)
            case Conflict():
                self._lose("taken by another host")
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)

    def _row(self, count: int, fence: RowVersion) -> LeaseRow:
        return LeaseRow(self._host, self._lifetime, count, fence, self._address)

    async def _write(
        self, row: LeaseRow, version: RowVersion
    ) -> Committed | Conflict | NotCommitted:
        value = msgspec.json.encode(row)
        transaction = Transaction(
            (Expectation(self._key, version),), (Put(self._key, value),)
        )
        return await commit_settled(
            self._store,
            transaction,
            lambda conflict: conflict.holds(value),
            self._clock,
            self._duration_s / 2,
        )

    def _extend(self, started_at: float) -> None:
        self._valid_until = started_at + self._duration_s * (1 - SAFETY_MARGIN_SHARE)

    def _lose(self, reason: str) -> None:
        _log.warning("leases: lost", lease=self._name, fence=self._fence, reason=reason)
        self._fence = ABSENT
        self._last_change = None
        self._may_own_row = True
        self._on_change(False)

"""A lease on a duty that one host at most may carry out at a time.

The holder renews a row of the store under a condition and counts its time from
before it sent the renewal. Another host takes over only once it saw the row
unchanged for the whole lease on its own steady clock. The version of the row at the
taking is the fencing token.

A host that finds its own row takes the lease again at once: it is the same machine,
whose earlier run has ended or whose lease lapsed while the store was away. So duties go
on within a second of an outage or of a restart, rather than a lease later.
"""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

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
    commit_settled,
)
from bankrudder.world import Address, Clock, HostId

LEASES_TABLE = "leases"

RENEWALS = 4
"""Renewals within one lease: three may fail before it lapses."""

MARGIN = 0.2
"""Share of the lease, at its end, in which the holder no longer acts: what it sent
before has then arrived when another host begins."""

RETRY_PAUSE_S = 0.1
"""Pause after a call without an answer. The call itself waits for the store's return,
so a lease that lapsed in an outage is taken again a tenth of a second after it."""

CANDIDATES = 3
"""Hosts that watch a lease; more would only cost reads."""

_log = structlog.get_logger("leases")


class LeaseRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a lease's row; ``count`` grows with each renewal.

    Attributes
    ----------
    address : Address
        Where the holder takes requests: a machine that replaces another may have its
        name, and has another address.
    fence : int
        Version of the row at the taking; 0 in the taking transaction itself.
    """

    host: HostId
    lifetime: Lifetime
    count: int
    fence: RowVersion = ABSENT
    address: Address = NO_ADDRESS


class Lease:
    """One lease, as this host sees it.

    Parameters
    ----------
    is_candidate : callable
        Whether this host is one of the few that watch the lease, to take it over.
    duration_s : float
        Length of the lease in seconds; the platform's figure.
    on_change : callable, optional
        Told whether this host holds the lease whenever that changes.
    address : Address, optional
        Tells this machine from another one of its name; without it the row of an
        earlier run is as good as another host's.
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
        self._may_be_mine = True
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
        self._count = 0
        self._valid_until = 0.0
        self._seen: tuple[RowVersion, float] | None = None

    @property
    def fence(self) -> RowVersion:
        """The fencing token, `ABSENT` while this host does not hold the lease."""
        return self._fence

    @property
    def is_valid(self) -> bool:
        """Whether this host may act now; check right before each act."""
        return bool(self._fence) and self._clock.monotonic() < self._valid_until

    @property
    def left_s(self) -> float:
        """Seconds for which this host may act, 0 if it may not."""
        if not self._fence:
            return 0.0
        return max(self._valid_until - self._clock.monotonic(), 0.0)

    def set_duration(self, seconds: float) -> None:
        """Change the length of the lease from the next renewal on."""
        self._duration_s = seconds

    async def run(self) -> None:
        """Renew the lease, or watch it and take it over, until cancelled."""
        while True:
            pause_s = self._duration_s / RENEWALS
            try:
                if self._fence:
                    await self._renew()
                elif self._may_be_mine or self._is_candidate():
                    await self._watch()
            except (StoreUnavailableError, NotSettledError):
                _log.warning("leases: store not reached", lease=self._name)
                pause_s = RETRY_PAUSE_S
            if self._fence and self._clock.monotonic() >= self._valid_until:
                self._drop("lapsed")
            await asyncio.sleep(pause_s)

    async def release(self) -> None:
        """Give the lease up before a planned stop."""
        if not self._fence:
            return
        row = LeaseRow(HostId(""), Lifetime(""), self._count + 1)
        transaction = Transaction(
            (Expectation(self._key, self._version),),
            (Put(self._key, msgspec.json.encode(row)),),
        )
        self._drop("released")
        await self._store.commit(transaction)

    async def _watch(self) -> None:
        page = await self._store.read(LEASES_TABLE, self._name)
        row: Row | None = page.rows[0] if page.rows else None
        now = self._clock.monotonic()
        if row is not None and self._is_mine(row):
            await self._take(row)
            return
        self._may_be_mine = False
        if not self._is_candidate():
            return
        if row is not None:
            if self._seen is None or self._seen[0] != row.version:
                self._seen = (row.version, now)
            if now - self._seen[1] < self._duration_s:
                return
        await self._take(row)

    def _is_mine(self, row: Row) -> bool:
        """Whether a row was written by this machine."""
        held = msgspec.json.decode(row.value, type=LeaseRow)
        if not held.host or held.host != self._host:
            return False
        is_same_run = held.lifetime == self._lifetime
        return is_same_run or (bool(self._address) and held.address == self._address)

    async def _take(self, before: Row | None) -> None:
        version = before.version if before is not None else ABSENT
        began = self._clock.monotonic()
        outcome = await self._write(self._row(0, ABSENT), version)
        match outcome:
            case Committed(version=taken):
                self._fence = taken
                self._version = taken
                self._count = 0
                self._extend(began)
                self._on_change(True)
                _log.info("leases: taken", lease=self._name, fence=taken)
            case Conflict():
                self._seen = None
            case NotCommitted(error_kind=error_kind):
                self._seen = None
                raise StoreUnavailableError(error_kind)

    async def _renew(self) -> None:
        began = self._clock.monotonic()
        self._count += 1
        row = self._row(self._count, self._fence)
        outcome = await self._write(row, self._version)
        match outcome:
            case Committed(version=version):
                self._version = version
                self._extend(began)
            case Conflict():
                self._drop("taken by another host")
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

    def _extend(self, began: float) -> None:
        self._valid_until = began + self._duration_s * (1 - MARGIN)

    def _drop(self, reason: str) -> None:
        _log.warning("leases: lost", lease=self._name, fence=self._fence, reason=reason)
        self._fence = ABSENT
        self._seen = None
        self._may_be_mine = True
        self._on_change(False)

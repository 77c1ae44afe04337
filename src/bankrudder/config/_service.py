"""Applies configurations and distributes them to all hosts.

One row of table ``configuration`` names the newest revision and the object that holds
its document. The row changes only if the operator's base revision is still the newest.
Each host follows the row, and refuses calls if it could not read the row for more than
`MAX_CONFIGURATION_AGE_S`.
"""

import asyncio
from collections.abc import Callable
from hashlib import sha256

import msgspec
import structlog

from bankrudder.config._check import check
from bankrudder.config._index import ConfigurationIndex
from bankrudder.decoding import decode_json
from bankrudder.exceptions import InvalidError, NotRunError
from bankrudder.failures import FailureReason
from bankrudder.presence import Presence
from bankrudder.store import (
    ABSENT,
    Committed,
    Conflict,
    Expectation,
    NotCommitted,
    Put,
    Row,
    RowKey,
    RowVersion,
    Store,
    StoreUnavailableError,
    TableFollower,
    Transaction,
    commit_settled,
    decoding_row,
    translate_store_errors,
)
from bankrudder.world import Clock, Configuration, HostId, Revision

CONFIGURATION_TABLE = "configuration"

MAX_CONFIGURATION_AGE_S = 10.0
"""Time without a successful read after which a host refuses calls: operators may have
changed the allowed data centres of a data class meanwhile. Store outages of several
seconds do not affect calls."""

APPLY_TIMEOUT_S = 3.0
"""Time limit for retries of the write of a new revision."""

IN_FORCE_WAIT_S = 4.0
"""Longest time for which an apply waits until all live hosts report the revision as in
force: a few idle heartbeat intervals in a fleet of 30 hosts. The reply then lists the
hosts that do not report it; the operator may apply the document again."""

HEARTBEAT_POLL_PAUSE_S = 0.1

RETRY_AFTER_S = 1.0

RELOAD_PAUSE_S = 0.2
"""Pause after a failed read of a document."""

_ROW_KEY = RowKey(CONFIGURATION_TABLE, "", "newest")

_log = structlog.get_logger("config")


class ConfigurationRow(msgspec.Struct, frozen=True):
    """The newest revision; ``object_name`` names the object with its document."""

    revision: Revision
    object_name: str


class ApplyOutcome(msgspec.Struct, frozen=True):
    """Result of an apply.

    Attributes
    ----------
    pending_hosts : tuple of HostId
        Live hosts that do not yet report the revision as in force.
    """

    revision: Revision
    pending_hosts: tuple[HostId, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether the revision is in force on all live hosts."""
        return not self.pending_hosts


class ConfigurationService:
    """Holds the configuration in force on this host, and applies new ones.

    Parameters
    ----------
    on_change : callable
        Called with each configuration that comes into force.
    """

    def __init__(
        self,
        store: Store,
        presence: Presence,
        clock: Clock,
        on_change: Callable[[ConfigurationIndex], None] = lambda _: None,
    ):
        self._store = store
        self._presence = presence
        self._clock = clock
        self._on_change = on_change
        self._index = ConfigurationIndex(Configuration())
        self._document = b""
        self._revision = Revision(0)
        self._newest: ConfigurationRow | None = None
        self._newest_changed = asyncio.Event()
        self._follower = TableFollower(
            store,
            CONFIGURATION_TABLE,
            clock,
            on_row=self._on_row,
            on_removed=lambda _: None,
        )

    @property
    def revision(self) -> Revision:
        """The revision in force on this host, 0 before the first."""
        return self._revision

    @property
    def document(self) -> bytes:
        """The document in force on this host, as it was applied."""
        return self._document

    @property
    def known_index(self) -> ConfigurationIndex:
        """The configuration in force on this host, even if it may be outdated."""
        return self._index

    @property
    def index(self) -> ConfigurationIndex:
        """The configuration in force, checked for age.

        Raises
        ------
        NotRunError
            If no configuration is in force, or it was last read more than
            `MAX_CONFIGURATION_AGE_S` ago.
        """
        if not self._revision:
            raise NotRunError(
                FailureReason.NO_CONFIGURATION,
                "no configuration is in force on this host",
                retry_after_s=RETRY_AFTER_S,
            )
        age_s = self._clock.monotonic() - (self._follower.last_read_at or 0.0)
        if age_s > MAX_CONFIGURATION_AGE_S:
            raise NotRunError(
                FailureReason.STALE_CONFIGURATION,
                f"the configuration was last read {age_s:.0f} s ago",
                retry_after_s=RETRY_AFTER_S,
            )
        return self._index

    async def run(self) -> None:
        """Follow the newest configuration until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._load_newest())

    async def apply(self, document: bytes, base: Revision) -> ApplyOutcome:
        """Replace the configuration of revision `base`.

        Applying the same document on the same base again is safe: it does not create
        a second revision.

        Raises
        ------
        InvalidError
            If the document is invalid, or `base` is not the newest revision.
        NotRunError
            If the store does not accept the write.
        OutcomeUnknownError
            If the configuration may have been applied.
        """
        check(document)
        revision = Revision(base + 1)
        row = ConfigurationRow(revision, _object_name(revision, document))
        unsettled = "the store gave no reply; the same document may be applied again"
        with translate_store_errors(unsettled, RETRY_AFTER_S):
            await self._write(row, document, base)
        _log.info("config: applied", revision=revision, bytes=len(document))
        return await self._wait_until_in_force(revision)

    async def _write(
        self, row: ConfigurationRow, document: bytes, base: Revision
    ) -> None:
        before, version = await self._read()
        if before == row:
            return
        if (before.revision if before else 0) != base:
            raise _revision_conflict(base, before)
        put = await self._store.put_object(row.object_name, document)
        if not isinstance(put, Committed | Conflict):
            raise StoreUnavailableError(put.error_kind)
        value = msgspec.json.encode(row)
        outcome = await commit_settled(
            self._store,
            Transaction((Expectation(_ROW_KEY, version),), (Put(_ROW_KEY, value),)),
            lambda conflict: any(each.value == value for each in conflict.rows),
            self._clock,
            APPLY_TIMEOUT_S,
        )
        match outcome:
            case NotCommitted(error_kind=error_kind):
                raise StoreUnavailableError(error_kind)
            case Conflict():
                after, _ = await self._read()
                if after != row:
                    raise _revision_conflict(base, after)

    async def _read(self) -> tuple[ConfigurationRow | None, RowVersion]:
        key = _ROW_KEY
        page = await self._store.read(key.table, key.part, key.key, key.key + "\0")
        if not page.rows:
            return None, ABSENT
        row = page.rows[0]
        with decoding_row(row.key):
            return decode_json(row.value, ConfigurationRow), row.version

    async def _wait_until_in_force(self, revision: Revision) -> ApplyOutcome:
        until = self._clock.monotonic() + IN_FORCE_WAIT_S
        await self._refresh_hosts()
        while True:
            pending = self._pending_hosts(revision)
            if not pending or self._clock.monotonic() >= until:
                return ApplyOutcome(revision, pending)
            await asyncio.sleep(HEARTBEAT_POLL_PAUSE_S)

    async def _refresh_hosts(self) -> None:
        """Read the heartbeats, to include hosts that became ready since the last read.

        A host is ready only after its first heartbeat, so the store lists every host
        that may have started with an older configuration.
        """
        try:
            await self._presence.refresh()
        except StoreUnavailableError as error:
            _log.warning(
                "config: heartbeats not read, using known hosts",
                reason=error.error_kind.value,
            )

    def _pending_hosts(self, revision: Revision) -> tuple[HostId, ...]:
        heartbeats_by_host = self._presence.heartbeats()
        return tuple(
            host
            for host in self._presence.live_hosts()
            if heartbeats_by_host[host].rpc_address
            and heartbeats_by_host[host].revision < revision
        )

    def _on_row(self, row: Row) -> None:
        if row.key != _ROW_KEY:
            return
        newest = decode_json(row.value, ConfigurationRow)
        if newest.revision > self._revision:
            self._newest = newest
            self._newest_changed.set()

    async def _load_newest(self) -> None:
        while True:
            await self._newest_changed.wait()
            self._newest_changed.clear()
            newest = self._newest
            if newest is None or newest.revision <= self._revision:
                continue
            if not await self._try_load(newest):
                self._newest_changed.set()
                await asyncio.sleep(RELOAD_PAUSE_S)

    async def _try_load(self, newest: ConfigurationRow) -> bool:
        try:
            document = await self._store.get_object(newest.object_name)
        except StoreUnavailableError as error:
            _log.warning(
                "config: document not read yet",
                revision=newest.revision,
                reason=error.error_kind.value,
            )
            return False
        if document is None:
            _log.error("config: document missing", revision=newest.revision)
            return False
        try:
            self._put_in_force(newest.revision, document)
        except InvalidError as error:
            # Another version of the program applied the document; the configuration in
            # force stays.
            _log.error(
                "config: document invalid",
                revision=newest.revision,
                field=error.failure.field,
                reason=error.failure.detail,
            )
        return True

    def _put_in_force(self, revision: Revision, document: bytes) -> None:
        before = self._revision
        self._index = ConfigurationIndex(check(document))
        self._document = document
        self._revision = revision
        self._presence.set_revision(revision)
        self._on_change(self._index)
        _log.info("config: in force", revision=revision, before=before)


def _object_name(revision: Revision, document: bytes) -> str:
    # Objects are never overwritten, so the name identifies the document.
    return f"configuration-{revision}-{sha256(document).hexdigest()[:16]}"


def _revision_conflict(base: Revision, newest: ConfigurationRow | None) -> InvalidError:
    revision = newest.revision if newest is not None else 0
    return InvalidError(
        FailureReason.REVISION_CONFLICT,
        f"base revision is {base}, newest revision is {revision}",
        field="base_revision",
    )

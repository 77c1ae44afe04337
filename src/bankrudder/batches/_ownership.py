"""Owners of the open batches, and the choice of new owners.

A batch goes to the host that owned the latest batch of its model. If an owner is lost,
the hosts try to take its batches over one after the other, in an order that each of
them computes from the same rows.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence

import msgspec

from bankrudder.batches._values import Batch, BatchId, Owner
from bankrudder.presence import Lifetime, Presence, rendezvous_hash
from bankrudder.routing import ModelName
from bankrudder.store import RowVersion
from bankrudder.world import Clock, HostId, ModelVersion

TAKEOVER_STAGGER_S = 0.4
"""Delay between the attempts of successive hosts to take over a batch, so that two
rarely try at once."""

MAX_TAKEOVER_RANK = 3
"""Upper limit of a host's rank in the takeover order: even among many hosts, none waits
longer than 1.2 s."""

NEWEST_BATCH_WEIGHT = 0.3
"""Weight of the newest batch in the moving averages of the size of a model's batches
and of the time for which they are open."""

DEFAULT_TOKEN_COUNT = 1000
"""Tokens that a sample without a length hint is expected to generate."""


class OwnerRegistry:
    """The owners of all open batches, as read from the store.

    Parameters
    ----------
    is_loaded : callable
        Whether the rows of all open batches have been read once.
    store_time : callable
        Returns the store's time at a monotonic time of this host, None if unknown.
    """

    def __init__(
        self,
        presence: Presence,
        clock: Clock,
        is_loaded: Callable[[], bool] = lambda: True,
        store_time: Callable[[float], float | None] = lambda _: None,
    ):
        self._is_loaded = is_loaded
        self._store_time = store_time
        self._presence = presence
        self._clock = clock
        self._owners: dict[BatchId, tuple[Owner, RowVersion]] = {}
        self._ownerless_since: dict[BatchId, float] = {}
        self._last_owner: dict[ModelName, HostId] = {}
        self._mean_batch_tokens: dict[ModelName, float] = {}
        self._largest_sample_count: dict[ModelName, int] = {}
        self._opened_at: dict[BatchId, float] = {}
        self._mean_open_s: dict[ModelName, float] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the rows of all open batches have been read once."""
        return self._is_loaded()

    def get(self, batch_id: BatchId) -> Owner | None:
        """Return the owner of a batch, None if the batch is not open."""
        known = self._owners.get(batch_id)
        return known[0] if known is not None else None

    def put(self, batch_id: BatchId, owner: Owner, version: RowVersion) -> None:
        """Apply a new or changed owner row."""
        if batch_id not in self._owners:
            self._record_batch_size(owner)
            self._opened_at[batch_id] = self._clock.monotonic()
        self._owners[batch_id] = (owner, version)
        if owner.host:
            self._last_owner[owner.model] = HostId(owner.host)

    def put_unreadable(self, batch_id: BatchId, version: RowVersion) -> None:
        """Apply an owner row that cannot be decoded: nobody owns the batch.

        The host that takes the batch over writes a complete row again.
        """
        before = self.get(batch_id) or Owner("", "", ModelName(""))
        unowned = msgspec.structs.replace(before, host="", lifetime="")
        self.put(batch_id, unowned, version)

    def remove(self, batch_id: BatchId) -> None:
        """Remove a batch that was ended."""
        known = self._owners.pop(batch_id, None)
        opened_at = self._opened_at.pop(batch_id, None)
        if known is not None and opened_at is not None:
            self._record_open_time(known[0].model, self._clock.monotonic() - opened_at)
        self._ownerless_since.pop(batch_id, None)

    def is_mine(self, owner: Owner) -> bool:
        """Whether this run of this host is the owner."""
        return owner.lifetime == self._presence.lifetime

    def mean_batch_tokens(self, model: ModelName) -> float:
        """Return the mean size of a model's batches in tokens, 0 if none is known."""
        return self._mean_batch_tokens.get(model, 0.0)

    def largest_batch_sample_count(self, model: ModelName) -> int:
        """Return the sample count of a model's largest batch, 0 if none is known."""
        return self._largest_sample_count.get(model, 0)

    def open_seconds(self) -> Mapping[ModelName, float]:
        """Return the mean time for which ended batches of each model were open."""
        return self._mean_open_s

    def needed_version(self, model: ModelName) -> ModelVersion:
        """Return the oldest version that all open batches of a model allow."""
        needed = (
            owner.min_version
            for owner, _ in self._owners.values()
            if owner.model == model
        )
        return max(needed, default=ModelVersion(0))

    def accepted_at(self, batch_id: BatchId) -> float:
        """Return the monotonic time at which a batch was accepted.

        It is the time at which this host learned of the batch if the owner row or the
        store's time is not known, and the present time if the host knows no owner row.
        """
        now = self._clock.monotonic()
        owner = self.get(batch_id)
        store_now = self._store_time(now)
        if owner is None or not owner.accepted_at or store_now is None:
            return self._opened_at.get(batch_id, now)
        return now - max(store_now - owner.accepted_at, 0.0)

    def choose_owner(
        self,
        batch: Batch,
        *,
        may_choose_this_host: bool,
        records_time: bool = False,
    ) -> Owner:
        """Return the owner for a new batch.

        The owner of the model's latest batch is preferred, as it has connections to the
        engines and has measured their speed. If it is not available, the host with the
        most capacity is chosen. The owner is empty if no host is known; a host then
        takes the batch over.

        Parameters
        ----------
        records_time : bool
            Whether to record when the batch is accepted, for a later owner.
        """
        hosts = [
            host
            for host in self._presence.batch_hosts(batch.data_centres)
            if may_choose_this_host or host != self._presence.host
        ]
        host = self._last_owner.get(batch.model)
        if host not in hosts:
            host = self._host_with_most_capacity(hosts, batch.model)
        lifetime = self._lifetime_of(host)
        owner = Owner(
            host=host if host is not None and lifetime is not None else "",
            lifetime=lifetime or "",
            model=batch.model,
            work=_expected_tokens(batch),
            min_version=batch.min_version,
            data_centres=batch.data_centres,
            samples=len(batch.samples),
        )
        accepted_at = self._store_time(self._clock.monotonic())
        if not records_time or accepted_at is None:
            return owner
        return msgspec.structs.replace(owner, accepted_at=round(accepted_at, 3))

    def claimed_row(self, before: Owner) -> Owner:
        """Return the owner row with this host as the owner."""
        return msgspec.structs.replace(
            before, host=self._presence.host, lifetime=self._presence.lifetime
        )

    def takeover_candidates(self) -> Iterator[tuple[BatchId, Owner, RowVersion]]:
        """Yield the batches without a live owner whose delay for this host is over."""
        now = self._clock.monotonic()
        for batch_id, (owner, version) in list(self._owners.items()):
            if self._has_live_owner(owner) or self._is_newer_than_heartbeats(version):
                self._ownerless_since.pop(batch_id, None)
                continue
            since = self._ownerless_since.setdefault(batch_id, now)
            if not self._presence.is_in_data_centres(
                self._presence.host, owner.data_centres
            ):
                continue
            if now - since >= self._takeover_rank(batch_id, owner) * TAKEOVER_STAGGER_S:
                yield batch_id, owner, version

    def _is_newer_than_heartbeats(self, version: RowVersion) -> bool:
        """Whether an owner row is newer than the heartbeats read by this host.

        Such a row may name a run whose first heartbeat has not been read yet, as hosts
        get batches right after their start. Its owner is not taken to be lost.
        """
        return version > self._presence.read_version

    def _has_live_owner(self, owner: Owner) -> bool:
        if not owner.host:
            return False
        return self._presence.is_alive(HostId(owner.host), Lifetime(owner.lifetime))

    def _lifetime_of(self, host: HostId | None) -> Lifetime | None:
        if host is None:
            return None
        if host == self._presence.host:
            return self._presence.lifetime
        return self._presence.lifetime_of(host)

    def _takeover_rank(self, batch_id: BatchId, owner: Owner) -> int:
        """Return the position of this host in the takeover order of a batch."""
        hosts = sorted(
            self._presence.live_hosts(owner.data_centres),
            key=lambda host: (
                -self._presence.capacity_of(host),
                rendezvous_hash(batch_id, host),
            ),
        )
        if self._presence.host not in hosts:
            return MAX_TAKEOVER_RANK
        return min(hosts.index(self._presence.host), MAX_TAKEOVER_RANK)

    def _host_with_most_capacity(
        self, hosts: Sequence[HostId], model: ModelName
    ) -> HostId | None:
        """Return the host with the most capacity; hosts without batches win ties."""
        latest_owners = set(self._last_owner.values())
        return max(
            hosts,
            key=lambda host: (
                self._presence.capacity_of(host),
                host not in latest_owners,
                rendezvous_hash(model, host),
            ),
            default=None,
        )

    def _record_open_time(self, model: ModelName, open_s: float) -> None:
        mean = self._mean_open_s.get(model, open_s)
        self._mean_open_s[model] = mean + NEWEST_BATCH_WEIGHT * (open_s - mean)

    def _record_batch_size(self, owner: Owner) -> None:
        samples = max(owner.samples, self.largest_batch_sample_count(owner.model))
        self._largest_sample_count[owner.model] = samples
        mean = self._mean_batch_tokens.get(owner.model, owner.work)
        self._mean_batch_tokens[owner.model] = mean + NEWEST_BATCH_WEIGHT * (
            owner.work - mean
        )


def _expected_tokens(batch: Batch) -> int:
    return sum(sample.length_hint or DEFAULT_TOKEN_COUNT for sample in batch.samples)

"""Who works on which batch, and who should."""

from collections.abc import Callable, Iterator, Mapping, Sequence

import msgspec

from bankrudder.batches._values import Batch, BatchId, Owner
from bankrudder.presence import Lifetime, Presence, rendezvous_hash
from bankrudder.routing import ModelName
from bankrudder.store import RowVersion
from bankrudder.world import Clock, HostId, ModelVersion

RANK_DELAY_S = 0.4
"""Hosts take over one after the other, this far apart, so that seldom two try."""

MAX_RANK = 3
"""Hosts beyond it wait no longer than this rank."""

WORK_WEIGHT = 0.3
"""Weight of the newest batch in the mean size of a model's batches, and in the mean
time for which they are open."""

USUAL_TOKENS = 1000
"""Tokens that a sample is expected to generate if it says nothing."""


class OwnerBook:
    """The owners of all open batches, as the store tells them."""

    def __init__(
        self,
        presence: Presence,
        clock: Clock,
        is_loaded: Callable[[], bool] = lambda: True,
    ):
        self._is_loaded = is_loaded
        self._presence = presence
        self._clock = clock
        self._owners: dict[BatchId, tuple[Owner, RowVersion]] = {}
        self._ownerless_since: dict[BatchId, float] = {}
        self._last_owner: dict[ModelName, HostId] = {}
        self._mean_work: dict[ModelName, float] = {}
        self._most_samples: dict[ModelName, int] = {}
        self._opened_at: dict[BatchId, float] = {}
        self._mean_open_s: dict[ModelName, float] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the rows of all open batches were read once."""
        return self._is_loaded()

    def get(self, batch_id: BatchId) -> Owner | None:
        """Return the owner's row of a batch, None if the batch is not open."""
        known = self._owners.get(batch_id)
        return known[0] if known is not None else None

    def put(self, batch_id: BatchId, owner: Owner, version: RowVersion) -> None:
        """Take a new or changed row."""
        if batch_id not in self._owners:
            self._note_work(owner)
            self._opened_at[batch_id] = self._clock.monotonic()
        self._owners[batch_id] = (owner, version)
        if owner.host:
            self._last_owner[owner.model] = HostId(owner.host)

    def remove(self, batch_id: BatchId) -> None:
        """Forget a batch that was ended."""
        known = self._owners.pop(batch_id, None)
        opened_at = self._opened_at.pop(batch_id, None)
        if known is not None and opened_at is not None:
            self._note_end(known[0].model, self._clock.monotonic() - opened_at)
        self._ownerless_since.pop(batch_id, None)

    def is_mine(self, owner: Owner) -> bool:
        """Whether this run of this host is the owner."""
        return owner.lifetime == self._presence.lifetime

    def work_of(self, model: ModelName) -> float:
        """Return the mean size of a model's latest batches in tokens, 0 if unknown."""
        return self._mean_work.get(model, 0.0)

    def samples_of(self, model: ModelName) -> int:
        """Return the samples of a model's largest batch so far, 0 if none is known."""
        return self._most_samples.get(model, 0)

    def open_seconds(self) -> Mapping[ModelName, float]:
        """Return for how long the latest batches of each model were open."""
        return self._mean_open_s

    def needed_version(self, model: ModelName) -> ModelVersion:
        """Return the newest of the oldest versions that open batches allow."""
        needed = (
            owner.min_version
            for owner, _ in self._owners.values()
            if owner.model == model
        )
        return max(needed, default=ModelVersion(0))

    def pick(self, batch: Batch, *, may_be_me: bool) -> Owner:
        """Return who shall work on a new batch: the owner of the model's last one.

        That host has connections to the engines and knows how quick they are. The
        owner is empty if nobody is known; then the batch is taken over.
        """
        hosts = [
            host
            for host in self._presence.batch_hosts(batch.data_centres)
            if may_be_me or host != self._presence.host
        ]
        host = self._last_owner.get(batch.model)
        if host not in hosts:
            host = self._roomiest(hosts, batch.model)
        lifetime = self._lifetime_of(host)
        return Owner(
            host=host if host is not None and lifetime is not None else "",
            lifetime=lifetime or "",
            model=batch.model,
            work=_expected_tokens(batch),
            min_version=batch.min_version,
            data_centres=batch.data_centres,
            samples=len(batch.samples),
        )

    def mine(self, before: Owner) -> Owner:
        """Return the row that makes this host the owner."""
        return msgspec.structs.replace(
            before, host=self._presence.host, lifetime=self._presence.lifetime
        )

    def due_for_me(self) -> Iterator[tuple[BatchId, Owner, RowVersion]]:
        """Yield the batches that nobody works on and this host should take over."""
        now = self._clock.monotonic()
        for batch_id, (owner, version) in list(self._owners.items()):
            if self._has_owner(owner) or self._may_be_new(version):
                self._ownerless_since.pop(batch_id, None)
                continue
            since = self._ownerless_since.setdefault(batch_id, now)
            if not self._presence.is_in_data_centres(
                self._presence.host, owner.data_centres
            ):
                continue
            if now - since >= self._rank(batch_id, owner) * RANK_DELAY_S:
                yield batch_id, owner, version

    def _may_be_new(self, version: RowVersion) -> bool:
        """Whether an owner's row is newer than what is known of the hosts.

        It may name a run whose first heartbeat has not been read here, as hosts that
        have just started are given batches at once.
        """
        return version > self._presence.read_version

    def _has_owner(self, owner: Owner) -> bool:
        if not owner.host:
            return False
        return self._presence.is_alive(HostId(owner.host), Lifetime(owner.lifetime))

    def _lifetime_of(self, host: HostId | None) -> Lifetime | None:
        if host is None:
            return None
        if host == self._presence.host:
            return self._presence.lifetime
        return self._presence.lifetime_of(host)

    def _rank(self, batch_id: BatchId, owner: Owner) -> int:
        """Return this host's place among those that would take a batch over."""
        hosts = sorted(
            self._presence.live_hosts(owner.data_centres),
            key=lambda host: (
                -self._presence.capacity_of(host),
                rendezvous_hash(batch_id, host),
            ),
        )
        if self._presence.host not in hosts:
            return MAX_RANK
        return min(hosts.index(self._presence.host), MAX_RANK)

    def _roomiest(self, hosts: Sequence[HostId], model: ModelName) -> HostId | None:
        """Return a host with much room, another one for each model if there are."""
        taken = set(self._last_owner.values())
        return max(
            hosts,
            key=lambda host: (
                self._presence.capacity_of(host),
                host not in taken,
                rendezvous_hash(model, host),
            ),
            default=None,
        )

    def _note_end(self, model: ModelName, open_s: float) -> None:
        mean = self._mean_open_s.get(model, open_s)
        self._mean_open_s[model] = mean + WORK_WEIGHT * (open_s - mean)

    def _note_work(self, owner: Owner) -> None:
        samples = max(owner.samples, self.samples_of(owner.model))
        self._most_samples[owner.model] = samples
        mean = self._mean_work.get(owner.model, owner.work)
        self._mean_work[owner.model] = mean + WORK_WEIGHT * (owner.work - mean)


def _expected_tokens(batch: Batch) -> int:
    return sum(sample.length_hint or USUAL_TOKENS for sample in batch.samples)

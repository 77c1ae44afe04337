"""The leases of one host, each on a duty of its own."""

import asyncio
from collections.abc import Callable

from bankrudder.leases import CANDIDATES, Lease
from bankrudder.node._settings import NodeSettings
from bankrudder.presence import DrawnOrder, Lifetime, Presence
from bankrudder.store import Store
from bankrudder.world import Clock


class HostLeases:
    """Makes the leases, and does to all of them what concerns all."""

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        lifetime: Lifetime,
        presence: Presence,
        clock: Clock,
    ):
        self._settings = settings
        self._store = store
        self._lifetime = lifetime
        self._presence = presence
        self._clock = clock
        self._leases: list[Lease] = []

    def make(
        self, name: str, on_change: Callable[[bool], None] = lambda _: None
    ) -> Lease:
        """Make the lease on a duty."""
        order = DrawnOrder(name)

        def is_candidate() -> bool:
            return self._settings.host in self._presence.duty_hosts(order, CANDIDATES)

        lease = Lease(
            self._store,
            name,
            self._settings.host,
            self._lifetime,
            is_candidate,
            self._clock,
            self._settings.lease_ms / 1000,
            on_change,
            self._settings.callers_address,
        )
        self._leases.append(lease)
        return lease

    async def release(self) -> None:
        """Give up all duties before a planned stop."""
        await asyncio.gather(*(lease.release() for lease in self._leases))

    def set_duration(self, seconds: float) -> None:
        """Change the length of all leases from their next renewal on."""
        for lease in self._leases:
            lease.set_duration(seconds)

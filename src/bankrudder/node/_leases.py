"""The leases of one host, one for each duty."""

import asyncio
from collections.abc import Callable

from bankrudder.leases import CANDIDATE_COUNT, Lease
from bankrudder.node._settings import NodeSettings
from bankrudder.presence import Lifetime, Presence, RendezvousOrder
from bankrudder.store import Store
from bankrudder.world import Clock


class HostLeases:
    """Creates the leases, and releases or reconfigures all of them together."""

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
        """Create the lease on a duty.

        Parameters
        ----------
        on_change : callable
            Called with True when this host acquires the lease, with False when it
            loses it.
        """
        order = RendezvousOrder(name)

        def is_candidate() -> bool:
            return self._settings.host in self._presence.duty_hosts(
                order, CANDIDATE_COUNT
            )

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
        """Release all leases before a planned stop."""
        await asyncio.gather(*(lease.release() for lease in self._leases))

    def set_duration(self, seconds: float) -> None:
        """Change the duration of all leases from their next renewal on."""
        for lease in self._leases:
            lease.set_duration(seconds)

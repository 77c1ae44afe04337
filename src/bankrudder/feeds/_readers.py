"""Which host of a data centre reads for the others.

All hosts draw the same order from the data centre's name; the first live one reads. For
a moment two may, or none: a subscriber that hears nothing reads by itself.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from bankrudder.feeds._cache import FeedCache
from bankrudder.feeds._messages import FeedMessage
from bankrudder.feeds._publisher import FeedPublisher
from bankrudder.feeds._store import FeedRole, RelayedStore
from bankrudder.presence import Presence, RendezvousOrder
from bankrudder.world import Address, DataCentreName, HostId

if TYPE_CHECKING:
    from bankrudder.feeds._links import PublisherLink, SubscriberLink

BEAT_S = 0.25
"""Pause between two signs of life of a reader."""

LOOK_BEATS = 2
"""Beats between two looks at who should read."""


class ReaderElection:
    """Takes the role that this host should have, and does what it asks.

    Parameters
    ----------
    address : Address
        Where this host sends to its subscribers if it reads.
    min_hosts : int
        Smallest fleet in which hosts read for others.
    make_publisher : callable
        Makes a publisher that sends through a callable.
    """

    def __init__(
        self,
        store: RelayedStore,
        cache: FeedCache,
        presence: Presence,
        data_centre: DataCentreName,
        address: Address,
        min_hosts: int,
        make_publisher: Callable[[Callable[[FeedMessage], None]], FeedPublisher],
    ):
        self._store = store
        self._cache = cache
        self._presence = presence
        self._data_centre = data_centre
        self._order = RendezvousOrder(data_centre)
        self._address = address
        self._min_hosts = min_hosts
        self._make_publisher = make_publisher
        self._publisher: FeedPublisher | None = None
        self._listening: PublisherLink | None = None
        self._dialled: tuple[Address, SubscriberLink] | None = None

    async def run(self) -> None:
        """Look who should read, and beat if this host does, until cancelled."""
        try:
            beats = 0
            while True:
                if beats % LOOK_BEATS == 0:
                    self._take_role()
                if self._publisher is not None:
                    self._publisher.beat()
                beats += 1
                await asyncio.sleep(BEAT_S)
        finally:
            self._stop_reading()
            self._stop_subscribing()
            self._store.become(FeedRole.DIRECT)

    def _take_role(self) -> None:
        reader = self._elected()
        if reader is None:
            self._stop_reading()
            self._stop_subscribing()
            self._store.become(FeedRole.DIRECT)
        elif reader == self._presence.host:
            self._stop_subscribing()
            self._begin_reading()
        else:
            self._stop_reading()
            self._subscribe_to(self._presence.heartbeats()[reader].feed_address)

    def _elected(self) -> HostId | None:
        if self._presence.host_count() < self._min_hosts:
            return None
        first = self._presence.first_live(
            self._order,
            1,
            (self._data_centre,),
            lambda beat: bool(beat.feed_address),
        )
        return first[0] if first else None

    def _begin_reading(self) -> None:
        if self._listening is None:
            # Imported late: a small fleet does without the library.
            from bankrudder.feeds._links import PublisherLink

            self._listening = PublisherLink(self._address)
            self._publisher = self._make_publisher(self._listening.send)
        # Others wait for its reads, so its loss must be noticed soon.
        self._presence.set_reads_for_others(True)
        self._store.become(FeedRole.READER, self._publisher)

    def _stop_reading(self) -> None:
        self._presence.set_reads_for_others(False)
        self._publisher = None
        listening, self._listening = self._listening, None
        if listening is not None:
            listening.close()

    def _subscribe_to(self, address: Address) -> None:
        if self._dialled is None or self._dialled[0] != address:
            from bankrudder.feeds._links import SubscriberLink

            self._stop_subscribing()
            self._dialled = (address, SubscriberLink(address, self._cache.take))
        self._store.become(FeedRole.SUBSCRIBER)

    def _stop_subscribing(self) -> None:
        dialled, self._dialled = self._dialled, None
        if dialled is not None:
            dialled[1].close()
        self._cache.clear()

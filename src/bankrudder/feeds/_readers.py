"""Election of the host that reads the store for the others of its data centre.

All hosts derive the same order of hosts from the data centre's name; the first live
host is the reader. For a short time there may be two readers or none: a subscriber
that receives no messages reads the store itself.
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

HEARTBEAT_INTERVAL_S = 0.25
"""Pause between two heartbeats of a reader."""

ELECTION_HEARTBEAT_COUNT = 2
"""Heartbeat intervals between two checks of which host should read."""


class ReaderElection:
    """Determines the role of this host, and opens or closes its links accordingly.

    Parameters
    ----------
    address : Address
        Address at which this host, as a reader, serves its subscribers.
    min_hosts : int
        Smallest number of hosts in the fleet at which one reads for others.
    max_subscribers : int
        Largest number of connections of subscribers.
    make_publisher : callable
        Creates a publisher that sends its messages through the given callable.
    """

    def __init__(
        self,
        store: RelayedStore,
        cache: FeedCache,
        presence: Presence,
        data_centre: DataCentreName,
        address: Address,
        min_hosts: int,
        max_subscribers: int,
        make_publisher: Callable[[Callable[[FeedMessage], None]], FeedPublisher],
    ):
        self._store = store
        self._cache = cache
        self._presence = presence
        self._data_centre = data_centre
        self._election_order = RendezvousOrder(data_centre)
        self._address = address
        self._min_hosts = min_hosts
        self._max_subscribers = max_subscribers
        self._make_publisher = make_publisher
        self._publisher: FeedPublisher | None = None
        self._publisher_link: PublisherLink | None = None
        self._subscription: tuple[Address, SubscriberLink] | None = None

    async def run(self) -> None:
        """Keep the role current, and send heartbeats as a reader, until cancelled."""
        try:
            heartbeat_count = 0
            while True:
                if heartbeat_count % ELECTION_HEARTBEAT_COUNT == 0:
                    self._update_role()
                if self._publisher is not None:
                    self._publisher.send_heartbeat()
                heartbeat_count += 1
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        finally:
            self._stop_reading()
            self._stop_subscribing()
            self._store.set_role(FeedRole.DIRECT)

    def _update_role(self) -> None:
        reader = self._elected()
        if reader is None:
            self._stop_reading()
            self._stop_subscribing()
            self._store.set_role(FeedRole.DIRECT)
        elif reader == self._presence.host:
            self._stop_subscribing()
            self._start_reading()
        else:
            self._stop_reading()
            self._subscribe_to(self._presence.heartbeats()[reader].feed_address)

    def _elected(self) -> HostId | None:
        if self._presence.host_count() < self._min_hosts:
            return None
        first = self._presence.first_live(
            self._election_order,
            1,
            (self._data_centre,),
            lambda heartbeat: bool(heartbeat.feed_address),
        )
        return first[0] if first else None

    def _start_reading(self) -> None:
        if self._publisher_link is None:
            # Imported late, because a small fleet does not need the library.
            from bankrudder.feeds._links import PublisherLink

            self._publisher_link = PublisherLink(self._address, self._max_subscribers)
            self._publisher = self._make_publisher(self._publisher_link.send)
        # Subscribers depend on a reader, so they must detect its loss soon.
        self._presence.set_reads_for_others(True)
        self._store.set_role(FeedRole.READER, self._publisher)

    def _stop_reading(self) -> None:
        self._presence.set_reads_for_others(False)
        self._publisher = None
        publisher_link, self._publisher_link = self._publisher_link, None
        if publisher_link is not None:
            publisher_link.close()

    def _subscribe_to(self, address: Address) -> None:
        if self._subscription is None or self._subscription[0] != address:
            from bankrudder.feeds._links import SubscriberLink

            self._stop_subscribing()
            self._subscription = (address, SubscriberLink(address, self._cache.apply))
        self._store.set_role(FeedRole.SUBSCRIBER)

    def _stop_subscribing(self) -> None:
        subscription, self._subscription = self._subscription, None
        if subscription is not None:
            subscription[1].close()
        self._cache.clear()

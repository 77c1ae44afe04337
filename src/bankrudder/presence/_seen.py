"""The newest heartbeat of each host, as read from the store."""

from collections import deque
from collections.abc import Iterator, KeysView

import msgspec
import structlog

from bankrudder.decoding import decode_json
from bankrudder.presence._values import Heartbeat, Lifetime
from bankrudder.store import Row, RowKey, RowVersion
from bankrudder.world import Clock, HostId

MAX_ENDED_LIFETIMES = 1000
"""Number of ended runs whose identifiers are remembered. A late heartbeat arrives
seconds after its run has ended, and far fewer hosts restart within that time."""

_log = structlog.get_logger("presence")


class SeenHost(msgspec.Struct, frozen=True):
    """The newest heartbeat of a host.

    Attributes
    ----------
    seen_at : float
        Monotonic time at which the heartbeat was read.
    version : RowVersion
        Version of the host's row.
    """

    heartbeat: Heartbeat
    seen_at: float
    version: RowVersion


class SeenHosts:
    """The newest heartbeat of each known host."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: dict[HostId, SeenHost] = {}
        self._ended_lifetimes: deque[Lifetime] = deque(maxlen=MAX_ENDED_LIFETIMES)

    def __len__(self) -> int:
        return len(self._seen)

    def __iter__(self) -> Iterator[HostId]:
        return iter(self._seen)

    def __getitem__(self, host: HostId) -> SeenHost:
        return self._seen[host]

    def get(self, host: HostId) -> SeenHost | None:
        """Return the newest heartbeat of a host, None if the host is not known."""
        return self._seen.get(host)

    def known_hosts(self) -> KeysView[HostId]:
        """Return the names of all known hosts."""
        return self._seen.keys()

    def others(self, host: HostId) -> Iterator[tuple[HostId, SeenHost]]:
        """Yield all known hosts except `host`, with their newest heartbeats."""
        return (each for each in self._seen.items() if each[0] != host)

    def newest_heartbeats(self) -> list[Heartbeat]:
        """Return the newest heartbeats of all known hosts."""
        return [each.heartbeat for each in self._seen.values()]

    def has_heard_all_hosts(
        self, excluded: HostId, seconds: float, max_silence_s: float
    ) -> bool:
        """Whether each host that may still return has sent a recent heartbeat.

        Parameters
        ----------
        excluded : HostId
            Host that is left out: the one that asks.
        seconds : float
            Maximum age of a recent heartbeat.
        max_silence_s : float
            Silence after which a host is no longer expected to return.
        """
        since = self._clock.monotonic() - seconds
        gone_since = self._clock.monotonic() - max_silence_s
        return not any(
            gone_since < seen.seen_at < since for _, seen in self.others(excluded)
        )

    def wall_ahead(self) -> list[float]:
        """Return how far each host's wall clock is ahead of the store's clock."""
        return [
            heartbeat.wall_ahead_s
            for heartbeat in self.newest_heartbeats()
            if heartbeat.wall_ahead_s is not None
        ]

    def apply_row(self, row: Row) -> None:
        """Record the heartbeat in a new or changed row."""
        host = HostId(row.key.key)
        heartbeat = decode_json(row.value, Heartbeat)
        if heartbeat.lifetime in self._ended_lifetimes:
            return  # written before that run ended and applied late by the store
        before = self._seen.get(host)
        if before is not None and before.heartbeat.lifetime != heartbeat.lifetime:
            self._ended_lifetimes.append(before.heartbeat.lifetime)
        if before is None or before.heartbeat.lifetime != heartbeat.lifetime:
            _log.info("presence: host runs", host=host, lifetime=heartbeat.lifetime)
        self._seen[host] = SeenHost(heartbeat, self._clock.monotonic(), row.version)

    def remove_row(self, key: RowKey) -> None:
        """Forget a host whose row was removed."""
        self._seen.pop(HostId(key.key), None)
        _log.info("presence: host removed", host=key.key)

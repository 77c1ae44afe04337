"""What the heartbeats of all hosts told last; it decides nothing."""

from collections import deque
from collections.abc import Iterator, KeysView

import msgspec
import structlog

from bankrudder.presence._values import Heartbeat, Lifetime
from bankrudder.store import Row, RowKey, RowVersion
from bankrudder.world import Clock, HostId

KEPT_ENDED = 1000
"""Ended runs that are remembered: a late heartbeat comes seconds after the end, in
which far fewer hosts restart."""

_log = structlog.get_logger("presence")


class SeenHost(msgspec.Struct, frozen=True):
    """The newest heartbeat of a host.

    Attributes
    ----------
    at : float
        Monotonic time at which it was read.
    version : RowVersion
        Of the host's row.
    """

    beat: Heartbeat
    at: float
    version: RowVersion


class SeenHosts:
    """The newest heartbeat of each host that is known."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: dict[HostId, SeenHost] = {}
        self._ended: deque[Lifetime] = deque(maxlen=KEPT_ENDED)

    def __len__(self) -> int:
        return len(self._seen)

    def __iter__(self) -> Iterator[HostId]:
        return iter(self._seen)

    def __getitem__(self, host: HostId) -> SeenHost:
        return self._seen[host]

    def get(self, host: HostId) -> SeenHost | None:
        """Return what was seen of a host, None if it is not known."""
        return self._seen.get(host)

    def names(self) -> KeysView[HostId]:
        """Return the hosts that are known."""
        return self._seen.keys()

    def others(self, host: HostId) -> Iterator[tuple[HostId, SeenHost]]:
        """Yield what was seen of all other hosts."""
        return (each for each in self._seen.items() if each[0] != host)

    def beats(self) -> list[Heartbeat]:
        """Return the newest heartbeats."""
        return [each.beat for each in self._seen.values()]

    def is_everyone_heard(
        self, but: HostId, seconds: float, forgotten_s: float
    ) -> bool:
        """Whether each host that may still come back was heard of of late.

        Parameters
        ----------
        but : HostId
            A host that does not count, the one that asks.
        seconds : float
            How lately.
        forgotten_s : float
            Silence after which a host is not waited for any more.
        """
        since = self._clock.monotonic() - seconds
        forgotten = self._clock.monotonic() - forgotten_s
        return not any(forgotten < seen.at < since for _, seen in self.others(but))

    def wall_ahead(self) -> list[float]:
        """Return how far each host's time of day is ahead of the store's clock."""
        return [
            beat.wall_ahead_s for beat in self.beats() if beat.wall_ahead_s is not None
        ]

    def take(self, row: Row) -> None:
        """Take a host's row as it is now."""
        host = HostId(row.key.key)
        beat = msgspec.json.decode(row.value, type=Heartbeat)
        if beat.lifetime in self._ended:
            return  # written before that run ended, and carried out late
        before = self._seen.get(host)
        if before is not None and before.beat.lifetime != beat.lifetime:
            self._ended.append(before.beat.lifetime)
        if before is None or before.beat.lifetime != beat.lifetime:
            _log.info("presence: host runs", host=host, lifetime=beat.lifetime)
        self._seen[host] = SeenHost(beat, self._clock.monotonic(), row.version)

    def drop(self, key: RowKey) -> None:
        """Forget a host whose row is gone."""
        self._seen.pop(HostId(key.key), None)
        _log.info("presence: host removed", host=key.key)

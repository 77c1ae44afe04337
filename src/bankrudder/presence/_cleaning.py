"""Removal of the rows of hosts that are gone for good.

Idle hosts beat less often the more rows there are, so rows of replaced hosts would slow
the heartbeats of all others down.
"""

import structlog

from bankrudder.presence._hosts import Presence
from bankrudder.presence._values import HOSTS_TABLE
from bankrudder.store import (
    Committed,
    Expectation,
    RowKey,
    Store,
    Transaction,
)

CLEANING_PAUSE_S = 60.0
"""How often it is looked for such rows."""

GONE_S = 600.0
"""Silence after which a host is taken for gone for good: fifty times as long as the
largest fleet's hosts are silent between two heartbeats. One that comes back writes its
row again."""

_log = structlog.get_logger("presence")


class HostCleaner:
    """Removes rows; one host at a time is enough."""

    def __init__(self, store: Store, presence: Presence):
        self._store = store
        self._presence = presence

    async def clean(self) -> None:
        """Remove each row that has stood still for long."""
        for host, version in self._presence.silent_hosts(GONE_S):
            key = RowKey(HOSTS_TABLE, "", host)
            # The version makes sure that a host that came back keeps its row.
            transaction = Transaction((Expectation(key, version),), (), (key,))
            outcome = await self._store.commit(transaction)
            _log.info(
                "presence: row of a host that is gone removed",
                host=host,
                is_removed=isinstance(outcome, Committed),
            )

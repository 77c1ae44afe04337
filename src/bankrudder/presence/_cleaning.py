"""Removal of the heartbeat rows of hosts that no longer exist.

Idle hosts send heartbeats less often the more rows there are, so the rows of replaced
hosts would slow down the heartbeats of all other hosts.
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
"""Pause between two searches for stale rows."""

STALE_ROW_AGE_S = 600.0
"""Silence after which a host is considered removed: fifty times the pause between two
heartbeats in the largest fleet. A host that returns later writes its row again."""

_log = structlog.get_logger("presence")


class HostCleaner:
    """Removes stale rows. It needs to run on only one host at a time."""

    def __init__(self, store: Store, presence: Presence):
        self._store = store
        self._presence = presence

    async def clean(self) -> None:
        """Remove each row that has not changed for `STALE_ROW_AGE_S`."""
        for host, version in self._presence.silent_hosts(STALE_ROW_AGE_S):
            key = RowKey(HOSTS_TABLE, "", host)
            # The expected version keeps the row of a host that has returned.
            transaction = Transaction((Expectation(key, version),), (), (key,))
            outcome = await self._store.commit(transaction)
            _log.info(
                "presence: removal of a stale row attempted",
                host=host,
                is_removed=isinstance(outcome, Committed),
            )

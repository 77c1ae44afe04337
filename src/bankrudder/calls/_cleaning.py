"""Removal of records whose keys may no longer be used."""

from collections.abc import Callable

import structlog

from bankrudder.calls._keys import CLOCK_BOUND_S, minted_in
from bankrudder.calls._records import CallRecords
from bankrudder.leases import Lease
from bankrudder.world import Clock

CLEANING_PAUSE_S = 30.0
"""How often the records are looked through: a thirtieth of the usual retry window."""

MARGIN_S = 60.0
"""Time beyond the retry window for which a record is kept: a request that began at its
end may still be in progress."""

_log = structlog.get_logger("calls")


class CallCleaner:
    """Removes old records while this host holds a lease.

    Parameters
    ----------
    longest_window_s : callable
        Longest retry window of all pools, in seconds.
    """

    def __init__(
        self,
        records: CallRecords,
        lease: Lease,
        longest_window_s: Callable[[], float],
        clock: Clock,
    ):
        self._records = records
        self._lease = lease
        self._longest_window_s = longest_window_s
        self._clock = clock

    async def clean(self) -> None:
        """Look through all records once."""
        kept_s = self._longest_window_s() + MARGIN_S + CLOCK_BOUND_S
        oldest = self._clock.wall() - kept_s
        due = [name for name in await self._records.names() if minted_in(name) < oldest]
        for name in due:
            if not self._lease.is_valid:
                return
            await self._records.forget(name)
        if due:
            _log.info("calls: records removed after their window", records=len(due))

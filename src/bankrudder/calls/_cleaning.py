"""Removal of call records whose idempotency keys have expired."""

from collections.abc import Callable

import structlog

from bankrudder.calls._keys import MAX_CLOCK_SKEW_S, record_timestamp
from bankrudder.calls._records import CallRecords
from bankrudder.leases import Lease
from bankrudder.world import Clock

CLEANING_PAUSE_S = 30.0
"""Pause between two scans of the records: a thirtieth of the usual retry window."""

IN_PROGRESS_MARGIN_S = 60.0
"""Time beyond the retry window for which a record is kept: a request that began at the
end of the window may still be in progress."""

_log = structlog.get_logger("calls")


class CallRecordCleaner:
    """Removes expired records while this host holds the lease.

    Parameters
    ----------
    max_retry_window_s : callable
        Returns the longest retry window of all pools, in seconds.
    """

    def __init__(
        self,
        records: CallRecords,
        lease: Lease,
        max_retry_window_s: Callable[[], float],
        clock: Clock,
    ):
        self._records = records
        self._lease = lease
        self._max_retry_window_s = max_retry_window_s
        self._clock = clock

    async def clean(self) -> None:
        """Scan all records once and remove the expired ones."""
        retained_s = (
            self._max_retry_window_s() + IN_PROGRESS_MARGIN_S + MAX_CLOCK_SKEW_S
        )
        oldest_timestamp_s = self._clock.wall() - retained_s
        expired_names = [
            name
            for name in await self._records.names()
            if (timestamp_s := record_timestamp(name)) is not None
            and timestamp_s < oldest_timestamp_s
        ]
        for name in expired_names:
            if not self._lease.is_valid:
                return
            await self._records.delete(name)
        if expired_names:
            _log.info(
                "calls: records removed after their window", records=len(expired_names)
            )

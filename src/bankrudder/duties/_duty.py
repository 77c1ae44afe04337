"""A duty towards the platform, carried out by the host that holds its lease.

The platform does not check fencing tokens everywhere, so a call must not arrive after
another host took over. The lease is looked at right before each call, and no call
outlasts the time in which the lease is surely held: what is left of it between the
holder's last moment and the next holder's first is for what is still on its way.
"""

import asyncio

import structlog

from bankrudder.duties._port import DutyApi, DutyCall, DutyOutcome, DutyTicket
from bankrudder.leases import Lease
from bankrudder.store import RowVersion
from bankrudder.world import Clock, HostId

MAX_CALL_S = 0.8
"""Longest time for one call: half more than one takes when the platform is fifty times
slower than usual."""

MIN_CALL_S = 0.1
"""Time that the lease must still be held for a call to begin: some ten usual calls."""

RATE_SHARE = 0.5
"""Share of the calls that the platform takes which one duty makes at most: the rest is
for the holder before, and for other duties."""

_log = structlog.get_logger("duties")


class Duty:
    """Calls of one duty, one after the other.

    Parameters
    ----------
    name : str
        What the duty is, for log lines.
    calls_per_s : float
        Calls that the platform takes from all hosts and duties together, a second.
    """

    def __init__(
        self,
        name: str,
        api: DutyApi,
        lease: Lease,
        host: HostId,
        calls_per_s: float,
        clock: Clock,
    ):
        self._name = name
        self._api = api
        self._lease = lease
        self._host = host
        self._pause_s = 1 / (RATE_SHARE * calls_per_s)
        self._clock = clock
        self._next_at = 0.0
        self._turn = asyncio.Lock()

    @property
    def is_held(self) -> bool:
        """Whether this host may carry the duty out now."""
        return self._lease.is_valid

    async def call(self, call: DutyCall) -> DutyOutcome:
        """Make a call if the duty is this host's."""
        async with self._turn:
            await asyncio.sleep(max(self._next_at - self._clock.monotonic(), 0.0))
            self._next_at = self._clock.monotonic() + self._pause_s
            outcome = await self._made(call)
        level = _log.info if outcome is DutyOutcome.DONE else _log.warning
        level(
            "duties: call made",
            duty=self._name,
            call=call,
            fence=self._lease.fence,
            outcome=outcome.value,
        )
        return outcome

    async def _made(self, call: DutyCall) -> DutyOutcome:
        left_s = self._lease.left_s
        if left_s < MIN_CALL_S:
            return DutyOutcome.NOT_ON_DUTY
        timeout_s = min(MAX_CALL_S, left_s)
        fence = self._lease.fence
        ticket = DutyTicket(
            self._host, fence, timeout_s, lambda: self._holds_under(fence)
        )
        return await self._api.call(call, ticket)

    def _holds_under(self, fence: RowVersion) -> bool:
        return self._lease.is_valid and self._lease.fence == fence

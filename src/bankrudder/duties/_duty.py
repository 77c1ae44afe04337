"""Calls to the platform by the host that holds the lease on a duty.

The platform does not check fencing tokens everywhere, so a call must not arrive after
another host has taken over. The lease is checked right before each call, and no call
lasts longer than the lease is certain to be held. The lease ends with a safety margin
in which no host acts, so that messages in transit arrive before another host acts.
"""

import asyncio

import structlog

from bankrudder.duties._port import DutyApi, DutyCall, DutyGrant, DutyOutcome
from bankrudder.leases import Lease
from bankrudder.store import RowVersion
from bankrudder.world import Clock, HostId

MAX_CALL_TIMEOUT_S = 0.8
"""Maximum timeout of a call: one and a half times the duration of a call when the
platform is fifty times slower than usual."""

MIN_LEASE_LEFT_S = 0.1
"""Minimum remaining time of the lease for a call to start: about the usual duration
of ten calls."""

CALL_RATE_SHARE = 0.5
"""Maximum share of the platform's call rate that one duty uses. The rest is left for
the previous holder and for other duties."""

_log = structlog.get_logger("duties")


class Duty:
    """Makes the calls of one duty, one at a time and at a limited rate.

    Parameters
    ----------
    name : str
        Name of the duty in log lines.
    calls_per_s : float
        Calls per second that the platform accepts from all hosts and duties together.
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
        self._pause_s = 1 / (CALL_RATE_SHARE * calls_per_s)
        self._clock = clock
        self._next_call_at = 0.0
        self._call_lock = asyncio.Lock()

    @property
    def is_held(self) -> bool:
        """Whether this host may carry out the duty now."""
        return self._lease.is_valid

    @property
    def left_s(self) -> float:
        """Seconds for which this host may still make calls, 0 if it may not."""
        return self._lease.left_s

    async def call(self, call: DutyCall) -> DutyOutcome:
        """Make a call if this host holds the duty."""
        async with self._call_lock:
            await asyncio.sleep(max(self._next_call_at - self._clock.monotonic(), 0.0))
            self._next_call_at = self._clock.monotonic() + self._pause_s
            outcome = await self._call_while_held(call)
        write_log = _log.info if outcome is DutyOutcome.DONE else _log.warning
        write_log(
            "duties: call made",
            duty=self._name,
            call=call,
            fence=self._lease.fence,
            outcome=outcome.value,
        )
        return outcome

    async def _call_while_held(self, call: DutyCall) -> DutyOutcome:
        left_s = self._lease.left_s
        if left_s < MIN_LEASE_LEFT_S:
            return DutyOutcome.NOT_ON_DUTY
        timeout_s = min(MAX_CALL_TIMEOUT_S, left_s)
        fence = self._lease.fence
        grant = DutyGrant(
            self._host, fence, timeout_s, lambda: self._is_held_with(fence)
        )
        return await self._api.call(call, grant)

    def _is_held_with(self, fence: RowVersion) -> bool:
        return self._lease.is_valid and self._lease.fence == fence

"""The guard that keeps requests which crash endpoints from crashing further ones."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec
import structlog

from bankrudder.crashes._content import ContentId
from bankrudder.crashes._evidence import (
    LISTED_ALIVE_S,
    Evidence,
    first_evidence,
    later_evidence,
)
from bankrudder.crashes._records import CRASHES_TABLE, decode_strike, row_key
from bankrudder.crashes._registry import StrikeRegistry
from bankrudder.crashes._values import (
    Admission,
    AdmissionDecision,
    Send,
    Strike,
    UnixTime,
)
from bankrudder.crashes._writing import StrikeWriter
from bankrudder.fleet import (
    EndpointClient,
    EndpointDirectory,
    EndpointRun,
    LossReason,
    ProbeResult,
    TrackedEndpoint,
)
from bankrudder.store import ReadPace, Row, RowKey, Store, TableFollower
from bankrudder.world import Clock

READ_SHARE = 0.05
"""Share of the store's paced reads that following the strikes may take."""

READ_WAIT_S = 2.0
"""Shortest time limit of a read that waits for a change. The store replies at once when
there is a change, so the limit only bounds how long a silent connection conceals one.
"""

PROBE_WAIT_S = 0.05
"""Longest time for which a request waits for the probe of its endpoint. A refused
connection is reported within a few milliseconds."""

ABANDONED_PROBE_DELAY_S = 0.3
"""Delay of the probe after this host gave up a request. The endpoint may continue with
the request and crash. The delay is a few times a typical response time."""

MIN_CLOCK_STEP_S = 0.5
"""Smallest change of the real-time clock against the monotonic clock that is taken as a
step of the real-time clock."""

RECHECK_PERIOD_S = 0.5
"""Time between two checks of the undecided losses."""

MAX_OPEN_LOSSES = 1000
"""Maximum number of losses that are rechecked; the oldest are discarded."""

CLEANING_PAUSE_S = 60.0
"""Time between two removals of outdated strikes."""

CRASH_LOSS_REASONS = frozenset(
    {LossReason.NO_ANSWER, LossReason.BROKEN_OFF, LossReason.ENDPOINT_RESTARTED}
)
"""Loss reasons that a crash may cause. A timeout alone does not indicate a crash."""

_log = structlog.get_logger("crashes")


class _Loss(msgspec.Struct):
    """A request that got no answer from its endpoint, at monotonic time ``lost_at``."""

    send: Send
    lost_at: float
    evidence: Evidence

    @property
    def content(self) -> ContentId:
        return self.send.content

    @property
    def target(self) -> TrackedEndpoint:
        return self.send.target


class CrashGuard:
    """Tracks the contents during which endpoints crashed, at this and other hosts.

    Parameters
    ----------
    list_current_for_s : callable
        Returns the seconds since a read of the platform's endpoint list last failed.
    """

    def __init__(
        self,
        store: Store,
        client: EndpointClient,
        directory: EndpointDirectory,
        clock: Clock,
        list_current_for_s: Callable[[], float],
        pace: ReadPace,
    ):
        self._client = client
        self._directory = directory
        self._clock = clock
        self._list_current_for_s = list_current_for_s
        self._registry = StrikeRegistry()
        self._writer = StrikeWriter(store)
        self._wall_offset = clock.wall() - clock.monotonic()
        self._losses: list[_Loss] = []
        self._probes: dict[EndpointRun, asyncio.Task[ProbeResult]] = {}
        self._examinations: set[asyncio.Task[None]] = set()
        self._stored: dict[RowKey, Strike] = {}
        self._follower = TableFollower(
            store,
            CRASHES_TABLE,
            clock,
            on_row=self._on_row,
            on_removed=self._on_removed,
            wait_s=pace.pause(READ_SHARE, READ_WAIT_S),
        )

    @property
    def refused_count(self) -> int:
        """Number of contents that are currently refused."""
        decisions = self._registry.decisions(self._now())
        return sum(each.admission is Admission.REFUSED for each in decisions)

    def __len__(self) -> int:
        return len(self._registry)

    def decision(self, content: ContentId) -> AdmissionDecision:
        """Return whether a request with this content may be sent now."""
        return self._registry.decision(content, self._now())

    async def note_lost(self, send: Send, reason: LossReason) -> None:
        """Record that an endpoint gave no answer to a request.

        Returns once the endpoint was probed, at the latest after `PROBE_WAIT_S`.
        """
        if reason not in CRASH_LOSS_REASONS:
            return
        examination = self._start_examination(
            self._examine(send, self._clock.monotonic())
        )
        await asyncio.wait([examination], timeout=PROBE_WAIT_S)

    def note_abandoned(self, send: Send) -> None:
        """Record that this host cancelled a request in progress at an endpoint."""
        self._start_examination(self._examine_later(send, self._clock.monotonic()))

    def note_answer(self, content: ContentId) -> None:
        """Record an answer to a request, which clears the strikes of its content."""
        if content not in self._registry:
            return
        strikes = self._registry.clear(content)
        self._losses = [each for each in self._losses if each.content != content]
        for strike in strikes:
            self._delete_row(strike)
        _log.info(
            "crashes: cleared by an answer", content=content, strikes=len(strikes)
        )

    def share_strikes(self, content: ContentId) -> None:
        """Share the strikes of a request that got no answer with all hosts."""
        for strike in self._registry.strikes(content):
            self._store_strike(strike)

    async def run(self) -> None:
        """Exchange strikes with other hosts and recheck losses, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._writer.run())
            group.create_task(self._recheck_losses())

    async def clean(self) -> None:
        """Remove outdated strikes; only one host at a time needs to do this."""
        for strike in self._registry.clear_outdated(self._now()):
            self._delete_row(strike)

    def _start_examination(
        self, work: Coroutine[Any, Any, None]
    ) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)
        self._examinations.add(task)
        task.add_done_callback(self._examinations.discard)
        return task

    async def _examine_later(self, send: Send, lost_at: float) -> None:
        await asyncio.sleep(ABANDONED_PROBE_DELAY_S)
        await self._examine(send, lost_at)
        # There is no further attempt that would share the strikes.
        self.share_strikes(send.content)

    async def _examine(self, send: Send, lost_at: float) -> None:
        target = send.target
        probe_result = ProbeResult.UNKNOWN
        if not target.has_ended:
            probe_result = await self._probe(target)
        loss = _Loss(send, lost_at, first_evidence(target, probe_result))
        _log.info(
            "crashes: endpoint gave no answer",
            content=send.content,
            endpoint=target.endpoint.id,
            reach=probe_result.value,
            evidence=loss.evidence.value,
        )
        self._losses.append(loss)
        del self._losses[:-MAX_OPEN_LOSSES]
        if loss.evidence in (Evidence.ENDED, Evidence.PROBABLY_ENDED):
            self._add_strike(loss)

    async def _probe(self, target: TrackedEndpoint) -> ProbeResult:
        run = target.run
        probe = self._probes.get(run)
        if probe is None:
            probe = asyncio.ensure_future(self._client.reach(target.endpoint))
            self._probes[run] = probe
            # Requests that are lost at the same time share a probe, later ones do not.
            probe.add_done_callback(lambda _: self._probes.pop(run, None))
        return await asyncio.shield(probe)

    async def _recheck_losses(self) -> None:
        while True:
            await asyncio.sleep(RECHECK_PERIOD_S)
            self._losses = [each for each in self._losses if self._recheck(each)]

    def _recheck(self, loss: _Loss) -> bool:
        """Update the evidence of a loss; return whether it is still undecided."""
        age_s = self._clock.monotonic() - loss.lost_at
        before = loss.evidence
        if before in (Evidence.ENDED, Evidence.LIVES):
            return False
        loss.evidence = later_evidence(
            loss.target, before, age_s, self._is_listed(loss.target)
        )
        match loss.evidence:
            case Evidence.ENDED:
                if before is Evidence.OPEN:
                    self._add_strike(loss)
                return False
            case Evidence.LIVES:
                if before is Evidence.PROBABLY_ENDED:
                    self._withdraw(loss)
                return False
        return True

    def _is_listed(self, target: TrackedEndpoint) -> bool | None:
        # Right after an outage the list still contains endpoints that crashed in it.
        if self._list_current_for_s() < LISTED_ALIVE_S:
            return None
        known = self._directory.get(target.endpoint.id)
        return known is not None and known.run == target.run

    def _add_strike(self, loss: _Loss) -> None:
        strike = self._strike_for(loss)
        self._delete_rows(self._registry.add(strike))
        decision = self.decision(loss.content)
        _log.warning(
            "crashes: endpoint ended under a request",
            content=loss.content,
            endpoint=loss.target.endpoint.id,
            strikes=decision.strikes,
            admission=decision.admission.value,
            retry_after_s=round(decision.retry_after_s, 1),
        )
        if decision.admission is not Admission.FREE:
            self.share_strikes(loss.content)

    def _strike_for(self, loss: _Loss) -> Strike:
        """Return the strike of a loss, with Unix times that other hosts can compare."""
        return Strike(
            loss.content,
            loss.target.run,
            self._unix_time(loss.send.sent_at),
            self._unix_time(loss.lost_at),
        )

    def _unix_time(self, monotonic: float) -> UnixTime:
        """Convert a time of this host's monotonic clock to Unix time.

        The order of two times of one host is preserved: the offset between the clocks
        changes only after a step of the real-time clock.
        """
        offset = self._clock.wall() - self._clock.monotonic()
        if abs(offset - self._wall_offset) > MIN_CLOCK_STEP_S:
            self._wall_offset = offset
        return UnixTime(monotonic + self._wall_offset)

    def _withdraw(self, loss: _Loss) -> None:
        if not self._registry.remove(loss.content, loss.target.run):
            return
        self._delete_row(self._strike_for(loss))
        _log.info(
            "crashes: endpoint lives, strike withdrawn",
            content=loss.content,
            endpoint=loss.target.endpoint.id,
        )

    def _store_strike(self, strike: Strike) -> None:
        key = row_key(strike)
        if key not in self._stored:
            self._stored[key] = strike
            self._writer.put(strike)

    def _delete_row(self, strike: Strike) -> None:
        if self._stored.pop(row_key(strike), None) is not None:
            self._writer.remove(strike)

    def _delete_rows(self, strikes: Iterable[Strike]) -> None:
        for strike in strikes:
            self._delete_row(strike)

    def _on_row(self, row: Row) -> None:
        try:
            strike = decode_strike(row.value)
        except msgspec.DecodeError as error:
            _log.warning(
                "crashes: row not understood", row=row.key.key, reason=str(error)
            )
            return
        self._stored[row.key] = strike
        self._delete_rows(self._registry.add(strike))

    def _on_removed(self, key: RowKey) -> None:
        strike = self._stored.pop(key, None)
        if strike is not None:
            self._registry.remove(strike.content, strike.run)

    def _now(self) -> UnixTime:
        return UnixTime(self._clock.wall())

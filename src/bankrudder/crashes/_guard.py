"""The guard that keeps requests which crash endpoints from crashing further ones."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import structlog

from bankrudder.crashes._admission import ALONE_THRESHOLD, doubt_left_s
from bankrudder.crashes._content import ContentId
from bankrudder.crashes._evidence import (
    LISTED_ALIVE_S,
    Evidence,
    first_evidence,
    later_evidence,
)
from bankrudder.crashes._losses import Loss, OpenLosses
from bankrudder.crashes._records import CRASHES_TABLE
from bankrudder.crashes._registry import StrikeRegistry
from bankrudder.crashes._sharing import SharedStrikes
from bankrudder.crashes._time import UnixTimes
from bankrudder.crashes._values import (
    Admission,
    AdmissionDecision,
    RefusalPolicy,
    Send,
    Strike,
)
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

RECHECK_PERIOD_S = 0.5
"""Time between two checks of the undecided losses."""

CLEANING_PAUSE_S = 60.0
"""Time between two removals of outdated strikes."""

CRASH_LOSS_REASONS = frozenset(
    {LossReason.NO_ANSWER, LossReason.BROKEN_OFF, LossReason.ENDPOINT_RESTARTED}
)
"""Loss reasons that a crash may cause. A timeout alone does not indicate a crash."""

_log = structlog.get_logger("crashes")


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
        self._shared = SharedStrikes(store)
        self._times = UnixTimes(clock)
        self._doubts = StrikeRegistry()
        self._losses = OpenLosses()
        self._probes: dict[EndpointRun, asyncio.Task[ProbeResult]] = {}
        self._examinations: set[asyncio.Task[None]] = set()
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
        """Number of contents that are currently refused to callers."""
        decisions = self._registry.decisions(self._times.now())
        return sum(each.admission is Admission.REFUSED for each in decisions)

    def __len__(self) -> int:
        return len(self._registry)

    def decision(
        self, content: ContentId, policy: RefusalPolicy = RefusalPolicy.LASTING
    ) -> AdmissionDecision:
        """Return whether a request with this content may be sent now."""
        if content in self._doubts:
            # A restart that was learned a moment ago decides at once.
            self._resolve_doubts(content)
        return self._registry.decision(
            content, self._times.now(), self._doubts.strikes(content), policy
        )

    async def note_lost(self, send: Send, reason: LossReason) -> None:
        """Record that an endpoint gave no answer to a request.

        Returns once the endpoint was probed, at the latest after `PROBE_WAIT_S`. The
        loss is in doubt meanwhile, because the endpoint may restart before the probe.
        """
        if reason not in CRASH_LOSS_REASONS:
            return
        loss = self._add_loss(send, self._clock.monotonic())
        self._add_doubt(self._strike_for(loss, is_doubtful=True))
        examination = self._start_examination(self._examine(loss))
        await asyncio.wait([examination], timeout=PROBE_WAIT_S)

    def note_abandoned(self, send: Send) -> None:
        """Record that this host cancelled a request in progress at an endpoint."""
        self._start_examination(self._examine_later(send, self._clock.monotonic()))

    def note_answer(self, content: ContentId) -> None:
        """Record an answer to a request, which clears the strikes of its content."""
        self._losses.clear(content)
        self._shared.remove(self._doubts.clear(content))
        if content not in self._registry:
            return
        strikes = self._registry.clear(content)
        self._shared.remove(strikes)
        _log.info(
            "crashes: cleared by an answer", content=content, strikes=len(strikes)
        )

    def share_strikes(self, content: ContentId) -> None:
        """Share the strikes of a request that got no answer with all hosts."""
        for known in (self._registry, self._doubts):
            for strike in known.strikes(content):
                self._shared.put(strike)

    async def run(self) -> None:
        """Exchange strikes with other hosts and recheck losses, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._shared.run())
            group.create_task(self._recheck_losses())

    async def clean(self) -> None:
        """Remove outdated strikes; only one host at a time needs to do this."""
        now = self._times.now()
        self._shared.remove(self._registry.clear_outdated(now))
        self._shared.remove(self._shared.abandoned_doubts(now))

    def _start_examination(
        self, work: Coroutine[Any, Any, None]
    ) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)
        self._examinations.add(task)
        task.add_done_callback(self._examinations.discard)
        return task

    async def _examine_later(self, send: Send, lost_at: float) -> None:
        await asyncio.sleep(ABANDONED_PROBE_DELAY_S)
        await self._examine(self._add_loss(send, lost_at))
        # There is no further attempt that would share the strikes.
        self.share_strikes(send.content)

    def _add_loss(self, send: Send, lost_at: float) -> Loss:
        loss = Loss(send, lost_at)
        for evicted in self._losses.add(loss):
            self._remove_doubt(evicted)
        return loss

    async def _examine(self, loss: Loss) -> None:
        target = loss.target
        probe_result = ProbeResult.UNKNOWN
        if not target.has_ended:
            probe_result = await self._probe(target)
        if loss.evidence is Evidence.OPEN:
            self._note_evidence(loss, first_evidence(target, probe_result))
        _log.info(
            "crashes: endpoint gave no answer",
            content=loss.content,
            endpoint=target.endpoint.id,
            reach=probe_result.value,
            evidence=loss.evidence.value,
        )

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
            for loss in self._losses:
                self._recheck(loss)
            for doubt in self._doubts.all():
                self._resolve_foreign(doubt)

    def _recheck(self, loss: Loss) -> None:
        """Update the evidence of a loss."""
        if loss.is_decided:
            return
        age_s = self._clock.monotonic() - loss.lost_at
        is_listed = self._is_listed(loss.target)
        before = loss.evidence
        self._note_evidence(loss, later_evidence(loss.target, before, age_s, is_listed))
        if before is Evidence.OPEN and loss.evidence is Evidence.ENDED:
            # The request has usually ended by now and shares no further strikes.
            self.share_strikes(loss.content)

    def _note_evidence(self, loss: Loss, evidence: Evidence) -> None:
        before, loss.evidence = loss.evidence, evidence
        match evidence:
            case Evidence.ENDED | Evidence.PROBABLY_ENDED if before is Evidence.OPEN:
                self._add_strike(loss)
            case Evidence.LIVES if before is Evidence.PROBABLY_ENDED:
                self._withdraw(loss)
            case Evidence.LIVES:
                self._remove_doubt(loss)
        if loss.is_decided:
            self._losses.discard(loss)

    def _remove_doubt(self, loss: Loss) -> None:
        if self._doubts.remove(loss.content, loss.target.run):
            self._shared.remove([self._strike_for(loss)])

    def _resolve_doubts(self, content: ContentId) -> None:
        for loss in self._losses.of(content):
            if loss.target.has_ended:
                self._recheck(loss)
        for doubt in list(self._doubts.strikes(content)):
            self._resolve_foreign(doubt)

    def _resolve_foreign(self, doubt: Strike) -> None:
        """Confirm the doubtful strike of another host, or discard it when outdated.

        The host that lost the request decides finally; if it stalls, the restart is
        known here all the same.
        """
        known = self._directory.get(doubt.run.endpoint)
        if known is not None and known.run.is_after(doubt.run):
            self._doubts.remove(doubt.content, doubt.run)
            strike = msgspec.structs.replace(doubt, is_doubtful=False)
            self._shared.remove(self._registry.add(strike))
        elif doubt_left_s(doubt, self._times.now()) <= 0 and not self._losses.has(
            doubt.content, doubt.run
        ):
            self._doubts.remove(doubt.content, doubt.run)

    def _is_listed(self, target: TrackedEndpoint) -> bool | None:
        # Right after an outage the list still contains endpoints that crashed in it.
        if self._list_current_for_s() < LISTED_ALIVE_S:
            return None
        known = self._directory.get(target.endpoint.id)
        return known is not None and known.run == target.run

    def _add_strike(self, loss: Loss) -> None:
        strike = self._strike_for(loss)
        self._doubts.remove(strike.content, strike.run)
        self._shared.remove(self._registry.add(strike))
        if self._shared.has(strike):
            self._shared.put(strike)
        decision = self.decision(loss.content, loss.send.policy)
        strike_count = sum(1 for _ in self._registry.strikes(loss.content))
        _log.warning(
            "crashes: endpoint ended under a request",
            content=loss.content,
            endpoint=loss.target.endpoint.id,
            first_event=loss.send.first_event,
            next_event=loss.send.next_event,
            strikes=decision.strikes,
            all_strikes=strike_count,
            admission=decision.admission.value,
            retry_after_s=round(decision.retry_after_s, 1),
        )
        is_limited = decision.admission is not Admission.FREE
        if is_limited or strike_count >= ALONE_THRESHOLD:
            self.share_strikes(loss.content)

    def _strike_for(self, loss: Loss, is_doubtful: bool = False) -> Strike:
        """Return the strike of a loss, with Unix times that other hosts can compare."""
        return Strike(
            loss.content,
            loss.target.run,
            self._times.at(loss.send.sent_at),
            self._times.at(loss.lost_at),
            is_doubtful,
            loss.send.request,
            loss.target.endpoint.service,
            loss.send.first_event,
            loss.send.next_event,
        )

    def _withdraw(self, loss: Loss) -> None:
        if not self._registry.withdraw(loss.content, loss.target.run):
            return
        self._shared.remove([self._strike_for(loss)])
        _log.info(
            "crashes: endpoint lives, strike withdrawn",
            content=loss.content,
            endpoint=loss.target.endpoint.id,
        )

    def _on_row(self, row: Row) -> None:
        strike = self._shared.note_row(row)
        if strike.is_doubtful:
            self._add_doubt(strike)
        else:
            self._doubts.remove(strike.content, strike.run)
            self._shared.remove(self._registry.add(strike))

    def _on_removed(self, key: RowKey) -> None:
        strike = self._shared.note_removed(key)
        if strike is not None:
            self._registry.remove(strike.content, strike.run)
            self._doubts.remove(strike.content, strike.run)

    def _add_doubt(self, strike: Strike) -> None:
        # A run ends only once, so a doubt adds nothing to a certain strike.
        if not self._registry.has(strike.content, strike.run):
            self._shared.remove(self._doubts.add(strike))

"""Keeps requests that crash endpoints from reaching one after the other."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec
import structlog

from bankrudder.crashes._content import ContentId
from bankrudder.crashes._evidence import (
    SETTLE_S,
    Evidence,
    first_evidence,
    later_evidence,
)
from bankrudder.crashes._records import CRASHES_TABLE, row_key, strike_in
from bankrudder.crashes._registry import CrashBook
from bankrudder.crashes._values import Admission, Send, Strike, UnixTime, Verdict
from bankrudder.crashes._writing import StrikeWriter
from bankrudder.fleet import (
    EndpointClient,
    EndpointDirectory,
    EndpointRun,
    LossReason,
    Reach,
    TrackedEndpoint,
)
from bankrudder.store import ReadPace, Row, RowKey, Store, TableFollower
from bankrudder.world import Clock

READ_SHARE = 0.05
READ_WAIT_S = 2.0
"""Share of the store's reads that following the strikes may take, and the shortest time
for which a read is held: a change ends it at once, so this only bounds for how long a
connection that fell silent hides one."""

LOOK_WAIT_S = 0.05
"""Longest time for which a request waits until it is known whether its endpoint ended:
a connection that is refused says so within some milliseconds."""

LEFT_LOOK_S = 0.3
"""Time after which an endpoint is looked at whose request was given up here: it may go
on with it, and end. A few times a usual answer."""

CLOCK_STEP_S = 0.5
"""Change of the time of day against the steady clock that means that it was set."""

SETTLE_PAUSE_S = 0.5
"""How often losses are looked at again."""

MAX_OPEN_CASES = 1000
"""Losses that are looked at again, the latest."""

CLEANING_PAUSE_S = 60.0
"""How often it is looked for strikes that are too old."""

SUSPICIOUS = frozenset(
    {LossReason.NO_ANSWER, LossReason.BROKEN_OFF, LossReason.ENDPOINT_RESTARTED}
)
"""Losses that a crash brings about. An endpoint that is late is only slow."""

_log = structlog.get_logger("crashes")


class _Case(msgspec.Struct):
    """One request that an endpoint left without an answer, ``at`` a monotonic time."""

    send: Send
    at: float
    evidence: Evidence

    @property
    def content(self) -> ContentId:
        return self.send.content

    @property
    def target(self) -> TrackedEndpoint:
        return self.send.target


class CrashGuard:
    """Knows under which contents endpoints ended, here and at other hosts.

    Parameters
    ----------
    list_current_for_s : callable
        Seconds for which reads of the platform's list of endpoints have not failed.
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
        self._book = CrashBook()
        self._writer = StrikeWriter(store)
        self._wall_offset = clock.wall() - clock.monotonic()
        self._cases: list[_Case] = []
        self._looks: dict[EndpointRun, asyncio.Task[Reach]] = {}
        self._looking: set[asyncio.Task[None]] = set()
        self._kept: dict[RowKey, Strike] = {}
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
        """Number of contents that are refused now."""
        verdicts = self._book.verdicts(self._now())
        return sum(each.admission is Admission.REFUSED for each in verdicts)

    def __len__(self) -> int:
        return len(self._book)

    def verdict(self, content: ContentId) -> Verdict:
        """Return whether a request may be sent now."""
        return self._book.verdict(content, self._now())

    async def note_lost(self, send: Send, reason: LossReason) -> None:
        """Note that an endpoint left a request without an answer.

        Returns once it is known whether the endpoint ended, or after `LOOK_WAIT_S`.
        """
        if reason not in SUSPICIOUS:
            return
        looking = self._start(self._look(send, self._clock.monotonic()))
        await asyncio.wait([looking], timeout=LOOK_WAIT_S)

    def note_left(self, send: Send) -> None:
        """Note that a request was broken off here while an endpoint worked on it."""
        self._start(self._look_later(send, self._clock.monotonic()))

    def note_answer(self, content: ContentId) -> None:
        """Note that an endpoint ran a request to a good end: it is not to blame."""
        if content not in self._book:
            return
        strikes = self._book.clear(content)
        self._cases = [each for each in self._cases if each.content != content]
        for strike in strikes:
            self._forget(strike)
        _log.info(
            "crashes: cleared by an answer", content=content, strikes=len(strikes)
        )

    def tell(self, content: ContentId) -> None:
        """Let all hosts know what is held against a request that got no answer."""
        for strike in self._book.strikes(content):
            self._keep(strike)

    async def run(self) -> None:
        """Share strikes with the other hosts, and settle losses, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._writer.run())
            group.create_task(self._settle_repeatedly())

    async def clean(self) -> None:
        """Remove strikes that are too old; one host at a time is enough."""
        for strike in self._book.clear_outdated(self._now()):
            self._forget(strike)

    def _start(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)
        self._looking.add(task)
        task.add_done_callback(self._looking.discard)
        return task

    async def _look_later(self, send: Send, at: float) -> None:
        await asyncio.sleep(LEFT_LOOK_S)
        await self._look(send, at)
        # No attempt is left that could tell the other hosts.
        self.tell(send.content)

    async def _look(self, send: Send, at: float) -> None:
        target = send.target
        reach = Reach.UNKNOWN
        if not target.has_ended:
            reach = await self._reach(target)
        case = _Case(send, at, first_evidence(target, reach))
        _log.info(
            "crashes: endpoint left a request",
            content=send.content,
            endpoint=target.endpoint.id,
            reach=reach.value,
            evidence=case.evidence.value,
        )
        self._cases.append(case)
        del self._cases[:-MAX_OPEN_CASES]
        if case.evidence in (Evidence.ENDED, Evidence.PROBABLY_ENDED):
            self._strike(case)

    async def _reach(self, target: TrackedEndpoint) -> Reach:
        run = target.run
        look = self._looks.get(run)
        if look is None:
            look = asyncio.ensure_future(self._client.reach(target.endpoint))
            self._looks[run] = look
            # It serves all requests that the endpoint left at once, and no later ones.
            look.add_done_callback(lambda _: self._looks.pop(run, None))
        return await asyncio.shield(look)

    async def _settle_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(SETTLE_PAUSE_S)
            self._cases = [each for each in self._cases if self._is_open(each)]

    def _is_open(self, case: _Case) -> bool:
        """Look at a loss again; return whether it has to be looked at once more."""
        age_s = self._clock.monotonic() - case.at
        before = case.evidence
        if before in (Evidence.ENDED, Evidence.LIVES):
            return False
        case.evidence = later_evidence(
            case.target, before, age_s, self._is_listed(case.target)
        )
        match case.evidence:
            case Evidence.ENDED:
                if before is Evidence.OPEN:
                    self._strike(case)
                return False
            case Evidence.LIVES:
                if before is Evidence.PROBABLY_ENDED:
                    self._withdraw(case)
                return False
        return True

    def _is_listed(self, target: TrackedEndpoint) -> bool | None:
        # Right after an outage the list still holds what ended during it.
        if self._list_current_for_s() < SETTLE_S:
            return None
        known = self._directory.get(target.endpoint.id)
        return known is not None and known.run == target.run

    def _strike(self, case: _Case) -> None:
        strike = self._strike_of(case)
        self._forget_all(self._book.add(strike))
        verdict = self.verdict(case.content)
        _log.warning(
            "crashes: endpoint ended under a request",
            content=case.content,
            endpoint=case.target.endpoint.id,
            strikes=verdict.strikes,
            admission=verdict.admission.value,
            retry_after_s=round(verdict.retry_after_s, 1),
        )
        if verdict.admission is not Admission.FREE:
            self.tell(case.content)

    def _strike_of(self, case: _Case) -> Strike:
        """Return the strike of a loss, with the times of all hosts' clocks."""
        return Strike(
            case.content,
            case.target.run,
            self._unix_time(case.send.began),
            self._unix_time(case.at),
        )

    def _unix_time(self, monotonic: float) -> UnixTime:
        """Return a time of this host's steady clock as other hosts understand it.

        Which of two times of one host was first stays as it is: both clocks are read
        anew only after one of them was set.
        """
        offset = self._clock.wall() - self._clock.monotonic()
        if abs(offset - self._wall_offset) > CLOCK_STEP_S:
            self._wall_offset = offset
        return UnixTime(monotonic + self._wall_offset)

    def _withdraw(self, case: _Case) -> None:
        if not self._book.remove(case.content, case.target.run):
            return
        self._forget(self._strike_of(case))
        _log.info(
            "crashes: endpoint lives, strike withdrawn",
            content=case.content,
            endpoint=case.target.endpoint.id,
        )

    def _keep(self, strike: Strike) -> None:
        key = row_key(strike)
        if key not in self._kept:
            self._kept[key] = strike
            self._writer.put(strike)

    def _forget(self, strike: Strike) -> None:
        if self._kept.pop(row_key(strike), None) is not None:
            self._writer.remove(strike)

    def _forget_all(self, strikes: Iterable[Strike]) -> None:
        for strike in strikes:
            self._forget(strike)

    def _on_row(self, row: Row) -> None:
        try:
            strike = strike_in(row.value)
        except msgspec.DecodeError as error:
            _log.warning(
                "crashes: row not understood", row=row.key.key, reason=str(error)
            )
            return
        self._kept[row.key] = strike
        self._forget_all(self._book.add(strike))

    def _on_removed(self, key: RowKey) -> None:
        strike = self._kept.pop(key, None)
        if strike is not None:
            self._book.remove(strike.content, strike.run)

    def _now(self) -> UnixTime:
        return UnixTime(self._clock.wall())

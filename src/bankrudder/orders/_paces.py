"""Telling the host that gives orders how quick the engines are.

Owners of batches see how quickly each engine makes events; the host that shares the
engines among models owns none as a rule. Each owner writes what it sees to a small
table, one row for each engine, seldom and without a condition: the newest says enough.
"""

from collections import deque
from statistics import median

import msgspec
import structlog

from bankrudder.fleet import (
    Birth,
    EndpointDirectory,
    EndpointId,
    EndpointRun,
    TrackedEndpoint,
)
from bankrudder.store import (
    Committed,
    Put,
    Row,
    RowKey,
    Store,
    StoreUnavailableError,
    Transaction,
)

PACES_TABLE = "paces"

PACES_PAUSE_S = 1.0
"""Pause between two looks: a fifth of the time that most steps take."""

MIN_CHANGE = 0.1
"""A pace is told again once it changed by this share: less than what the load of an
engine makes of it."""

REMEMBERED = 20
"""Looks whose median is the usual gap: twice as long as engines are slow now and then,
so that this changes nothing; one that stays slow is known as such ten seconds later."""

_log = structlog.get_logger("orders")


class EnginePace(msgspec.Struct, frozen=True):
    """Value of a row: mean seconds from event to event, as one owner saw them.

    ``born`` is the birth of the engine's run that was seen.
    """

    gap_s: float
    born: Birth | None = None


class EnginePaces:
    """Writes what this host sees of the engines, and reads what all saw."""

    def __init__(self, store: Store, directory: EndpointDirectory):
        self._store = store
        self._directory = directory
        self._told: dict[EndpointRun, float] = {}
        self._seen: dict[EndpointRun, deque[float]] = {}

    @property
    def usual(self) -> dict[EndpointId, float]:
        """Usual seconds from event to event, by engine, where that is known."""
        return {run.endpoint: median(gaps) for run, gaps in self._seen.items()}

    async def tell(self) -> None:
        """Write the paces that changed; what is not written is tried again."""
        changed = {
            each.run: each.event_gap_s
            for each in self._directory.all()
            if each.event_gap_s is not None
            and self._has_changed(each.run, each.event_gap_s)
        }
        if not changed:
            return
        puts = tuple(
            Put(
                RowKey(PACES_TABLE, "", run.endpoint),
                msgspec.json.encode(EnginePace(gap_s, run.born)),
            )
            for run, gap_s in changed.items()
        )
        outcome = await self._store.commit(Transaction(puts=puts))
        if isinstance(outcome, Committed):
            self._told.update(changed)

    async def look(self) -> None:
        """Read what all owners told, and remove the rows of engines that are gone."""
        try:
            page = await self._store.read(PACES_TABLE, "")
        except StoreUnavailableError as error:
            _log.info("orders: paces not read", reason=error.error_kind.value)
            return
        gone = []
        for row in page.rows:
            engine = self._directory.get(EndpointId(row.key.key))
            if engine is None:
                gone.append(row.key)
                continue
            gap_s = _told_gap(row, engine)
            if gap_s is not None:
                seen = self._seen.setdefault(engine.run, deque(maxlen=REMEMBERED))
                seen.append(gap_s)
        self._forget_ended()
        if gone:
            await self._store.commit(Transaction(removals=tuple(gone)))

    def _forget_ended(self) -> None:
        """Forget runs that have ended and engines that are gone."""
        runs = {each.run for each in self._directory.all()}
        self._seen = {run: gaps for run, gaps in self._seen.items() if run in runs}
        self._told = {run: gap_s for run, gap_s in self._told.items() if run in runs}

    def _has_changed(self, run: EndpointRun, gap_s: float) -> bool:
        told = self._told.get(run)
        return told is None or abs(gap_s - told) > MIN_CHANGE * told


def _told_gap(row: Row, engine: TrackedEndpoint) -> float | None:
    """Return what a row tells of an engine's latest run, None if it tells nothing."""
    try:
        pace = msgspec.json.decode(row.value, type=EnginePace)
    except msgspec.DecodeError as error:
        _log.warning(
            "orders: pace not understood", endpoint=row.key.key, reason=str(error)
        )
        return None
    if pace.born == engine.run.born and pace.gap_s > 0:
        return pace.gap_s
    _log.info(
        "orders: pace passed over",
        endpoint=row.key.key,
        gap_s=pace.gap_s,
        born=pace.born,
    )
    return None

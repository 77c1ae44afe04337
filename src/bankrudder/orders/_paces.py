"""Shares the speed of engines with the host that gives the orders.

Owners of batches measure the time between events on each engine. The host that assigns
engines to models usually owns no batch. So each owner writes its measurements to a
small table with one row for each engine. Rows are seldom written, and without a
precondition, as the newest measurement is enough.
"""

from collections import deque
from statistics import median

import msgspec
import structlog

from bankrudder.decoding import UnreadableDocumentError, decode_json
from bankrudder.fleet import (
    EndpointDirectory,
    EndpointId,
    EndpointRun,
    StartTime,
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
"""Pause between two rounds of writes and reads: a fifth of the time that most steps
take."""

MIN_PACE_CHANGE = 0.1
"""Relative change above which a pace is written again: less than the change that the
load of an engine causes."""

GAP_HISTORY_LENGTH = 20
"""Number of latest reads whose median is the usual gap. The reads cover twice the
duration of an occasional slowdown, which therefore does not change the median. An
engine that stays slow is known to be slow ten seconds later. Lasting paces need no
median, as their owners have left out slowdowns."""

MIN_GAP_BINS = 7
"""Number of bins of time from which a lasting pace is written: a spell of slowness of
0.6 s fills less than half of them. Until then the engine counts as usual."""

_log = structlog.get_logger("orders")


class EnginePace(msgspec.Struct, frozen=True):
    """Value of a row: mean seconds between events, as one owner measured them.

    Attributes
    ----------
    born : StartTime or None
        Start time of the engine's run that was measured, None if unknown.
    is_lasting : bool or UNSET
        Whether momentary slowness of the engine's machine is left out. Unset, and not
        in the row, if the engine does not report it.
    """

    gap_s: float
    born: StartTime | None = None
    is_lasting: bool | msgspec.UnsetType = msgspec.UNSET


class EnginePaces:
    """Writes the paces that this host measured, and reads those of all hosts."""

    def __init__(self, store: Store, directory: EndpointDirectory):
        self._store = store
        self._directory = directory
        self._written: dict[EndpointRun, float] = {}
        self._observed: dict[EndpointRun, deque[float]] = {}

    @property
    def usual_gaps(self) -> dict[EndpointId, float]:
        """Usual seconds between events, by engine, where known."""
        return {run.endpoint: median(gaps) for run, gaps in self._observed.items()}

    async def write_changed(self) -> None:
        """Write the paces that changed. After a failure the next call tries again."""
        changed = {
            each.run: pace
            for each in self._directory.all()
            if (pace := _measured_pace(each)) is not None
            and self._has_changed(each.run, pace.gap_s)
        }
        if not changed:
            return
        puts = tuple(
            Put(RowKey(PACES_TABLE, "", run.endpoint), msgspec.json.encode(pace))
            for run, pace in changed.items()
        )
        outcome = await self._store.commit(Transaction(puts=puts))
        if isinstance(outcome, Committed):
            self._written.update((run, pace.gap_s) for run, pace in changed.items())

    async def read_all(self) -> None:
        """Read the paces of all owners, and remove the rows of unlisted engines."""
        try:
            page = await self._store.read(PACES_TABLE, "")
        except StoreUnavailableError as error:
            _log.info("orders: paces not read", reason=error.error_kind.value)
            return
        gone_keys = []
        for row in page.rows:
            engine = self._directory.get(EndpointId(row.key.key))
            if engine is None:
                gone_keys.append(row.key)
                continue
            pace = _pace_in_row(row, engine)
            if pace is not None:
                observed = self._observed.setdefault(
                    engine.run, deque(maxlen=GAP_HISTORY_LENGTH)
                )
                if pace.is_lasting is True:
                    observed.clear()
                observed.append(pace.gap_s)
        self._forget_ended()
        if gone_keys:
            await self._store.commit(Transaction(removals=tuple(gone_keys)))

    def _forget_ended(self) -> None:
        """Forget the runs that are not the latest run of a listed engine."""
        runs = {each.run for each in self._directory.all()}
        self._observed = {
            run: gaps for run, gaps in self._observed.items() if run in runs
        }
        self._written = {
            run: gap_s for run, gap_s in self._written.items() if run in runs
        }

    def _has_changed(self, run: EndpointRun, gap_s: float) -> bool:
        written_gap_s = self._written.get(run)
        return (
            written_gap_s is None
            or abs(gap_s - written_gap_s) > MIN_PACE_CHANGE * written_gap_s
        )


def _measured_pace(engine: TrackedEndpoint) -> EnginePace | None:
    """Return the pace that this host measured, None if too little is known."""
    if engine.lasting_gap_s is None:
        return None
    if engine.speed is None:
        return EnginePace(engine.lasting_gap_s, engine.run.born)
    if engine.speed.gap_bin_count < MIN_GAP_BINS:
        return None
    return EnginePace(engine.lasting_gap_s, engine.run.born, is_lasting=True)


def _pace_in_row(row: Row, engine: TrackedEndpoint) -> EnginePace | None:
    """Return the pace in a row, None unless it is a valid pace of the latest run."""
    try:
        pace = decode_json(row.value, EnginePace)
    except UnreadableDocumentError as error:
        _log.warning(
            "orders: pace not understood", endpoint=row.key.key, reason=error.reason
        )
        return None
    if pace.born == engine.run.born and pace.gap_s > 0:
        return pace
    _log.info(
        "orders: stale or invalid pace ignored",
        endpoint=row.key.key,
        gap_s=pace.gap_s,
        born=pace.born,
    )
    return None

"""Commits whose outcome is settled, that is known, even if a reply is lost.

After a lost reply the transaction may or may not have taken effect, or may still do so.
It is sent again with the same expectations. If the second attempt succeeds, the first
can no longer take effect; if it conflicts, the rows show who wrote them.
"""

import asyncio
from collections.abc import Callable

import structlog

from bankrudder.store._errors import NotSettledError
from bankrudder.store._port import Store
from bankrudder.store._values import (
    CommitOutcome,
    Committed,
    CommitUnknown,
    Conflict,
    NotCommitted,
    StoreErrorKind,
    Transaction,
)
from bankrudder.world import Clock

FIRST_PAUSE_S = 0.05
"""Pause before the second attempt: about ten times the store's usual response time."""

MAX_PAUSE_S = 0.1
"""Longest pause between attempts. During an outage `RecoveringStore` delays the calls,
so this pause matters only for single calls that are refused or lost."""

_log = structlog.get_logger("store")


async def commit_settled(
    store: Store,
    transaction: Transaction,
    is_ours: Callable[[Conflict], bool],
    clock: Clock,
    give_up_s: float,
    refused_give_up_s: float | None = None,
) -> Committed | Conflict | NotCommitted:
    """Commit `transaction`, and retry until its outcome is known.

    Parameters
    ----------
    is_ours : callable
        Whether this transaction wrote the rows of a conflict. Called only after an
        attempt with an unknown outcome.
    give_up_s : float
        Seconds after which no further attempt is made.
    refused_give_up_s : float, optional
        The same limit for when the last attempt was certainly not carried out: the
        store may refuse only this host, and the caller can then leave the request to
        another host earlier. Equal to `give_up_s` if not given.

    Returns
    -------
    Committed, Conflict or NotCommitted
        The certain outcome; `NotCommitted` only if no attempt can have taken effect.

    Raises
    ------
    NotSettledError
        If an attempt may have taken effect, or may still do so, when time is up.
    """
    began = clock.monotonic()
    not_committed_give_up_s = (
        give_up_s if refused_give_up_s is None else refused_give_up_s
    )
    may_be_done = False
    pause_s = FIRST_PAUSE_S
    while True:
        outcome: CommitOutcome = await store.commit(transaction)
        deadline = began + give_up_s
        match outcome:
            case Committed():
                return outcome
            case Conflict():
                if may_be_done and is_ours(outcome):
                    return Committed(max(row.version for row in outcome.rows))
                return outcome
            case NotCommitted(error_kind=StoreErrorKind.REJECTED):
                _log.error("store: transaction rejected", may_be_done=may_be_done)
                break
            case NotCommitted():
                deadline = began + not_committed_give_up_s
            case CommitUnknown():
                may_be_done = True
        if clock.monotonic() + pause_s >= deadline:
            break
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
    _log.warning("store: commit not confirmed", may_be_done=may_be_done)
    if may_be_done:
        raise NotSettledError
    assert isinstance(outcome, NotCommitted)
    return outcome

"""Commits whose outcome becomes known, also when a reply is lost.

After a lost reply the transaction may have taken effect, may not, or may still
be on its way. It is sent again on the same expectations: if that succeeds, the
first can no longer take effect; if it conflicts, the rows tell whose write is there.
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
    StoreTrouble,
    Transaction,
)
from bankrudder.world import Clock

FIRST_PAUSE_S = 0.05
"""Pause before a second try: some ten times the store's usual answer."""

MAX_PAUSE_S = 0.1
"""Longest pause. Calls wait by themselves while the store is away, so this paces only
those that are refused or lost one by one."""

_log = structlog.get_logger("store")


async def commit_settled(
    store: Store,
    transaction: Transaction,
    is_ours: Callable[[Conflict], bool],
    clock: Clock,
    give_up_s: float,
    refused_give_up_s: float | None = None,
) -> Committed | Conflict | NotCommitted:
    """Commit `transaction` and find out what became of it.

    Parameters
    ----------
    is_ours : callable
        Tells from the rows of a conflict whether this transaction wrote them.
        Asked only after a try of unknown outcome.
    give_up_s : float
        Seconds after which no further try is made.
    refused_give_up_s : float, optional
        The same if the last try was surely not carried out, as the store is away for
        this host: another one may be served. As long as `give_up_s` if not given.

    Returns
    -------
    Committed, Conflict or NotCommitted
        Certain; `NotCommitted` only if no try can have taken effect.

    Raises
    ------
    NotSettledError
        If a try may have taken effect, or may yet, and time is up.
    """
    began = clock.monotonic()
    refused_s = give_up_s if refused_give_up_s is None else refused_give_up_s
    may_be_done = False
    pause_s = FIRST_PAUSE_S
    while True:
        outcome: CommitOutcome = await store.commit(transaction)
        until = began + give_up_s
        match outcome:
            case Committed():
                return outcome
            case Conflict():
                if may_be_done and is_ours(outcome):
                    return Committed(max(row.version for row in outcome.rows))
                return outcome
            case NotCommitted(trouble=StoreTrouble.REJECTED):
                _log.error("store: transaction rejected", may_be_done=may_be_done)
                break
            case NotCommitted():
                until = began + refused_s
            case CommitUnknown():
                may_be_done = True
        if clock.monotonic() + pause_s >= until:
            break
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
    _log.warning("store: commit not settled", may_be_done=may_be_done)
    if may_be_done:
        raise NotSettledError
    assert isinstance(outcome, NotCommitted)
    return outcome

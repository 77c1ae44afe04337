"""Callers of the own interface, whose keyed requests may run once."""

import asyncio
import itertools
import time

from bankrudder.client import new_key
from bankrudder.exceptions import (
    BankrudderError,
    ExpiredError,
    FailedError,
    NotRunError,
)
from outside.rpc_interface import client
from soak.history import KeyedOutcome, KeyedSeen

CALL_LIMIT_S = 4.0
"""Time after which a caller takes what it is told for final."""

PAUSE_S = 0.1


class KeyedCaller:
    """Makes keyed calls, each through any of the hosts, and asks about some again."""

    def __init__(self, site, history, rng):
        self._site = site
        self._history = history
        self._rng = rng
        self.served = []
        self.failed = []

    async def run(self, over):
        """Call until an event is set."""
        for _ in itertools.count():
            if over.is_set():
                return
            seen = KeyedSeen(new_key())
            self._history.keyed.append(seen)
            for _ in range(self._rng.choice([1, 1, 2, 3])):
                await self._ask(seen)
                await asyncio.sleep(PAUSE_S)

    async def _ask(self, seen):
        hosts = self._rng.sample(self._site.hosts, k=2)
        async with client(self._site, hosts=hosts, timeout_s=CALL_LIMIT_S) as caller:
            try:
                answer = await caller.call("desk", seen.key.encode(), key=seen.key)
            except NotRunError:
                outcome, body = KeyedOutcome.NOT_RUN, b""
            except FailedError:
                outcome, body = KeyedOutcome.FAILED, b""
            except (ExpiredError, BankrudderError):
                outcome, body = KeyedOutcome.UNKNOWN, b""
            else:
                outcome, body = KeyedOutcome.ANSWERED, answer.data
        seen.outcomes.append((outcome, body))
        is_answered = outcome is KeyedOutcome.ANSWERED
        (self.served if is_answered else self.failed).append(time.monotonic())

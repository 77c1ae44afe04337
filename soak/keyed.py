"""Callers of the RPC interface, whose keyed requests may run at most once."""

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
from soak.history import KeyedCallObservation, KeyedOutcome

CALL_TIMEOUT_S = 4.0
"""Timeout of a keyed call, including the retries of the client."""

PAUSE_S = 0.1


class KeyedCaller:
    """Makes keyed calls through random hosts and repeats some of them."""

    def __init__(self, site, history, rng):
        self._site = site
        self._history = history
        self._rng = rng
        self.served = []
        self.failed = []

    async def run(self, stop_event):
        """Make calls until `stop_event` is set."""
        for _ in itertools.count():
            if stop_event.is_set():
                return
            record = KeyedCallObservation(new_key())
            self._history.keyed.append(record)
            for _ in range(self._rng.choice([1, 1, 2, 3])):
                await self._ask(record)
                await asyncio.sleep(PAUSE_S)

    async def _ask(self, record):
        hosts = self._rng.sample(self._site.hosts, k=2)
        async with client(self._site, hosts=hosts, timeout_s=CALL_TIMEOUT_S) as caller:
            try:
                answer = await caller.call("desk", record.key.encode(), key=record.key)
            except NotRunError:
                outcome, body = KeyedOutcome.NOT_RUN, b""
            except FailedError:
                outcome, body = KeyedOutcome.FAILED, b""
            except (ExpiredError, BankrudderError):
                outcome, body = KeyedOutcome.UNKNOWN, b""
            else:
                outcome, body = KeyedOutcome.ANSWERED, answer.data
        record.outcomes.append((outcome, body))
        is_answered = outcome is KeyedOutcome.ANSWERED
        (self.served if is_answered else self.failed).append(time.monotonic())

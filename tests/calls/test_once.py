"""A request whose key cannot be recorded is refused before its deadline."""

import asyncio
import time

import pytest

from bankrudder.calls._once import AtMostOnceRunner
from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.world import SystemClock


class HangingRecords:
    """Records whose store does not reply for 30 s."""

    async def begin(self, name, record, retry_limit_s):
        await asyncio.sleep(30)

    async def read(self, name):
        return None


class FakePresence:
    host = "h"
    lifetime = "l"


async def fail_if_sent(*_):
    raise AssertionError("the request was sent without a record")


async def test_a_hanging_store_does_not_delay_the_refusal_past_the_deadline():
    clock = SystemClock()
    runner = AtMostOnceRunner(HangingRecords(), FakePresence(), clock)
    began = time.monotonic()
    with pytest.raises(NotRunError) as caught:
        await runner.run("k", b"f", clock.monotonic() + 0.4, fail_if_sent)
    assert caught.value.failure.reason is FailureReason.STORE_UNAVAILABLE
    assert time.monotonic() - began < 0.4


async def test_a_request_close_to_its_deadline_is_refused():
    clock = SystemClock()
    runner = AtMostOnceRunner(HangingRecords(), FakePresence(), clock)
    with pytest.raises(NotRunError):
        await runner.run("k", b"f", clock.monotonic() + 0.05, fail_if_sent)

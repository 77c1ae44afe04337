"""A request whose key cannot be recorded is refused while its caller still waits."""

import asyncio
import time

import pytest

from bankrudder.calls._once import OnceRunner
from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.world import SystemClock


class HangingRecords:
    """Records whose store answers nothing, and waits for its return for long."""

    async def begin(self, name, record, give_up_s):
        await asyncio.sleep(30)

    async def read(self, name):
        return None


class OwnHost:
    host = "h"
    lifetime = "l"


async def never(*_):
    raise AssertionError("sent without a record")


async def test_a_store_that_hangs_does_not_outlast_the_caller():
    clock = SystemClock()
    runner = OnceRunner(HangingRecords(), OwnHost(), clock)
    began = time.monotonic()
    with pytest.raises(NotRunError) as caught:
        await runner.run("k", b"f", clock.monotonic() + 0.4, never)
    assert caught.value.failure.reason is FailureReason.STORE_UNAVAILABLE
    assert time.monotonic() - began < 0.4


async def test_a_caller_with_hardly_any_time_left_is_refused_at_once():
    clock = SystemClock()
    runner = OnceRunner(HangingRecords(), OwnHost(), clock)
    with pytest.raises(NotRunError):
        await runner.run("k", b"f", clock.monotonic() + 0.05, never)

"""Long computations do not stop the event loop, and run one at a time."""

import asyncio
import threading

import pytest

from bankrudder.offloading import LongWork


async def test_the_event_loop_goes_on_meanwhile():
    may_end = threading.Event()
    running = asyncio.ensure_future(LongWork().run(lambda: may_end.wait(10.0)))
    await asyncio.sleep(0.01)
    assert not running.done()
    may_end.set()
    assert await running


async def test_one_computation_runs_at_a_time():
    running_counts = []
    running = []

    def compute():
        running.append(None)
        running_counts.append(len(running))
        running.pop()

    work = LongWork()
    await asyncio.gather(*(work.run(compute) for _ in range(20)))
    assert running_counts == [1] * 20


async def test_an_error_is_raised():
    with pytest.raises(ZeroDivisionError):
        await LongWork().run(lambda: 1 / 0)

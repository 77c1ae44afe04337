"""Published versions only grow, whoever publishes at the same time."""

import asyncio
import time

import pytest

from bankrudder.exceptions import InvalidError, NotRunError
from bankrudder.steps import VersionRegistry
from bankrudder.world import SystemClock
from outside.store import GateMode

MOST_TRIES = 5

STALL_S = 0.7
"""Longer than a connection to the store may take to be opened."""


@pytest.fixture
def registry(store):
    return VersionRegistry(store, SystemClock())


async def test_versions_only_grow(registry):
    assert await registry.publish("m", 3) == 3
    assert await registry.publish("m", 2) == 3
    assert await registry.publish("other", 1) == 1


async def publish_until_taken(registry, version):
    """Publish as a trainer does, which comes back when it is told that nothing ran.

    A process that stands still for longer than a connection may take finds the store
    unreachable, and says so.
    """
    for _ in range(MOST_TRIES):
        try:
            return await registry.publish("m", version)
        except NotRunError as error:
            refused = error
    raise refused


async def test_of_many_at_once_the_newest_stays(registry):
    newest = await asyncio.gather(
        *(publish_until_taken(registry, number) for number in range(1, 9))
    )
    assert all(told >= asked for asked, told in enumerate(newest, 1))
    assert await registry.publish("m", 1) == 8


async def test_a_process_that_stood_still_refuses_truly_and_publishes_then(registry):
    # Called once the publications have begun to open their connections.
    asyncio.get_running_loop().call_soon(
        asyncio.get_running_loop().call_soon, time.sleep, STALL_S
    )
    told = await asyncio.gather(
        *(registry.publish("m", number) for number in range(1, 9)),
        return_exceptions=True,
    )
    answers = [each for each in told if isinstance(each, int)]
    refusals = [each for each in told if isinstance(each, NotRunError)]
    assert len(answers) + len(refusals) == 8
    # What was refused was not published: the newest is one that was answered, if any.
    assert await publish_until_taken(registry, 1) == max(answers, default=1)


@pytest.mark.parametrize("attribute", ["lose_replies", "delay_commits"])
async def test_a_lost_reply_publishes_once(registry, gate, attribute):
    setattr(gate, attribute, 1)
    assert await registry.publish("m", 2) == 2
    gate.carry_out_delayed()
    assert await registry.publish("m", 1) == 2


async def test_a_version_below_one_and_a_store_that_is_away_are_told(registry, gate):
    with pytest.raises(InvalidError):
        await registry.publish("m", 0)
    gate.mode = GateMode.BUSY
    with pytest.raises(NotRunError):
        await registry.publish("m", 2)

"""Published versions only grow, whoever publishes at the same time."""

import asyncio

import pytest

from bankrudder.exceptions import InvalidError, NotRunError
from bankrudder.steps import VersionRegistry
from bankrudder.world import SystemClock
from outside.store import GateMode


@pytest.fixture
def registry(store):
    return VersionRegistry(store, SystemClock())


async def test_versions_only_grow(registry):
    assert await registry.publish("m", 3) == 3
    assert await registry.publish("m", 2) == 3
    assert await registry.publish("other", 1) == 1


async def test_of_many_at_once_the_newest_stays(registry):
    await asyncio.gather(*(registry.publish("m", number) for number in range(1, 9)))
    assert await registry.publish("m", 1) == 8


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

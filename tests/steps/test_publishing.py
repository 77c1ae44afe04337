"""Published versions never decrease, also with concurrent publications."""

import asyncio
import time

import pytest

from bankrudder.exceptions import InvalidError, NotRunError
from bankrudder.steps import VersionRegistry
from bankrudder.world import SystemClock
from outside.store import GateMode

MAX_PUBLISH_ATTEMPTS = 5

BLOCK_S = 0.7
"""Time for which the event loop is blocked: longer than the connect timeout of the
store."""


@pytest.fixture
def registry(store):
    return VersionRegistry(store, SystemClock())


async def test_versions_never_decrease(registry):
    assert await registry.publish("m", 3) == 3
    assert await registry.publish("m", 2) == 3
    assert await registry.publish("other", 1) == 1


async def publish_with_retries(registry, version):
    """Publish like a trainer, which retries after `NotRunError`.

    A process that is blocked for longer than the connect timeout finds the store
    unreachable and refuses the publication.
    """
    for _ in range(MAX_PUBLISH_ATTEMPTS):
        try:
            return await registry.publish("m", version)
        except NotRunError as error:
            refused = error
    raise refused


async def test_the_newest_of_concurrent_publications_remains(registry):
    newest = await asyncio.gather(
        *(publish_with_retries(registry, number) for number in range(1, 9))
    )
    assert all(response >= version for version, response in enumerate(newest, 1))
    assert await registry.publish("m", 1) == 8


async def test_a_publication_refused_by_a_blocked_process_was_not_made(registry):
    # Blocks the event loop after the publications have begun to connect.
    asyncio.get_running_loop().call_soon(
        asyncio.get_running_loop().call_soon, time.sleep, BLOCK_S
    )
    responses = await asyncio.gather(
        *(registry.publish("m", number) for number in range(1, 9)),
        return_exceptions=True,
    )
    answers = [each for each in responses if isinstance(each, int)]
    refusals = [each for each in responses if isinstance(each, NotRunError)]
    assert len(answers) + len(refusals) == 8
    # A refused version was not published: the newest is one of the answers, if any.
    assert await publish_with_retries(registry, 1) == max(answers, default=1)


@pytest.mark.parametrize("attribute", ["lose_replies", "delay_commits"])
async def test_a_publication_whose_reply_is_lost_is_made_once(
    registry, gate, attribute
):
    setattr(gate, attribute, 1)
    assert await registry.publish("m", 2) == 2
    gate.apply_delayed()
    assert await registry.publish("m", 1) == 2


async def test_a_version_below_one_and_an_unavailable_store_are_refused(registry, gate):
    with pytest.raises(InvalidError):
        await registry.publish("m", 0)
    gate.mode = GateMode.BUSY
    with pytest.raises(NotRunError):
        await registry.publish("m", 2)

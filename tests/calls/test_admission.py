"""Classes of callers: who goes first when endpoints are busy."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from bankrudder.calls import ClassAdmission, ClassTerms
from bankrudder.calls._admission import Place
from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.fleet import EndpointId, ReportedLoad
from bankrudder.world import CallerClass

DESK = Place("desk")
BROKERS = CallerClass("brokers", 0, reserved=1)
LEDGERS = CallerClass("ledgers", 1, queue_limit=2, queue_timeout_s=3.0)
CLASSES = (BROKERS, LEDGERS)
FAR = 1e9


def terms(own):
    return ClassTerms.from_config(own, CLASSES)


@pytest.fixture
def admission(directory, hand_clock):
    return ClassAdmission(directory, hand_clock)


async def hold(admission, own, order, release):
    """Be admitted, note it, and stay until released."""
    async with admission.admitted(DESK, terms(own), FAR):
        order.append(own.name)
        await release.wait()


async def settle():
    for _ in range(5):
        await asyncio.sleep(0.02)


async def test_the_urgent_class_goes_first_and_keeps_its_places(admission):
    order, release = [], asyncio.Event()
    async with AsyncExitStack() as stack:
        for _ in range(2):
            await stack.enter_async_context(
                admission.admitted(DESK, terms(LEDGERS), FAR)
            )
        ledger = asyncio.ensure_future(hold(admission, LEDGERS, order, release))
        await settle()
        assert order == []  # two of four places are the brokers'
        brokers = [
            asyncio.ensure_future(hold(admission, BROKERS, order, release))
            for _ in range(3)
        ]
        await settle()
        assert order == ["brokers", "brokers"]
    await settle()
    assert order[:3] == ["brokers"] * 3
    release.set()
    await asyncio.gather(ledger, *brokers)
    assert order[-1] == "ledgers"
    assert admission.waiting_count == 0


async def test_load_that_endpoints_report_counts(admission, directory, hand_clock):
    for name in ("e1", "e2"):
        load = ReportedLoad(2, 0, 2)
        directory.get(EndpointId(name)).note_load(load, hand_clock.monotonic())
    order, release = [], asyncio.Event()
    task = asyncio.ensure_future(hold(admission, BROKERS, order, release))
    await settle()
    assert order == []
    hand_clock.advance(2.0)  # what was reported says nothing any more
    await settle()
    assert order == ["brokers"]
    release.set()
    await task


async def test_too_many_waiting_are_refused_at_once(admission):
    release = asyncio.Event()
    tasks = [
        asyncio.ensure_future(hold(admission, LEDGERS, [], release)) for _ in range(4)
    ]
    await settle()
    with pytest.raises(NotRunError) as caught:
        await hold(admission, LEDGERS, [], release)
    assert caught.value.failure.reason is FailureReason.OVERLOADED
    release.set()
    await asyncio.gather(*tasks)


async def test_nobody_waits_longer_than_its_class_may(admission, hand_clock):
    release = asyncio.Event()
    tasks = [
        asyncio.ensure_future(hold(admission, LEDGERS, [], release)) for _ in range(3)
    ]
    await settle()
    hand_clock.advance(3.1)
    await settle()
    with pytest.raises(NotRunError) as caught:
        await tasks[2]
    assert caught.value.failure.reason is FailureReason.QUEUE_TIMEOUT
    assert admission.waiting_count == 0
    release.set()
    await asyncio.gather(*tasks[:2])


async def test_a_caller_who_leaves_the_queue_takes_no_place(admission):
    release, order = asyncio.Event(), []
    tasks = [
        asyncio.ensure_future(hold(admission, LEDGERS, order, release))
        for _ in range(4)
    ]
    await settle()
    tasks[2].cancel()
    release.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert order == ["ledgers"] * 3
    async with admission.admitted(DESK, terms(LEDGERS), FAR):
        pass


async def test_without_endpoints_nobody_waits(admission):
    async with admission.admitted(Place("nothing"), terms(LEDGERS), FAR):
        pass

"""Admission by caller class when all endpoint slots are in use."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from bankrudder.calls import AdmissionController, ClassPolicy
from bankrudder.calls._admission import QueueKey
from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.fleet import EndpointId, ReportedLoad
from bankrudder.world import CallerClass

DESK = QueueKey("desk")
BROKERS = CallerClass("brokers", 0, reserved=1)
LEDGERS = CallerClass("ledgers", 1, queue_limit=2, queue_timeout_s=3.0)
CLASSES = (BROKERS, LEDGERS)
FAR_DEADLINE = 1e9


def policy(own_class):
    return ClassPolicy.from_config(own_class, CLASSES)


@pytest.fixture
def admission(directory, manual_clock):
    return AdmissionController(directory, manual_clock)


async def hold_slot(admission, own_class, order, release):
    """Wait for a slot, append the class to `order`, and hold it until released."""
    async with admission.admitted(DESK, policy(own_class), FAR_DEADLINE):
        order.append(own_class.name)
        await release.wait()


async def let_tasks_run():
    for _ in range(5):
        await asyncio.sleep(0.02)


async def test_higher_priority_is_admitted_first_and_keeps_reserved_slots(admission):
    order, release = [], asyncio.Event()
    async with AsyncExitStack() as stack:
        for _ in range(2):
            await stack.enter_async_context(
                admission.admitted(DESK, policy(LEDGERS), FAR_DEADLINE)
            )
        ledger = asyncio.ensure_future(hold_slot(admission, LEDGERS, order, release))
        await let_tasks_run()
        assert order == []  # two of four slots are reserved for brokers
        brokers = [
            asyncio.ensure_future(hold_slot(admission, BROKERS, order, release))
            for _ in range(3)
        ]
        await let_tasks_run()
        assert order == ["brokers", "brokers"]
    await let_tasks_run()
    assert order[:3] == ["brokers"] * 3
    release.set()
    await asyncio.gather(ledger, *brokers)
    assert order[-1] == "ledgers"
    assert admission.waiting_count == 0


async def test_load_reported_by_endpoints_counts(admission, directory, manual_clock):
    for name in ("e1", "e2"):
        load = ReportedLoad(2, 0, 2)
        directory.get(EndpointId(name)).note_load(load, manual_clock.monotonic())
    order, release = [], asyncio.Event()
    task = asyncio.ensure_future(hold_slot(admission, BROKERS, order, release))
    await let_tasks_run()
    assert order == []
    manual_clock.advance(2.0)  # the reported load is too old to count
    await let_tasks_run()
    assert order == ["brokers"]
    release.set()
    await task


async def test_a_request_above_the_queue_limit_is_refused_at_once(admission):
    release = asyncio.Event()
    tasks = [
        asyncio.ensure_future(hold_slot(admission, LEDGERS, [], release))
        for _ in range(4)
    ]
    await let_tasks_run()
    with pytest.raises(NotRunError) as caught:
        await hold_slot(admission, LEDGERS, [], release)
    assert caught.value.failure.reason is FailureReason.OVERLOADED
    release.set()
    await asyncio.gather(*tasks)


async def test_a_request_is_refused_after_the_queue_timeout_of_its_class(
    admission, manual_clock
):
    release = asyncio.Event()
    tasks = [
        asyncio.ensure_future(hold_slot(admission, LEDGERS, [], release))
        for _ in range(3)
    ]
    await let_tasks_run()
    manual_clock.advance(3.1)
    await let_tasks_run()
    with pytest.raises(NotRunError) as caught:
        await tasks[2]
    assert caught.value.failure.reason is FailureReason.QUEUE_TIMEOUT
    assert admission.waiting_count == 0
    release.set()
    await asyncio.gather(*tasks[:2])


async def test_a_cancelled_waiting_request_takes_no_slot(admission):
    release, order = asyncio.Event(), []
    tasks = [
        asyncio.ensure_future(hold_slot(admission, LEDGERS, order, release))
        for _ in range(4)
    ]
    await let_tasks_run()
    tasks[2].cancel()
    release.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert order == ["ledgers"] * 3
    async with admission.admitted(DESK, policy(LEDGERS), FAR_DEADLINE):
        pass


async def test_without_endpoints_no_request_waits(admission):
    async with admission.admitted(QueueKey("nothing"), policy(LEDGERS), FAR_DEADLINE):
        pass


async def test_a_hopeless_request_is_rejected_at_arrival_and_when_the_estimate_turns(
    directory, manual_clock
):
    admission = AdmissionController(directory, manual_clock, rejects_hopeless=True)
    for name in ("e1", "e2"):
        directory.get(EndpointId(name)).note_answer(0.2)
    now = manual_clock.monotonic()
    async with AsyncExitStack() as stack:
        for _ in range(4):
            await stack.enter_async_context(
                admission.admitted(DESK, policy(BROKERS), FAR_DEADLINE)
            )
        with pytest.raises(NotRunError) as caught:
            async with admission.admitted(DESK, policy(BROKERS), now + 0.09):
                pass
        assert caught.value.failure.reason is FailureReason.OVERLOADED

        async def wait():
            async with admission.admitted(DESK, policy(BROKERS), now + 0.5):
                pass

        waiting = asyncio.ensure_future(wait())
        await let_tasks_run()
        assert not waiting.done()
        manual_clock.advance(0.41)
        await let_tasks_run()
        with pytest.raises(NotRunError):
            await waiting
    assert admission.waiting_count == 0

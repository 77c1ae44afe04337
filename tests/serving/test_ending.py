"""Requests in progress, which are ended when a host stops."""

import asyncio

import pytest

from bankrudder.serving import RequestEndedError, RequestsInProgress


@pytest.fixture
def requests():
    return RequestsInProgress()


async def track(requests, work):
    async with requests.track():
        return await work


async def test_a_request_that_ends_by_itself_is_not_touched(requests):
    assert await track(requests, asyncio.sleep(0, "done")) == "done"
    requests.end_all()
    assert len(requests) == 0


async def test_all_requests_in_progress_are_ended(requests):
    tasks = [
        asyncio.ensure_future(track(requests, asyncio.sleep(60))) for _ in range(3)
    ]
    await asyncio.sleep(0)
    assert len(requests) == 3
    requests.end_all()
    for task in tasks:
        with pytest.raises(RequestEndedError):
            await task
    assert len(requests) == 0


async def test_time_outs_of_the_work_itself_pass(requests):
    async def work():
        async with asyncio.timeout(0):
            await asyncio.sleep(60)

    with pytest.raises(TimeoutError):
        await track(requests, work())


async def test_a_caller_that_leaves_cancels_its_request(requests):
    task = asyncio.ensure_future(track(requests, asyncio.sleep(60)))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert len(requests) == 0

"""Messages are received a few at a time, and given up if they do not arrive."""

import asyncio

import pytest

from bankrudder.exceptions import NotRunError
from bankrudder.rpc import _receiving
from bankrudder.rpc._receiving import MAX_RECEIVING, MAX_WAITING, MessageReceiver


@pytest.fixture
def receiver(monkeypatch):
    monkeypatch.setattr(_receiving, "RECEIVE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(_receiving, "WAIT_TIMEOUT_S", 0.5)
    return MessageReceiver()


class Messages:
    """The messages of a request; the first arrives once ``arrive`` is set."""

    def __init__(self):
        self.arrive = asyncio.Event()
        self.is_asked = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        self.is_asked = True
        await self.arrive.wait()
        return "message"


async def test_a_message_is_not_asked_for_while_others_are_received(receiver):
    sources = [Messages() for _ in range(MAX_RECEIVING + 1)]
    tasks = [asyncio.ensure_future(receiver.receive(each)) for each in sources]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert [each.is_asked for each in sources] == [True] * MAX_RECEIVING + [False]
    for each in sources:
        each.arrive.set()
    assert await asyncio.gather(*tasks) == ["message"] * len(sources)


async def test_a_message_that_does_not_arrive_leaves_its_place(receiver):
    stalled = [receiver.receive(Messages()) for _ in range(MAX_RECEIVING)]
    arriving = Messages()
    arriving.arrive.set()
    *failures, message = await asyncio.gather(
        *stalled, receiver.receive(arriving), return_exceptions=True
    )
    assert all(isinstance(each, NotRunError) for each in failures)
    assert message == "message"


async def test_a_request_without_a_message_has_none(receiver):
    async def nothing():
        for message in ():
            yield message

    assert await receiver.receive(nothing()) is None


async def test_only_so_many_requests_wait():
    receiver = MessageReceiver()
    may_end = asyncio.Event()

    async def messages():
        await may_end.wait()
        yield "m"

    count = MAX_RECEIVING + MAX_WAITING
    others = [asyncio.ensure_future(receiver.receive(messages())) for _ in range(count)]
    await asyncio.sleep(0)
    with pytest.raises(NotRunError):
        await receiver.receive(messages())
    may_end.set()
    assert await asyncio.gather(*others) == ["m"] * count

"""Batches wait for memory, and those in work keep theirs."""

import asyncio
from contextlib import ExitStack

import pytest

from bankrudder.batches import Batch, Sample
from bankrudder.batches._room import (
    BATCH_BYTES,
    MAX_WAITING_BATCHES,
    MAX_WAITING_SAMPLES,
    SAMPLE_BYTES,
    WAITING_BYTES,
    BatchRoom,
    batch_bytes,
)
from bankrudder.memory import MemoryBudget, TransferKind


@pytest.fixture
def budget(manual_clock):
    return MemoryBudget(1000, manual_clock, uncounted_bytes=0)


@pytest.fixture
def room(budget):
    return BatchRoom(budget)


def batch_of(count, body=b""):
    samples = tuple(
        Sample(f"s{number}", "/", (), body, f"g{number}") for number in range(count)
    )
    return Batch("b", "r", "h", "m", 1, 1, samples)


async def test_a_batch_waits_until_others_have_left(room, budget):
    with room.enter("b2") as second:
        with room.enter("b1") as first:
            assert first.try_hold(700)
            waiting = asyncio.ensure_future(second.hold(600))
            await asyncio.sleep(0)
            assert not waiting.done()
        await waiting
        assert budget.held_bytes == 600
    assert budget.held_bytes == 0


async def test_a_size_is_held_in_all(room, budget):
    with room.enter("b") as place:
        assert place.try_hold(300)
        assert place.try_hold(200)
        assert place.try_hold(500)
        assert budget.held_bytes == 500


async def test_a_batch_in_work_gives_way_to_no_transfer(room, budget, manual_clock):
    with room.enter("b") as place:
        assert place.try_hold(700)
        manual_clock.advance(10.0)
        request = budget.hold(TransferKind.REQUEST, lambda: 0, lambda: None)
        assert not request.grow(100)
        assert budget.held_bytes == 700


def test_the_size_of_a_batch_counts_samples_and_their_content():
    content_bytes = 3
    expected_bytes = BATCH_BYTES + SAMPLE_BYTES + WAITING_BYTES + content_bytes
    assert batch_bytes(batch_of(1, b"xy")) == expected_bytes
    more = batch_bytes(batch_of(MAX_WAITING_SAMPLES + 1))
    most = batch_bytes(batch_of(MAX_WAITING_SAMPLES))
    assert more - most == 1 + SAMPLE_BYTES


async def test_small_batches_count_from_their_first_byte(manual_clock):
    budget = MemoryBudget(1000, manual_clock, uncounted_bytes=100)
    with BatchRoom(budget).enter("b") as place:
        assert place.try_hold(50)
        assert budget.held_bytes == 50


async def test_no_others_are_accepted_while_many_wait(room):
    with ExitStack() as stack:
        first = stack.enter_context(room.enter("first"))
        assert first.try_hold(700)
        others = [
            stack.enter_context(room.enter(f"b{number}"))
            for number in range(MAX_WAITING_BATCHES)
        ]
        assert not room.is_full
        waiting = [asyncio.ensure_future(each.hold(600)) for each in others]
        await asyncio.sleep(0)
        assert room.is_full
        for each in waiting:
            each.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert not room.is_full

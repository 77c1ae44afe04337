"""What all hosts know of the batches that are open."""

import pytest

from bankrudder.batches._ownership import WORK_WEIGHT, OwnerBook
from bankrudder.batches._values import Owner
from bankrudder.presence import Presence


@pytest.fixture
def book(store, hand_clock):
    return OwnerBook(Presence(store, "h", "life", hand_clock), hand_clock)


def owner(model="m"):
    return Owner(host="other", lifetime="other-life", model=model)


async def test_how_long_batches_are_open_is_known_once_one_ended(book, hand_clock):
    book.put("b1", owner(), 1)
    hand_clock.advance(4.0)
    assert book.open_seconds() == {}
    book.remove("b1")
    assert book.open_seconds() == {"m": 4.0}


async def test_the_latest_batches_count_most(book, hand_clock):
    for name, seconds in (("b1", 4.0), ("b2", 8.0)):
        book.put(name, owner(), 1)
        hand_clock.advance(seconds)
        book.remove(name)
    mean = 4.0 + WORK_WEIGHT * 4.0
    assert book.open_seconds() == {"m": pytest.approx(mean)}


async def test_a_change_of_owner_is_no_new_batch(book, hand_clock):
    book.put("b1", owner(), 1)
    hand_clock.advance(3.0)
    book.put("b1", owner(), 2)
    hand_clock.advance(3.0)
    book.remove("b1")
    book.remove("b1")
    assert book.open_seconds() == {"m": 6.0}

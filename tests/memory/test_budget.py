"""The memory that transfers take stays within a budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.memory import HeldData, MemoryBudget, TransferKind
from bankrudder.memory._budget import (
    KIND_RESERVE_BYTES,
    KIND_RESERVE_SHARE,
    MIN_ENDED_AGE_S,
    STALLED_S,
)
from manual_clock import ManualClock

LIMIT = 1000
KIND_LIMIT = LIMIT - int(KIND_RESERVE_SHARE * LIMIT)


class Transfer:
    """A transfer at a fixed rate; ``is_ended`` is set when its connection closes."""

    def __init__(self, budget, clock, kind=TransferKind.ANSWER, bytes_per_s=0):
        self._clock = clock
        self._began_at = clock.monotonic()
        self._bytes_per_s = bytes_per_s
        self.is_ended = False
        self.holding = budget.hold(kind, self._transferred, self._end)

    def _transferred(self):
        return int(self._bytes_per_s * (self._clock.monotonic() - self._began_at))

    def _end(self):
        self.is_ended = True


@pytest.fixture
def budget(manual_clock):
    return MemoryBudget(LIMIT, manual_clock, uncounted_bytes=0)


def test_the_slowest_reader_yields_to_an_answer_that_does_not_fit(budget, manual_clock):
    slow, fast = (
        Transfer(budget, manual_clock, bytes_per_s=rate) for rate in (10, 200)
    )
    assert slow.holding.grow(350)
    assert fast.holding.grow(350)
    manual_clock.advance(2 * MIN_ENDED_AGE_S)
    new = Transfer(budget, manual_clock)
    assert new.holding.grow(300)
    assert (slow.is_ended, fast.is_ended) == (True, False)
    assert budget.held_bytes == 650


def test_nobody_is_ended_for_data_that_never_fits(budget, manual_clock):
    slow = Transfer(budget, manual_clock)
    assert slow.holding.grow(500)
    manual_clock.advance(2 * MIN_ENDED_AGE_S)
    assert not Transfer(budget, manual_clock).holding.grow(LIMIT + 1)
    assert not slow.is_ended


def test_a_young_transfer_is_not_ended(budget, manual_clock):
    young = Transfer(budget, manual_clock)
    assert young.holding.grow(KIND_LIMIT)
    assert not Transfer(budget, manual_clock).holding.grow(1)
    assert not young.is_ended


def test_a_young_transfer_that_stands_still_is_ended(budget, manual_clock):
    stalled = Transfer(budget, manual_clock)
    assert stalled.holding.grow(KIND_LIMIT)
    manual_clock.advance(STALLED_S)
    assert Transfer(budget, manual_clock).holding.grow(1)
    assert stalled.is_ended


def test_a_young_transfer_that_makes_progress_is_not_ended(budget, manual_clock):
    young = Transfer(budget, manual_clock, bytes_per_s=1000)
    assert young.holding.grow(KIND_LIMIT)
    for _ in range(3):
        manual_clock.advance(MIN_ENDED_AGE_S / 4)
        assert not Transfer(budget, manual_clock).holding.grow(1)
    assert not young.is_ended


def test_an_answer_in_hand_is_not_ended_before_it_is_sent(budget, manual_clock):
    answer = Transfer(budget, manual_clock)
    assert answer.holding.grow(KIND_LIMIT)
    answer.holding.note_received()
    manual_clock.advance(2 * MIN_ENDED_AGE_S)
    assert not Transfer(budget, manual_clock).holding.grow(1)
    ended = []
    answer.holding.begin_sending(lambda: 0, lambda: ended.append(True))
    assert not Transfer(budget, manual_clock).holding.grow(1)
    manual_clock.advance(STALLED_S)
    assert Transfer(budget, manual_clock).holding.grow(1)
    assert ended


def test_data_is_held_until_nothing_refers_to_it(budget, manual_clock):
    transfer = Transfer(budget, manual_clock)
    assert transfer.holding.grow(KIND_LIMIT)
    held = HeldData(transfer.holding)
    assert budget.held_bytes == KIND_LIMIT
    del held
    assert budget.held_bytes == 0


def test_a_slow_transfer_does_not_end_a_faster_one(budget, manual_clock):
    fast = Transfer(budget, manual_clock, bytes_per_s=100)
    slow = Transfer(budget, manual_clock, bytes_per_s=10)
    assert fast.holding.grow(KIND_LIMIT)
    manual_clock.advance(2 * MIN_ENDED_AGE_S)
    assert not slow.holding.grow(1)
    assert not fast.is_ended


@pytest.mark.parametrize("kind", TransferKind)
def test_neither_kind_takes_the_room_of_the_other(kind, budget, manual_clock):
    [other_kind] = set(TransferKind) - {kind}
    transfer = Transfer(budget, manual_clock, kind)
    assert not transfer.holding.grow(KIND_LIMIT + 1)
    assert transfer.holding.grow(KIND_LIMIT)
    assert Transfer(budget, manual_clock, other_kind).holding.grow(LIMIT - KIND_LIMIT)


def test_room_of_its_own_kind_is_not_made_by_ending_the_other(budget, manual_clock):
    request = Transfer(budget, manual_clock, TransferKind.REQUEST)
    slow = Transfer(budget, manual_clock, bytes_per_s=10)
    assert request.holding.grow(100)
    assert slow.holding.grow(KIND_LIMIT)
    manual_clock.advance(2 * MIN_ENDED_AGE_S)
    assert Transfer(budget, manual_clock).holding.grow(100)
    assert (request.is_ended, slow.is_ended) == (False, True)


def test_a_request_that_may_run_is_not_ended(budget, manual_clock):
    running = Transfer(budget, manual_clock, TransferKind.REQUEST)
    assert running.holding.grow(KIND_LIMIT)
    running.holding.note_received()
    manual_clock.advance(2 * MIN_ENDED_AGE_S)
    newer = Transfer(budget, manual_clock, TransferKind.REQUEST)
    assert not newer.holding.grow(1)
    assert not running.is_ended
    running.holding.release()
    assert newer.holding.grow(1)


def test_the_first_bytes_of_each_transfer_are_free(manual_clock):
    budget = MemoryBudget(LIMIT, manual_clock, uncounted_bytes=100)
    large = Transfer(budget, manual_clock)
    assert large.holding.grow(50)
    assert budget.held_bytes == 0
    assert large.holding.grow(KIND_LIMIT + 50)
    assert budget.held_bytes == KIND_LIMIT
    assert Transfer(budget, manual_clock).holding.grow(100)


def test_what_a_finished_transfer_held_is_free(budget, manual_clock):
    transfer = Transfer(budget, manual_clock)
    assert transfer.holding.grow(KIND_LIMIT)
    transfer.holding.release()
    assert budget.held_bytes == 0
    assert not transfer.is_ended


def test_a_large_budget_leaves_a_fixed_size_to_the_other_kind(manual_clock):
    budget = MemoryBudget(100 << 20, manual_clock, uncounted_bytes=0)
    large = Transfer(budget, manual_clock)
    assert not large.holding.grow((100 << 20) - KIND_RESERVE_BYTES + 1)
    assert large.holding.grow((100 << 20) - KIND_RESERVE_BYTES)
    request = Transfer(budget, manual_clock, TransferKind.REQUEST)
    assert request.holding.grow(KIND_RESERVE_BYTES)


def test_an_answer_that_must_be_delivered_is_held_beyond_the_budget(
    budget, manual_clock
):
    others = Transfer(budget, manual_clock)
    assert others.holding.grow(KIND_LIMIT)
    ready = Transfer(budget, manual_clock)
    assert not ready.holding.grow(KIND_LIMIT)
    assert ready.holding.grow(KIND_LIMIT, is_required=True)
    assert not others.is_ended
    assert budget.held_bytes == 2 * KIND_LIMIT


steps = st.tuples(
    st.integers(0, 4),  # which transfer grows
    st.integers(1, LIMIT),
    st.floats(0, 3),  # seconds that pass before
    st.booleans(),  # whether a transfer is released instead
)


@given(st.lists(steps, max_size=40), st.lists(st.integers(0, 500), min_size=5))
def test_the_budget_is_never_exceeded_and_no_faster_transfer_is_ended(moves, rates):
    clock = ManualClock()
    budget = MemoryBudget(LIMIT, clock, uncounted_bytes=0)
    transfers = [
        Transfer(budget, clock, list(TransferKind)[n % 2], rates[n]) for n in range(5)
    ]
    for number, count, pause_s, is_release in moves:
        clock.advance(pause_s)
        transfer = transfers[number]
        running = [each for each in transfers if not each.is_ended]
        if transfer.is_ended:
            continue
        if is_release:
            transfer.holding.release()
            transfer.is_ended = True
            continue
        is_old = transfer.holding.age_s(clock.monotonic()) >= MIN_ENDED_AGE_S
        transfer.holding.grow(count)
        assert budget.held_bytes <= LIMIT
        for each in running:
            now = clock.monotonic()
            is_stalled = each.holding.stalled_s(now) >= STALLED_S
            if each.is_ended and is_old and not is_stalled:
                rate = each.holding.bytes_per_s(now)
                assert rate < transfer.holding.bytes_per_s(clock.monotonic())

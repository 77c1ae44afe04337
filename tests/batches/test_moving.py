"""Which running sample takes which free slot of a faster engine."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.batches import Sample
from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._moving import AVOIDANCE_S
from bankrudder.batches._reservations import MOVE_RESERVATION_S, RESERVATION_EVENT_COUNT
from bankrudder.batches._sample_moves import SampleMoves
from bankrudder.batches._slot_queue import SlotDemand
from bankrudder.fleet import Endpoint, EndpointDirectory, ModelState, ReportedLoad
from bankrudder.fleet._tracked import MAX_SUSPENSION_S
from bankrudder.scheduling import MoveReason, RunningSample
from bankrudder.scheduling._lasting_moves import MAX_MOVE_COUNT, SUSTAINED_S
from manual_clock import ManualClock

FAST_GAP_S, SLOW_GAP_S = 0.03, 0.09


class Engines:
    """Two slow engines and a fast one, all of which report their slowdown."""

    def __init__(self):
        self.clock = ManualClock()
        self.directory = EndpointDirectory("north", self.clock)
        self.dispatcher = Dispatcher(self.directory, self.clock)
        for name in ("slow", "slow-2", "fast"):
            models = (ModelState("m", 1),)
            entry = Endpoint(name, "s", "127.0.0.1:1", "north", 2, models=models)
            self.directory.put(entry)
            gap_s = FAST_GAP_S if name == "fast" else SLOW_GAP_S
            self[name].note_event_gap(gap_s)
            self[name].note_load(ReportedLoad(0, 0, 2, 1.0), 0.0)

    def __getitem__(self, name):
        return self.directory.get(name)

    def find_move(self, name, sample="x", events=50, **fields):
        engine = self[name]
        running = RunningSample(events, 0, 0, engine.lasting_gap_s, **fields)
        return self.dispatcher.find_move(demand(sample), engine, running)

    async def arrive(self, sample):
        granted = await asyncio.wait_for(self.dispatcher.acquire(demand(sample)), 1)
        self.dispatcher.moves.note_start(sample, granted.run)
        return granted.endpoint.id


def demand(sample="x", rank=0.0):
    return SlotDemand(sample, (rank,), "s", "m", 1, "g")


@pytest.fixture
def engines():
    return Engines()


async def test_a_sample_moves_to_the_engine_that_was_chosen_for_it(engines):
    engines["slow-2"].note_connection(9.0, 0.0)
    assert engines.find_move("slow").reason is MoveReason.FASTER_ENGINE
    assert await engines.arrive("x") == "fast"


async def test_waiting_samples_do_not_take_the_slot_of_a_move(engines):
    engines["fast"].in_flight = 1
    assert engines.find_move("slow")
    others = [await engines.arrive(f"other-{number}") for number in range(4)]
    assert "fast" not in others
    assert await engines.arrive("x") == "fast"


async def test_a_sample_goes_elsewhere_if_its_destination_fails_meanwhile(engines):
    assert engines.find_move("slow")
    engines["fast"].note_failure(0.0)
    assert await engines.arrive("x") == "slow"
    engines.clock.advance(MAX_SUSPENSION_S)
    engines["fast"].note_alive()
    assert engines.find_move("slow-2", "y")


async def test_the_slot_of_a_move_that_is_not_made_becomes_free(engines):
    engines["fast"].in_flight = 1
    assert engines.find_move("slow")
    assert not engines.find_move("slow", "y")
    engines.clock.advance(MOVE_RESERVATION_S)
    assert engines.find_move("slow", "y")


def test_the_longest_sample_takes_a_single_free_slot(engines):
    engines["fast"].in_flight = 2
    for sample, events in (("shorter", 30), ("longest", 90), ("long", 60)):
        assert not engines.find_move("slow", sample, events)
    engines["fast"].in_flight = 1
    assert not engines.find_move("slow", "shorter", 32)
    assert not engines.find_move("slow", "long", 62)
    assert engines.find_move("slow", "longest", 92)


def test_a_sample_that_has_stalled_keeps_no_others_from_a_free_slot(engines):
    engines["fast"].in_flight = 2
    assert not engines.find_move("slow", "longest", 90)
    engines["fast"].in_flight = 1
    assert not engines.find_move("slow", "long", 60)
    engines.clock.advance(9 * SLOW_GAP_S)
    assert engines.find_move("slow", "long", 60)


def test_the_first_reserved_slot_goes_to_the_sample_that_saves_most(engines):
    engines.directory.put(msgspec.structs.replace(engines["fast"].endpoint, slots=4))
    engines["fast"].in_flight = 4
    for sample, events in (("long", 60), ("longest", 90)):
        assert not engines.find_move("slow", sample, events)
    engines["fast"].in_flight = 3
    assert not engines.find_move("slow", "long", 62)
    assert engines.find_move("slow", "longest", 92)


@pytest.mark.parametrize("samples", [("x", "y"), ("y", "x")])
def test_samples_that_save_as_much_do_not_keep_each_other_from_a_slot(engines, samples):
    engines.directory.put(msgspec.structs.replace(engines["fast"].endpoint, slots=4))
    engines["fast"].in_flight = 4
    for sample in samples:
        assert not engines.find_move("slow", sample)
    engines["fast"].in_flight = 3
    moves = [engines.find_move("slow", sample) for sample in samples]
    assert sum(move is not None for move in moves) == 1


async def test_a_reservation_is_renewed_while_the_sample_would_gain(engines):
    engines["fast"].in_flight = 2
    assert not engines.find_move("slow", "x", 60)
    engines.clock.advance(0.9 * RESERVATION_EVENT_COUNT * SLOW_GAP_S)
    assert not engines.find_move("slow", "x", 50)
    engines.clock.advance(0.2 * RESERVATION_EVENT_COUNT * SLOW_GAP_S)
    engines["fast"].in_flight = 1
    assert await engines.arrive("waiting") != "fast"


async def test_a_move_that_fails_keeps_no_other_from_its_slot(engines):
    fast_2 = msgspec.structs.replace(engines["fast"].endpoint, id="fast-2")
    engines.directory.put(fast_2)
    engines["fast-2"].note_event_gap(FAST_GAP_S)
    engines["fast-2"].in_flight = 2
    assert engines.find_move("slow", "x")
    engines["fast-2"].in_flight = 1
    engines["fast"].in_flight = 2
    assert engines.find_move("slow", "y")
    for name in ("slow", "slow-2"):
        engines[name].in_flight = 2
    engines["fast"].note_failure(0.0)
    failed = asyncio.ensure_future(engines.dispatcher.acquire(demand("x", 0.0)))
    await asyncio.sleep(0)
    assert await engines.arrive("y") == "fast-2"
    failed.cancel()


def test_a_sample_that_ends_leaves_no_slot_reserved(engines):
    engines["fast"].in_flight = 2
    assert not engines.find_move("slow", "x")
    sample_moves(engines).end()
    engines["fast"].in_flight = 1
    assert engines.find_move("slow", "y")


async def test_two_samples_never_swap_places(engines):
    assert engines.find_move("slow", "x")
    assert await engines.arrive("x") == "fast"
    engines["slow-2"].mark_unlisted()
    was_slow = {"sustained_gap_s": 5 * SLOW_GAP_S}
    assert not engines.find_move("fast", "y", **was_slow)
    engines.dispatcher.moves.note_end("x", engines["fast"].run)
    assert engines.find_move("fast", "y", **was_slow)


def test_no_sample_moves_to_an_engine_that_became_slow_for_long(engines):
    move = engines.find_move("fast", "x", sustained_gap_s=5 * SLOW_GAP_S)
    assert move.reason is MoveReason.ENGINE_SLOWED_DOWN
    assert not engines.find_move("slow-2", "y")
    engines.clock.advance(AVOIDANCE_S)
    assert engines.find_move("slow-2", "y")


def test_moves_from_engines_without_reports_follow_the_usual_time(engines):
    engines["slow"]._load = None
    assert engines.find_move("slow", events=3).saving_s is None
    assert engines.dispatcher.moves.counts[MoveReason.FASTER_ENGINE] == 1


def sample_moves(engines):
    sample = Sample("x", "/", (), b"", "g", 100)
    return SampleMoves("b", sample, engines.dispatcher, engines.clock, None)


def first_move(engines, moves, name, gaps_s, event_count=20):
    """Return the first move of a run, and after how many seconds it came."""
    moves.begin_run(engines[name], event_count)
    began = engines.clock.monotonic()
    for gap_s in gaps_s:
        engines.clock.advance(gap_s)
        event_count += 1
        now = engines.clock.monotonic()
        move = moves.note_event(engines[name], demand(), now, event_count)
        if move is not None:
            return move, now - began
    return None, None


@pytest.fixture
def lasting_speeds_do_not_change(monkeypatch):
    def lasting_gap_s(engine):
        return FAST_GAP_S if engine.endpoint.id == "fast" else SLOW_GAP_S

    monkeypatch.setattr(
        "bankrudder.fleet.TrackedEndpoint.lasting_gap_s", property(lasting_gap_s)
    )


def test_a_spell_moves_nothing(engines, lasting_speeds_do_not_change):
    engines["fast"].mark_unlisted()
    usual, spell = [SLOW_GAP_S] * 20, [2.5 * SLOW_GAP_S] * 3
    moves = sample_moves(engines)
    assert first_move(engines, moves, "slow", usual + spell + usual) == (None, None)


def test_a_sample_leaves_an_engine_that_became_slow_for_good(
    engines, lasting_speeds_do_not_change
):
    usual, slow = [FAST_GAP_S] * 8, [6 * SLOW_GAP_S] * 20
    moves = sample_moves(engines)
    move, after_s = first_move(engines, moves, "fast", usual + slow)
    assert move.reason is MoveReason.ENGINE_SLOWED_DOWN
    # It is found at the first check after the stated time, and these are four events.
    assert after_s < SUSTAINED_S + 8 * FAST_GAP_S + 2 * 4 * 6 * SLOW_GAP_S


def test_what_a_move_saved_is_counted_when_its_run_ends(engines):
    moves = sample_moves(engines)
    move, _ = first_move(engines, moves, "slow", [SLOW_GAP_S] * 9, 0)
    moves.end_run(engines["slow"], 5)
    first_move(engines, moves, "fast", [FAST_GAP_S] * 50, 5)
    moves.end_run(engines["fast"], 55)
    totals = engines.dispatcher.moves
    assert totals.expected_saving_s == move.saving_s
    assert totals.seen_saving_s == pytest.approx(50 * (SLOW_GAP_S - FAST_GAP_S))


@given(st.lists(st.tuples(st.sampled_from(["slow", "fast"]), st.floats(0.01, 3))))
def test_a_sample_never_moves_more_often_than_it_may(runs):
    """Engines become slow and fast by turns, in any order."""
    engines = Engines()
    moves = sample_moves(engines)
    event_count = 0
    for name, gap_s in runs:
        for engine in engines.directory.all():
            engine.note_load(ReportedLoad(0, 0, 2, 1.0), engines.clock.monotonic())
        first_move(engines, moves, name, [gap_s] * 9, event_count)
        moves.end_run(engines[name], event_count + 9)
        event_count += 9
    assert moves.count <= MAX_MOVE_COUNT
    assert sum(engines.dispatcher.moves.counts.values()) == moves.count

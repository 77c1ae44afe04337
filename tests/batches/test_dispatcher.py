"""Slots are granted by rank, on free and fast engines with recent enough weights."""

import asyncio

import msgspec
import pytest

from bankrudder.batches._dispatcher import (
    RECHECK_INTERVAL_S,
    Dispatcher,
    SlotDemand,
)
from bankrudder.batches._reservations import RESERVATION_EVENT_COUNT
from bankrudder.batches._slot_queue import MAX_ALONE_WAIT_S
from bankrudder.fleet import Endpoint, EndpointDirectory, ModelState
from bankrudder.fleet._tracked import LOADING_TIMEOUT_S, MAX_SUSPENSION_S


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    for name, version in (("a", 2), ("b", 3)):
        models = (ModelState("m", version),)
        directory.put(Endpoint(name, "s", "127.0.0.1:1", "north", 2, models=models))
    return directory


@pytest.fixture
def dispatcher(directory, manual_clock):
    return Dispatcher(directory, manual_clock)


@pytest.fixture
async def running_dispatcher(dispatcher):
    running = asyncio.ensure_future(dispatcher.run())
    yield dispatcher
    running.cancel()


def demand(rank=0.0, version=1, group="g", sample="x"):
    return SlotDemand(sample, (rank,), "s", "m", version, group)


def request_slot(dispatcher, rank=0.0, version=1, group="g", sample="x"):
    slot_demand = demand(rank, version, group, sample)
    return asyncio.ensure_future(dispatcher.acquire(slot_demand))


async def granted_ids(*tasks):
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return [task.result().endpoint.id if task.done() else None for task in tasks]


async def test_no_engine_gets_more_than_its_slots(dispatcher):
    tasks = [request_slot(dispatcher) for _ in range(6)]
    names = await granted_ids(*tasks)
    assert sorted(name for name in names if name) == ["a", "a", "b", "b"]
    dispatcher.release(tasks[0].result(), "g")
    assert sum(name is not None for name in await granted_ids(*tasks)) == 5


async def test_an_engine_with_old_weights_is_skipped(dispatcher):
    tasks = [request_slot(dispatcher, version=3) for _ in range(3)]
    assert await granted_ids(*tasks) == ["b", "b", None]


async def test_the_lower_rank_goes_first(dispatcher):
    first = [request_slot(dispatcher) for _ in range(4)]
    await granted_ids(*first)
    late, early = request_slot(dispatcher, rank=2.0), request_slot(dispatcher, rank=1.0)
    assert await granted_ids(late, early) == [None, None]
    dispatcher.release(first[0].result(), "g")
    names = await granted_ids(late, early)
    assert names[0] is None
    assert names[1] is not None


async def test_samples_of_a_group_go_to_the_same_engine(dispatcher):
    first = request_slot(dispatcher, group="g1")
    [name] = await granted_ids(first)
    second = request_slot(dispatcher, group="g1")
    assert await granted_ids(second) == [name]


async def test_requests_of_a_step_share_one_search_of_the_engines(
    directory, manual_clock, monkeypatch
):
    """One search for each sample of a step would delay the grant of its slots."""
    models = (ModelState("m", 2),)
    for number in range(100):
        entry = Endpoint(f"e{number}", "s", "127.0.0.1:1", "north", 2, models=models)
        directory.put(entry)
    searches = []
    search = directory.of_service
    monkeypatch.setattr(
        directory, "of_service", lambda *key: searches.append(key) or search(*key)
    )
    dispatcher = Dispatcher(directory, manual_clock)
    tasks = [request_slot(dispatcher, group=f"g{number}") for number in range(96)]
    assert None not in await granted_ids(*tasks)
    for task in tasks:
        task.result().note_event_gap(0.03)
        dispatcher.should_move(demand(), task.result(), 8)
    assert len(searches) == 1


async def test_an_unlisted_engine_gets_no_further_samples(dispatcher, directory):
    assert await granted_ids(request_slot(dispatcher)) == ["a"]
    directory.get("a").mark_unlisted()
    assert await granted_ids(request_slot(dispatcher), request_slot(dispatcher)) == [
        "b",
        "b",
    ]


@pytest.mark.parametrize("moved", [{"service": "t"}, {"data_centre": "south"}])
async def test_an_engine_moved_elsewhere_gets_no_further_samples(
    dispatcher, directory, moved
):
    slot_demand = SlotDemand("x", (0.0,), "s", "m", 1, "g", ("north",))
    assert (await dispatcher.acquire(slot_demand)).endpoint.id == "a"
    entry = directory.get("a").endpoint
    directory.put(msgspec.structs.replace(entry, **moved))
    for _ in range(2):
        assert (await dispatcher.acquire(slot_demand)).endpoint.id == "b"


async def test_a_new_engine_is_found_by_the_next_search(
    dispatcher, directory, manual_clock
):
    assert await granted_ids(request_slot(dispatcher, version=4)) == [None]
    models = (ModelState("m", 4),)
    directory.put(Endpoint("c", "s", "127.0.0.1:1", "north", 2, models=models))
    manual_clock.advance(RECHECK_INTERVAL_S)
    assert await granted_ids(request_slot(dispatcher, version=4)) == ["c"]


async def test_an_engine_with_an_idle_connection_is_preferred(
    dispatcher, directory, manual_clock
):
    directory.get("b").note_connection(9.0, manual_clock.monotonic())
    first, second = (
        request_slot(dispatcher, group="g1"),
        request_slot(dispatcher, group="g2"),
    )
    assert await granted_ids(first, second) == ["b", "a"]


async def test_an_expired_idle_connection_gives_no_preference(
    dispatcher, directory, manual_clock
):
    directory.get("b").note_connection(9.0, manual_clock.monotonic())
    manual_clock.advance(9.0)
    assert await granted_ids(request_slot(dispatcher)) == ["a"]


async def test_a_slower_engine_is_taken_only_when_the_fast_one_is_full(
    dispatcher, directory
):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    tasks = [request_slot(dispatcher, group=f"g{number}") for number in range(3)]
    assert await granted_ids(*tasks) == ["b", "b", "a"]


async def test_a_sample_moves_to_a_faster_free_engine(dispatcher, directory):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    slow = directory.get("a")
    assert dispatcher.should_move(demand(), slow, 10)
    assert not dispatcher.should_move(demand(), directory.get("b"), 10)
    directory.get("b").in_flight = 2
    assert not dispatcher.should_move(demand(), slow, 10)


async def test_an_engine_that_refused_is_paused(dispatcher, directory, manual_clock):
    for name in ("a", "b"):
        dispatcher.pause(directory.get(name), "m")
    task = request_slot(dispatcher)
    assert await granted_ids(task) == [None]
    manual_clock.advance(0.2)
    other = request_slot(dispatcher)
    assert None not in await granted_ids(task, other)


async def test_an_engine_that_loads_gets_nothing_until_it_has_loaded(
    dispatcher, directory, manual_clock
):
    for name in ("a", "b"):
        directory.get(name).note_loading("m", 4, manual_clock.monotonic())
    task = request_slot(dispatcher)
    assert await granted_ids(task) == [None]
    directory.get("b").note_version("m", 4)
    other = request_slot(dispatcher)
    assert await granted_ids(task, other) == ["b", "b"]


async def test_an_engine_whose_load_never_completes_is_used_again(
    dispatcher, directory, manual_clock
):
    for name in ("a", "b"):
        directory.get(name).note_loading("m", 4, manual_clock.monotonic())
    manual_clock.advance(LOADING_TIMEOUT_S)
    assert await granted_ids(request_slot(dispatcher)) != [None]


async def test_a_late_report_of_a_completed_load_is_ignored(
    dispatcher, directory, manual_clock
):
    for name in ("a", "b"):
        directory.get(name).note_version("m", 4)
        directory.get(name).note_loading("m", 4, manual_clock.monotonic())
    assert await granted_ids(request_slot(dispatcher)) != [None]


async def test_an_engine_that_failed_gets_one_sample_until_it_responds(
    dispatcher, directory, manual_clock
):
    failed_engine = directory.get("b")
    failed_engine.note_failure(manual_clock.monotonic())
    manual_clock.advance(MAX_SUSPENSION_S)
    tasks = [request_slot(dispatcher) for _ in range(4)]
    # The failed engine is chosen last, although it is as free as the other.
    assert await granted_ids(*tasks) == ["a", "a", "b", None]
    failed_engine.note_alive()
    dispatcher.release(tasks[0].result(), "g")
    assert None not in await granted_ids(*tasks)


async def test_no_sample_moves_to_an_engine_that_failed(
    dispatcher, directory, manual_clock
):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    slow, fast = directory.get("a"), directory.get("b")
    fast.note_failure(manual_clock.monotonic())
    manual_clock.advance(MAX_SUSPENSION_S)
    assert not dispatcher.should_move(demand(), slow, 100)
    fast.note_alive()
    assert dispatcher.should_move(demand(), slow, 100)


async def test_the_next_slot_is_reserved_for_a_sample_that_would_gain_by_moving(
    dispatcher, directory
):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    running = [request_slot(dispatcher, group=f"g{number}") for number in range(4)]
    assert await granted_ids(*running) == ["b", "b", "a", "a"]
    waiting = request_slot(dispatcher)
    long_demand = demand(rank=9.0, sample="long")
    assert not dispatcher.should_move(long_demand, directory.get("a"), 50)
    dispatcher.release(running[0].result(), "g0")
    assert await granted_ids(waiting) == [None]
    assert dispatcher.should_move(long_demand, directory.get("a"), 50)
    moved = request_slot(dispatcher, rank=9.0, sample="long")
    assert await granted_ids(waiting, moved) == [None, "b"]
    dispatcher.release(running[1].result(), "g1")
    assert await granted_ids(waiting) == ["b"]


@pytest.mark.parametrize("gap_s", [0.1, 0.4])
async def test_a_slot_stays_reserved_for_two_move_checks(
    dispatcher, directory, manual_clock, gap_s
):
    directory.get("a").note_event_gap(gap_s)
    directory.get("b").note_event_gap(0.03)
    running = [request_slot(dispatcher, group=f"g{number}") for number in range(4)]
    await granted_ids(*running)
    assert not dispatcher.should_move(demand(sample="y"), directory.get("a"), 50)
    manual_clock.advance(0.9 * RESERVATION_EVENT_COUNT * gap_s)
    dispatcher.release(running[0].result(), "g0")
    waiting = request_slot(dispatcher)
    assert await granted_ids(waiting) == [None]
    manual_clock.advance(0.2 * RESERVATION_EVENT_COUNT * gap_s)
    assert await granted_ids(request_slot(dispatcher), waiting) == [None, "b"]


async def test_at_most_half_of_the_slots_are_reserved(dispatcher, directory):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    running = [request_slot(dispatcher, group=f"g{number}") for number in range(4)]
    await granted_ids(*running)
    for sample in ("x1", "x2", "x3"):
        dispatcher.should_move(demand(sample=sample), directory.get("a"), 50)
    dispatcher.release(running[0].result(), "g0")
    dispatcher.release(running[1].result(), "g1")
    assert await granted_ids(request_slot(dispatcher), request_slot(dispatcher)) == [
        "b",
        None,
    ]


async def test_a_cancelled_request_takes_no_slot(dispatcher, directory):
    tasks = [request_slot(dispatcher) for _ in range(5)]
    await granted_ids(*tasks)
    tasks[4].cancel()
    await asyncio.gather(tasks[4], return_exceptions=True)
    dispatcher.release(tasks[0].result(), "g")
    assert sum(directory.get(name).in_flight for name in ("a", "b")) == 3


async def test_an_engine_runs_one_suspect_at_a_time(dispatcher, directory):
    suspects = [
        asyncio.ensure_future(
            dispatcher.acquire(
                SlotDemand(f"x{n}", (0.0,), "s", "m", 1, "g", is_suspect=True)
            )
        )
        for n in range(3)
    ]
    assert sorted(name for name in await granted_ids(*suspects) if name) == ["a", "b"]
    # Other samples still get the remaining slots.
    others = [request_slot(dispatcher, sample=f"y{n}") for n in range(2)]
    assert sorted(await granted_ids(*others)) == ["a", "b"]
    running = next(each for each in suspects if each.done())
    dispatcher.release(running.result(), "g", is_suspect=True)
    assert None not in await granted_ids(*suspects)
    assert sum(each.suspects for each in directory.all()) == 2


def request_slots_for_suspects(dispatcher, count):
    return [
        asyncio.ensure_future(
            dispatcher.acquire(
                SlotDemand(f"x{n}", (0.0,), "s", "m", 1, "g", is_suspect=True)
            )
        )
        for n in range(count)
    ]


async def test_a_suspect_waits_for_an_engine_of_its_own_for_a_limited_time(
    running_dispatcher, directory, manual_clock
):
    """Guards against idle slots while one suspect after the other runs for seconds."""
    suspects = request_slots_for_suspects(running_dispatcher, 4)
    assert (await granted_ids(*suspects)).count(None) == 2
    manual_clock.advance(MAX_ALONE_WAIT_S - 0.1)
    await asyncio.sleep(2 * RECHECK_INTERVAL_S)
    assert (await granted_ids(*suspects)).count(None) == 2
    manual_clock.advance(0.1)
    await asyncio.sleep(2 * RECHECK_INTERVAL_S)
    assert sorted(await granted_ids(*suspects)) == ["a", "a", "b", "b"]
    assert [each.suspects for each in directory.all()] == [2, 2]


async def test_the_limit_counts_from_when_there_is_room_beside_other_suspects(
    running_dispatcher, directory, manual_clock
):
    """Guards against suspects that share an engine as soon as engines are back."""
    for engine in directory.all():
        engine.note_failure(manual_clock.monotonic())
    suspects = request_slots_for_suspects(running_dispatcher, 3)
    manual_clock.advance(MAX_SUSPENSION_S + MAX_ALONE_WAIT_S)
    for engine in directory.all():
        engine.note_alive()
    await asyncio.sleep(2 * RECHECK_INTERVAL_S)
    assert (await granted_ids(*suspects)).count(None) == 1
    manual_clock.advance(MAX_ALONE_WAIT_S)
    await asyncio.sleep(2 * RECHECK_INTERVAL_S)
    assert None not in await granted_ids(*suspects)


async def test_a_suspect_that_waited_still_prefers_an_engine_of_its_own(
    running_dispatcher, directory, manual_clock
):
    suspects = request_slots_for_suspects(running_dispatcher, 3)
    await granted_ids(*suspects)
    manual_clock.advance(MAX_ALONE_WAIT_S)
    running = next(each for each in suspects if each.done())
    running_dispatcher.release(running.result(), "g", is_suspect=True)
    assert None not in await granted_ids(*suspects)
    assert [each.suspects for each in directory.all()] == [1, 1]

"""Slots go by rank to engines that are free, fresh enough and quick."""

import asyncio

import msgspec
import pytest

from bankrudder.batches._dispatcher import (
    RECHECK_S,
    RESERVED_EVENTS,
    Dispatcher,
    SlotDemand,
)
from bankrudder.fleet import Endpoint, EndpointDirectory, ModelState
from bankrudder.fleet._tracked import LOADING_S, MAX_SUSPENSION_S


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


def demand(rank=0.0, version=1, group="g", sample="x"):
    return SlotDemand(sample, (rank,), "s", "m", version, group)


def asked(dispatcher, rank=0.0, version=1, group="g", sample="x"):
    wanted = demand(rank, version, group, sample)
    return asyncio.ensure_future(dispatcher.acquire(wanted))


async def granted(*tasks):
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return [task.result().endpoint.id if task.done() else None for task in tasks]


async def test_no_engine_gets_more_than_its_slots(dispatcher):
    tasks = [asked(dispatcher) for _ in range(6)]
    names = await granted(*tasks)
    assert sorted(name for name in names if name) == ["a", "a", "b", "b"]
    dispatcher.release(tasks[0].result(), "g")
    assert sum(name is not None for name in await granted(*tasks)) == 5


async def test_an_engine_with_old_weights_is_passed_over(dispatcher):
    tasks = [asked(dispatcher, version=3) for _ in range(3)]
    assert await granted(*tasks) == ["b", "b", None]


async def test_the_lower_rank_goes_first(dispatcher):
    first = [asked(dispatcher) for _ in range(4)]
    await granted(*first)
    late, early = asked(dispatcher, rank=2.0), asked(dispatcher, rank=1.0)
    assert await granted(late, early) == [None, None]
    dispatcher.release(first[0].result(), "g")
    names = await granted(late, early)
    assert names[0] is None
    assert names[1] is not None


async def test_samples_of_a_group_go_to_the_engine_that_read_their_prompt(dispatcher):
    first = asked(dispatcher, group="g1")
    [name] = await granted(first)
    second = asked(dispatcher, group="g1")
    assert await granted(second) == [name]


async def test_a_step_does_not_search_all_engines_for_each_sample(
    directory, manual_clock, monkeypatch
):
    """Samples of a step come at one moment, before thousands of engines."""
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
    tasks = [asked(dispatcher, group=f"g{number}") for number in range(96)]
    assert None not in await granted(*tasks)
    for task in tasks:
        task.result().note_event_gap(0.03)
        dispatcher.should_move(demand(), task.result(), 8)
    assert len(searches) == 1


async def test_an_engine_that_drains_gets_nothing_from_that_moment_on(
    dispatcher, directory
):
    assert await granted(asked(dispatcher)) == ["a"]
    directory.get("a").unlist()
    assert await granted(asked(dispatcher), asked(dispatcher)) == ["b", "b"]


@pytest.mark.parametrize("moved", [{"service": "t"}, {"data_centre": "south"}])
async def test_an_engine_that_was_moved_gets_nothing_from_that_moment_on(
    dispatcher, directory, moved
):
    wanted = SlotDemand("x", (0.0,), "s", "m", 1, "g", ("north",))
    assert (await dispatcher.acquire(wanted)).endpoint.id == "a"
    entry = directory.get("a").endpoint
    directory.put(msgspec.structs.replace(entry, **moved))
    for _ in range(2):
        assert (await dispatcher.acquire(wanted)).endpoint.id == "b"


async def test_an_engine_that_comes_is_found_with_the_next_search(
    dispatcher, directory, manual_clock
):
    assert await granted(asked(dispatcher, version=4)) == [None]
    models = (ModelState("m", 4),)
    directory.put(Endpoint("c", "s", "127.0.0.1:1", "north", 2, models=models))
    manual_clock.advance(RECHECK_S)
    assert await granted(asked(dispatcher, version=4)) == ["c"]


async def test_a_sample_takes_a_connection_that_is_there(
    dispatcher, directory, manual_clock
):
    directory.get("b").note_connection(9.0, manual_clock.monotonic())
    first, second = asked(dispatcher, group="g1"), asked(dispatcher, group="g2")
    assert await granted(first, second) == ["b", "a"]


async def test_an_idle_connection_is_no_reason_once_its_time_is_over(
    dispatcher, directory, manual_clock
):
    directory.get("b").note_connection(9.0, manual_clock.monotonic())
    manual_clock.advance(9.0)
    assert await granted(asked(dispatcher)) == ["a"]


async def test_a_slower_engine_is_taken_only_when_the_quick_one_is_full(
    dispatcher, directory
):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    tasks = [asked(dispatcher, group=f"g{number}") for number in range(3)]
    assert await granted(*tasks) == ["b", "b", "a"]


async def test_a_quicker_free_engine_is_noticed(dispatcher, directory):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    slow = directory.get("a")
    assert dispatcher.should_move(demand(), slow, 10)
    assert not dispatcher.should_move(demand(), directory.get("b"), 10)
    directory.get("b").in_flight = 2
    assert not dispatcher.should_move(demand(), slow, 10)


async def test_an_engine_that_refused_is_left_alone_for_a_moment(
    dispatcher, directory, manual_clock
):
    for name in ("a", "b"):
        dispatcher.pause(directory.get(name), "m")
    task = asked(dispatcher)
    assert await granted(task) == [None]
    manual_clock.advance(0.2)
    other = asked(dispatcher)
    assert None not in await granted(task, other)


async def test_an_engine_that_loads_gets_nothing_until_it_has_loaded(
    dispatcher, directory, manual_clock
):
    for name in ("a", "b"):
        directory.get(name).note_loading("m", 4, manual_clock.monotonic())
    task = asked(dispatcher)
    assert await granted(task) == [None]
    directory.get("b").note_version("m", 4)
    other = asked(dispatcher)
    assert await granted(task, other) == ["b", "b"]


async def test_an_engine_is_not_left_out_for_good_if_its_load_is_never_told(
    dispatcher, directory, manual_clock
):
    for name in ("a", "b"):
        directory.get(name).note_loading("m", 4, manual_clock.monotonic())
    manual_clock.advance(LOADING_S)
    assert await granted(asked(dispatcher)) != [None]


async def test_news_of_a_load_that_is_over_changes_nothing(
    dispatcher, directory, manual_clock
):
    for name in ("a", "b"):
        directory.get(name).note_version("m", 4)
        directory.get(name).note_loading("m", 4, manual_clock.monotonic())
    assert await granted(asked(dispatcher)) != [None]


async def test_an_engine_that_failed_gets_one_sample_until_it_shows_life(
    dispatcher, directory, manual_clock
):
    dark = directory.get("b")
    dark.note_failure(manual_clock.monotonic())
    manual_clock.advance(MAX_SUSPENSION_S)
    tasks = [asked(dispatcher) for _ in range(4)]
    # It comes last, though it is as empty as the other one.
    assert await granted(*tasks) == ["a", "a", "b", None]
    dark.note_alive()
    dispatcher.release(tasks[0].result(), "g")
    assert None not in await granted(*tasks)


async def test_no_sample_moves_to_an_engine_that_failed(
    dispatcher, directory, manual_clock
):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    slow, quick = directory.get("a"), directory.get("b")
    quick.note_failure(manual_clock.monotonic())
    manual_clock.advance(MAX_SUSPENSION_S)
    assert not dispatcher.should_move(demand(), slow, 100)
    quick.note_alive()
    assert dispatcher.should_move(demand(), slow, 100)


async def test_the_next_slot_is_kept_for_a_sample_that_would_gain_by_moving(
    dispatcher, directory
):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    running = [asked(dispatcher, group=f"g{number}") for number in range(4)]
    assert await granted(*running) == ["b", "b", "a", "a"]
    waiting = asked(dispatcher)
    long_one = demand(rank=9.0, sample="long")
    assert not dispatcher.should_move(long_one, directory.get("a"), 50)
    dispatcher.release(running[0].result(), "g0")
    assert await granted(waiting) == [None]
    assert dispatcher.should_move(long_one, directory.get("a"), 50)
    moved = asked(dispatcher, rank=9.0, sample="long")
    assert await granted(waiting, moved) == [None, "b"]
    dispatcher.release(running[1].result(), "g1")
    assert await granted(waiting) == ["b"]


@pytest.mark.parametrize("gap_s", [0.1, 0.4])
async def test_a_slot_is_kept_for_two_looks(dispatcher, directory, manual_clock, gap_s):
    directory.get("a").note_event_gap(gap_s)
    directory.get("b").note_event_gap(0.03)
    running = [asked(dispatcher, group=f"g{number}") for number in range(4)]
    await granted(*running)
    assert not dispatcher.should_move(demand(sample="y"), directory.get("a"), 50)
    manual_clock.advance(0.9 * RESERVED_EVENTS * gap_s)
    dispatcher.release(running[0].result(), "g0")
    waiting = asked(dispatcher)
    assert await granted(waiting) == [None]
    manual_clock.advance(0.2 * RESERVED_EVENTS * gap_s)
    assert await granted(asked(dispatcher), waiting) == [None, "b"]


async def test_half_of_the_slots_is_never_kept(dispatcher, directory):
    directory.get("a").note_event_gap(0.1)
    directory.get("b").note_event_gap(0.03)
    running = [asked(dispatcher, group=f"g{number}") for number in range(4)]
    await granted(*running)
    for sample in ("x1", "x2", "x3"):
        dispatcher.should_move(demand(sample=sample), directory.get("a"), 50)
    dispatcher.release(running[0].result(), "g0")
    dispatcher.release(running[1].result(), "g1")
    assert await granted(asked(dispatcher), asked(dispatcher)) == ["b", None]


async def test_a_cancelled_request_takes_no_slot(dispatcher, directory):
    tasks = [asked(dispatcher) for _ in range(5)]
    await granted(*tasks)
    tasks[4].cancel()
    await asyncio.gather(tasks[4], return_exceptions=True)
    dispatcher.release(tasks[0].result(), "g")
    assert sum(directory.get(name).in_flight for name in ("a", "b")) == 3


async def test_suspects_are_never_together_on_an_engine(dispatcher, directory):
    suspects = [
        asyncio.ensure_future(
            dispatcher.acquire(
                SlotDemand(f"x{n}", (0.0,), "s", "m", 1, "g", is_suspect=True)
            )
        )
        for n in range(3)
    ]
    assert sorted(name for name in await granted(*suspects) if name) == ["a", "b"]
    # Others still have the slots beside them.
    others = [asked(dispatcher, sample=f"y{n}") for n in range(2)]
    assert sorted(await granted(*others)) == ["a", "b"]
    running = next(each for each in suspects if each.done())
    dispatcher.release(running.result(), "g", is_suspect=True)
    assert None not in await granted(*suspects)
    assert sum(each.suspects for each in directory.all()) == 2

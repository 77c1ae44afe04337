"""Planned ranks reach waiting samples, and due times survive a change of owner."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.batches import Batch, Sample
from bankrudder.batches._dispatcher import Dispatcher
from bankrudder.batches._ownership import OwnerRegistry
from bankrudder.batches._slot_queue import SlotDemand, SlotQueue
from bankrudder.batches._step_planning import (
    PLAN_INTERVAL_S,
    SERVICE_CHECK_INTERVAL_S,
    StepKind,
    StepPlanner,
    StepTimes,
)
from bankrudder.batches._values import Owner
from bankrudder.fleet import (
    Endpoint,
    EndpointDirectory,
    ModelState,
    ReportedLoad,
)
from bankrudder.presence import Presence
from bankrudder.routing import Route, RouteKind, WeightedService
from bankrudder.scheduling import GroupWork, SampleWork, StepWork


class StepStub:
    """An open step of two groups of which only the second can be in time."""

    kind = StepKind("s", "m", ())
    min_version = 1

    def remaining_work(self):
        samples = [
            SampleWork(name, (0.0, rank), 4.0, False)
            for rank, name in enumerate(("a0", "a1", "b0"))
        ]
        groups = (GroupWork("a", tuple(samples[:2])), GroupWork("b", (samples[2],)))
        return StepWork("one", 0.0, 7.5, 12.0, 2, groups)


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    models = (ModelState("m", 1),)
    directory.put(Endpoint("e", "s", "127.0.0.1:1", "north", 1, models=models))
    return directory


@pytest.fixture
def planner(directory, manual_clock):
    return StepPlanner(directory, manual_clock, lambda: [StepStub()], plans_all=True)


def test_groups_that_can_be_in_time_go_first(planner):
    ranks = planner.ranks()
    assert sorted(ranks, key=ranks.get) == ["b0", "a0", "a1"]
    assert (planner.in_time_count, planner.deferred_count) == (1, 1)


def test_a_plan_is_kept_for_a_stated_time(planner, manual_clock):
    assert planner.ranks()
    assert planner.ranks() is None
    manual_clock.advance(PLAN_INTERVAL_S)
    assert planner.ranks()
    planner.plan_anew()
    assert planner.ranks()


def test_a_plan_that_is_no_longer_renewed_is_not_counted(planner, manual_clock):
    planner.ranks()
    manual_clock.advance(60.0)
    assert (planner.in_time_count, planner.deferred_count) == (0, 0)


def test_nothing_is_planned_without_settings_or_reports(directory, manual_clock):
    planner = StepPlanner(
        directory, manual_clock, lambda: [StepStub()], plans_all=False
    )
    assert planner.ranks() == {}
    assert not planner.plans_any()
    load = ReportedLoad(1, 0, 1, slowdown=1.4)
    directory.get("e").note_load(load, manual_clock.monotonic())
    manual_clock.advance(SERVICE_CHECK_INTERVAL_S)
    assert planner.ranks() != {}
    assert planner.plans_any()


def demand(sample, rank):
    return SlotDemand(sample, (rank,), "s", "m", 1, sample)


async def test_waiting_samples_are_ordered_by_a_new_plan(directory, manual_clock):
    ranks = {}
    dispatcher = Dispatcher(directory, manual_clock, lambda: dict(ranks))
    holder = await dispatcher.acquire(demand("x", 0.0))
    first = asyncio.ensure_future(dispatcher.acquire(demand("a", 1.0)))
    second = asyncio.ensure_future(dispatcher.acquire(demand("b", 2.0)))
    await asyncio.sleep(0)
    ranks["a"] = (3.0,)
    dispatcher.update_ranks()
    dispatcher.release(holder, "x")
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert second.done()
    assert not first.done()
    first.cancel()


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("add"), st.integers(0, 9)),
            st.tuples(st.just("pop"), st.just(0)),
            st.tuples(
                st.just("rank"),
                st.dictionaries(
                    st.integers(0, 20).map(str), st.integers(0, 9).map(lambda n: (n,))
                ),
            ),
        )
    )
)
def test_each_request_is_taken_once_and_the_lowest_rank_first(steps):
    loop = asyncio.new_event_loop()
    queue, waiting, ranks, number = SlotQueue(), {}, {}, 0
    for action, value in steps:
        if action == "add":
            queue.add(
                SlotDemand(str(number), (value,), "s", "m", 1, "g"),
                loop.create_future(),
            )
            waiting[str(number)] = (value,)
            number += 1
        elif action == "rank":
            ranks = value
            queue.set_ranks(ranks)
        elif waiting:
            sample = queue.pop().demand.sample
            now = {key: ranks.get(key, own) for key, own in waiting.items()}
            assert now[sample] == min(now.values())
            del waiting[sample]
    assert len(queue) == len(waiting)
    loop.close()


BATCH = Batch("b1", "r", "h", "m", 1, 1, (Sample("s1", "/", (), b"", "g"),))


class StoreTime:
    """The store's clock as one host knows it; unknown if ``ahead_s`` is None."""

    def __init__(self, ahead_s):
        self.ahead_s = ahead_s

    def __call__(self, monotonic_s):
        return None if self.ahead_s is None else monotonic_s + self.ahead_s


def registry(store, clock, host, ahead_s):
    return OwnerRegistry(
        Presence(store, host, f"{host}-life", clock),
        clock,
        store_time=StoreTime(ahead_s),
    )


async def test_a_new_owner_knows_when_the_batch_was_accepted(store, manual_clock):
    """A host that started after the acceptance takes the batch over 3 s later."""
    accepting = registry(store, manual_clock, "h1", 40_000.0)
    row = accepting.choose_owner(BATCH, may_choose_this_host=True, records_time=True)
    accepted_at = manual_clock.monotonic()
    manual_clock.advance(3.0)
    later = registry(store, manual_clock, "h2", 40_000.0)
    later.put("b1", row, 1)
    assert later.accepted_at("b1") == pytest.approx(accepted_at, abs=0.01)
    claimed = later.claimed_row(row)
    handed_over = msgspec.structs.replace(claimed, host="", lifetime="")
    assert handed_over.accepted_at == row.accepted_at


@pytest.mark.parametrize("ahead_s", [None, 40_000.0])
async def test_without_the_times_a_batch_counts_as_accepted_when_learned_of(
    store, manual_clock, ahead_s
):
    """Rows of an earlier release have no time; a new host may not know the store's."""
    owners = registry(store, manual_clock, "h2", ahead_s)
    row = msgspec.json.decode(b'{"host":"h1","lifetime":"x","model":"m"}', type=Owner)
    owners.put("b1", row, 1)
    learned_at = manual_clock.monotonic()
    manual_clock.advance(2.0)
    assert owners.accepted_at("b1") == learned_at
    assert owners.accepted_at("unknown") == manual_clock.monotonic()


def test_no_time_is_recorded_where_steps_are_not_planned(store, manual_clock):
    owners = registry(store, manual_clock, "h1", 40_000.0)
    row = owners.choose_owner(BATCH, may_choose_this_host=True)
    assert b"accepted_at" not in msgspec.json.encode(row)


def test_a_route_without_a_target_for_results_has_no_due_time():
    services = (WeightedService("s", 1.0),)
    route = Route("r", "h", "/", RouteKind.ROLLOUT, services, 12.0, 0.4)
    assert StepTimes.from_route(route, 5.0) is None
    timed = msgspec.structs.replace(route, result_target_s=7.5)
    assert StepTimes.from_route(timed, 5.0) == StepTimes(5.0, 12.5, 17.0)

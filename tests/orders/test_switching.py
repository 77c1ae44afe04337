"""Which engines load at the same time, and how many."""

import asyncio

import pytest

from bankrudder.fleet import (
    Endpoint,
    EndpointDirectory,
    EngineState,
    ModelState,
    OrderOutcome,
)
from bankrudder.orders import LoadPlanner, VersionSwitcher
from bankrudder.world import SystemClock

LOAD_S = 0.2


class HeldLease:
    """A lease that this host holds."""

    is_valid = True
    fence = 7


class OpenBatchesStub:
    """Batches of equal work that need the same version."""

    def __init__(self, needed, samples):
        self.is_loaded = True
        self._needed = needed
        self._samples = samples

    def mean_batch_tokens(self, model):
        return 1.0

    def largest_batch_sample_count(self, model):
        return self._samples

    def open_seconds(self):
        return {}

    def needed_version(self, model):
        return self._needed


class EnginesStub:
    """Engines that accept orders; records the most simultaneous loads of each model."""

    def __init__(self):
        self.versions = {}
        self.orders_taken = {}
        self.loading = {}
        self.max_loading = {}
        self.removed_rows = []
        self.announced = []
        self.running = 0

    async def state(self, endpoint):
        return EngineState(
            self.orders_taken.get(endpoint.id, 0),
            False,
            dict(self.versions[endpoint.id]),
            self.running,
        )

    async def order(self, endpoint, order):
        assert order.expected_orders == self.orders_taken.get(endpoint.id, 0)
        self.orders_taken[endpoint.id] = order.expected_orders + 1
        loading_now = self.loading.setdefault(order.model, set())
        loading_now.add(endpoint.id)
        self.max_loading[order.model] = max(
            self.max_loading.get(order.model, 0), len(loading_now)
        )
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, endpoint.id, order)
        return OrderOutcome.ACCEPTED

    async def remove_row(self, engine):
        self.removed_rows.append(engine)

    async def announce(self, run, state):
        engine = run.endpoint
        has_loaded = self.versions[engine][state.model] == state.version
        assert has_loaded or state.is_loading
        self.announced.append((engine, state.version, state.is_loading))

    def _loaded(self, engine, order):
        self.versions[engine][order.model] = order.version
        self.loading[order.model].discard(engine)


@pytest.fixture
def switch():
    async def switch(
        count, named, needed=0, gone_engine=None, samples=0, running=0, is_loaded=True
    ):
        clock = SystemClock()
        directory = EndpointDirectory("north", clock)
        engines = EnginesStub()
        for number in range(count):
            states = tuple(ModelState(model, 1) for model in named)
            engine = Endpoint(f"e{number}", "s", "a:1", "north", 8, models=states)
            directory.put(engine)
            engines.versions[engine.id] = dict.fromkeys(named, 1)
        directory.put(Endpoint("desk", "plain", "a:2", "north", 8))
        batches = OpenBatchesStub(needed, samples)
        batches.is_loaded = is_loaded
        engines.running = running
        planner = LoadPlanner(named, batches, dict, clock)
        switcher = VersionSwitcher(
            HeldLease(), "h", directory, engines, planner, engines, lambda: None, clock
        )
        task = asyncio.ensure_future(switcher.run())
        await asyncio.sleep(10 * LOAD_S)
        if gone_engine is not None:
            directory.remove(gone_engine, 0.0)
            await asyncio.sleep(LOAD_S)
        task.cancel()
        return engines

    return switch


async def test_a_third_of_a_models_engines_load_at_once(switch):
    engines = await switch(9, {"m": 2})
    assert engines.max_loading == {"m": 3}
    assert all(each == {"m": 2} for each in engines.versions.values())


async def test_each_engine_loads_only_the_model_it_is_assigned_to(switch):
    engines = await switch(12, {"a": 2, "b": 2})
    assert engines.max_loading == {"a": 2, "b": 2}
    loaded = [sorted(each.values()) for each in engines.versions.values()]
    assert loaded == [[1, 2]] * 12


async def test_a_single_engine_is_loaded_too(switch):
    engines = await switch(1, {"m": 2})
    assert engines.versions == {"e0": {"m": 2}}


async def test_unusable_engines_load_up_to_the_limit_of_the_service(switch):
    assert (await switch(5, {"m": 2})).max_loading == {"m": 1}
    assert (await switch(5, {"m": 2}, needed=2)).max_loading == {"m": 2}


async def test_the_row_of_an_engine_that_is_gone_is_removed(switch):
    engines = await switch(2, {"m": 2}, gone_engine="e1")
    assert engines.removed_rows == ["e1"]


async def test_no_more_engines_load_than_samples_can_use(switch):
    engines = await switch(30, {"m": 2}, samples=16)
    assert len(engines.orders_taken) == 2 * 16 // 8 + 2


async def test_owners_are_told_when_a_load_begins_and_when_it_has_ended(switch):
    engines = await switch(1, {"m": 2}, needed=2)
    assert engines.announced == [("e0", 2, True), ("e0", 2, False)]


async def test_nothing_is_assigned_before_all_open_batches_are_known(switch):
    engines = await switch(2, {"m": 2}, needed=2, is_loaded=False)
    assert not engines.orders_taken


async def test_usable_engines_load_only_while_slots_are_free(switch, monkeypatch):
    monkeypatch.setattr("bankrudder.scheduling._loads.OVERDUE_LOAD_FACTOR", 100.0)
    # One of the two nearly full engines loads at once, the other one waits.
    engines = await switch(2, {"m": 2}, running=7)
    assert sorted(each["m"] for each in engines.versions.values()) == [1, 2]
    engines = await switch(2, {"m": 2}, running=3)
    assert [each["m"] for each in engines.versions.values()] == [2, 2]


async def test_full_engines_load_once_the_version_is_overdue(switch):
    engines = await switch(2, {"m": 2}, running=7)
    assert [each["m"] for each in engines.versions.values()] == [2, 2]


async def test_unusable_engines_load_even_if_full(switch):
    engines = await switch(2, {"m": 2}, needed=2, running=8)
    assert [each["m"] for each in engines.versions.values()] == [2, 2]

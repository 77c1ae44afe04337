"""Orders to engines that restart under the same name."""

import asyncio
from itertools import pairwise

import msgspec
import pytest

from bankrudder.fleet import (
    Endpoint,
    EndpointDirectory,
    EngineState,
    ModelState,
    OrderOutcome,
)
from bankrudder.orders import (
    LOADED_TABLE,
    EnginePaces,
    LoadAnnouncer,
    LoadPlanner,
    VersionSwitcher,
)
from bankrudder.store import Committed, Page, Row, RowKey
from bankrudder.world import SystemClock
from outside.site import until

LOAD_S = 0.1


class HeldLease:
    is_valid = True
    fence = 7


class OpenBatchesStub:
    """Batches that need the newest version."""

    is_loaded = True

    def mean_batch_tokens(self, model):
        return 1.0

    def largest_batch_sample_count(self, model):
        return 4

    def open_seconds(self):
        return {}

    def needed_version(self, model):
        return 4


class EngineStub:
    """An engine that can restart; `entry` returns its entry in the platform's list."""

    def __init__(self):
        self.born = 5
        self.version = 1
        self.orders_taken = 0
        self.orders = []
        self.loading = None

    def entry(self):
        models = (ModelState("m", self.version),)
        return Endpoint("e", "s", "a:1", "north", 8, models=models, born=self.born)

    def restart(self, born):
        self.born, self.version, self.orders_taken = born, 1, 0
        if self.loading is not None:
            self.loading.cancel()
            self.loading = None

    async def state(self, endpoint):
        is_busy = self.loading is not None
        versions = {"m": self.version}
        return EngineState(self.orders_taken, is_busy, versions, 0, self.born)

    async def order(self, endpoint, order):
        self.orders.append((asyncio.get_running_loop().time(), order))
        if self.loading is not None or order.expected_orders != self.orders_taken:
            return OrderOutcome.CONFLICT
        if order.version == self.version:
            return OrderOutcome.ALREADY_SO
        self.orders_taken += 1
        loop = asyncio.get_running_loop()
        self.loading = loop.call_later(LOAD_S, self._loaded, order.version)
        return OrderOutcome.ACCEPTED

    def _loaded(self, version):
        self.version, self.loading = version, None


class AnnouncerStub:
    """Records the announced rows."""

    def __init__(self):
        self.rows = []

    async def announce(self, run, state):
        self.rows.append((run.born, state.version, state.is_loading))

    async def remove_row(self, engine):
        pass


@pytest.fixture
async def switcher_setup():
    clock = SystemClock()
    directory = EndpointDirectory("north", clock)
    engine, announcer_stub, named = EngineStub(), AnnouncerStub(), {"m": 4}
    directory.put(engine.entry())
    planner = LoadPlanner(named, OpenBatchesStub(), dict, clock)
    switcher = VersionSwitcher(
        HeldLease(),
        "h",
        directory,
        engine,
        planner,
        announcer_stub,
        lambda: None,
        clock,
    )
    task = asyncio.ensure_future(switcher.run())
    yield directory, engine, announcer_stub, named
    task.cancel()


async def test_an_engine_that_restarted_loads_the_version_again(switcher_setup):
    directory, engine, _, _ = switcher_setup
    await until(lambda: engine.version == 4)
    await until(lambda: directory.get("e").version_of("m") == 4)
    engine.restart(9)
    directory.put(engine.entry())
    await until(lambda: engine.version == 4)
    assert engine.orders_taken == 1


async def test_a_restart_is_detected_from_the_state_of_the_engine(switcher_setup):
    directory, engine, _, named = switcher_setup
    await until(lambda: directory.get("e").version_of("m") == 4)
    engine.restart(9)
    named["m"] = 5
    await until(lambda: engine.version == 5)
    assert directory.get("e").run.born == 9


async def test_a_restart_during_a_load_does_not_count_as_its_end(switcher_setup):
    directory, engine, announcer_stub, _ = switcher_setup
    await until(lambda: engine.loading is not None)
    engine.restart(9)
    await until(lambda: engine.version == 4)
    await until(lambda: directory.get("e").version_of("m") == 4)
    assert (5, 4, False) not in announcer_stub.rows
    assert (9, 4, False) in announcer_stub.rows


async def test_two_restarts_within_a_second(switcher_setup):
    directory, engine, _, _ = switcher_setup
    await until(lambda: engine.loading is not None)
    engine.restart(9)
    directory.put(engine.entry())
    await until(lambda: engine.loading is not None)
    engine.restart(10)
    await until(lambda: engine.version == 4)
    assert directory.get("e").run.born == 10


async def test_orders_after_restarts_are_not_repeated_in_a_tight_loop(
    switcher_setup,
):
    _, engine, _, named = switcher_setup
    await until(lambda: engine.version == 4)
    for born in (9, 10, 11):
        engine.restart(born)
        named["m"] += 1
        await until(lambda: engine.version == named["m"])
    times = [at for at, _ in engine.orders]
    gaps = [after - before for before, after in pairwise(times)]
    assert len(engine.orders) <= 12
    assert all(gap > 0.04 for gap in gaps)


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    directory.put(EngineStub().entry())
    return directory


def loaded_row(**state):
    document = {"model": "m", "version": 3, **state}
    return Row(RowKey(LOADED_TABLE, "", "e"), 1, msgspec.json.encode(document))


def test_rows_of_an_earlier_run_are_ignored(directory, manual_clock):
    announcer = LoadAnnouncer(None, directory, manual_clock)
    announcer.apply_row(loaded_row(born=4))
    announcer.apply_row(loaded_row())
    assert directory.get("e").version_of("m") == 1
    announcer.apply_row(loaded_row(born=5))
    assert directory.get("e").version_of("m") == 3


def test_a_row_of_a_later_run_reveals_the_restart(directory, manual_clock):
    announcer = LoadAnnouncer(None, directory, manual_clock)
    announcer.apply_row(loaded_row(born=9, is_loading=True))
    engine = directory.get("e")
    assert engine.run.born == 9
    assert engine.is_loading("m", manual_clock.monotonic())
    announcer.apply_row(loaded_row(born=9))
    assert engine.version_of("m") == 3


class StoreStub:
    """The part of the store that paces need."""

    def __init__(self):
        self.rows = {}

    async def commit(self, transaction):
        for put in transaction.puts:
            self.rows[put.key] = Row(put.key, 1, put.value)
        return Committed(1)

    async def read(self, table, part):
        return Page(tuple(self.rows.values()), 1, False)


async def test_the_pace_of_an_earlier_run_is_forgotten(directory):
    paces = EnginePaces(StoreStub(), directory)
    directory.get("e").note_event_gap(0.5)
    await paces.write_changed()
    await paces.read_all()
    assert paces.usual_gaps == {"e": 0.5}
    restarted = EngineStub()
    restarted.restart(9)
    directory.put(restarted.entry())
    await paces.read_all()
    assert paces.usual_gaps == {}

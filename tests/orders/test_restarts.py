"""Orders to engines that start again under their name."""

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


class OpenBatches:
    """Batches that need the newest version."""

    is_loaded = True

    def work_of(self, model):
        return 1.0

    def samples_of(self, model):
        return 4

    def open_seconds(self):
        return {}

    def needed_version(self, model):
        return 4


class Engine:
    """One engine that starts again; `list_entry` is what the platform lists."""

    def __init__(self):
        self.born = 5
        self.version = 1
        self.taken = 0
        self.orders = []
        self.loading = None

    def entry(self):
        models = (ModelState("m", self.version),)
        return Endpoint("e", "s", "a:1", "north", 8, models=models, born=self.born)

    def start_again(self, born):
        self.born, self.version, self.taken = born, 1, 0
        if self.loading is not None:
            self.loading.cancel()
            self.loading = None

    async def state(self, endpoint):
        is_busy = self.loading is not None
        versions = {"m": self.version}
        return EngineState(self.taken, is_busy, versions, 0, self.born)

    async def order(self, endpoint, order):
        self.orders.append((asyncio.get_running_loop().time(), order))
        if self.loading is not None or order.expected_orders != self.taken:
            return OrderOutcome.CONFLICT
        if order.version == self.version:
            return OrderOutcome.ALREADY_SO
        self.taken += 1
        loop = asyncio.get_running_loop()
        self.loading = loop.call_later(LOAD_S, self._loaded, order.version)
        return OrderOutcome.ACCEPTED

    def _loaded(self, version):
        self.version, self.loading = version, None


class Announced:
    """What is told to owners."""

    def __init__(self):
        self.rows = []

    async def announce(self, run, state):
        self.rows.append((run.born, state.version, state.is_loading))

    async def forget(self, engine):
        pass


@pytest.fixture
async def switched():
    clock = SystemClock()
    directory = EndpointDirectory("north", clock)
    engine, announced, named = Engine(), Announced(), {"m": 4}
    directory.put(engine.entry())
    planner = LoadPlanner(named, OpenBatches(), dict, clock)
    switcher = VersionSwitcher(
        HeldLease(), "h", directory, engine, planner, announced, lambda: None, clock
    )
    task = asyncio.ensure_future(switcher.run())
    yield directory, engine, announced, named
    task.cancel()


async def test_an_engine_that_started_again_is_loaded_anew(switched):
    directory, engine, _, _ = switched
    await until(lambda: engine.version == 4)
    await until(lambda: directory.get("e").version_of("m") == 4)
    engine.start_again(9)
    directory.put(engine.entry())
    await until(lambda: engine.version == 4)
    assert engine.taken == 1


async def test_a_restart_that_only_an_answer_tells_of(switched):
    directory, engine, _, named = switched
    await until(lambda: directory.get("e").version_of("m") == 4)
    engine.start_again(9)
    named["m"] = 5
    await until(lambda: engine.version == 5)
    assert directory.get("e").run.born == 9


async def test_a_restart_during_a_load_is_not_taken_for_its_end(switched):
    directory, engine, announced, _ = switched
    await until(lambda: engine.loading is not None)
    engine.start_again(9)
    await until(lambda: engine.version == 4)
    await until(lambda: directory.get("e").version_of("m") == 4)
    assert (5, 4, False) not in announced.rows
    assert (9, 4, False) in announced.rows


async def test_two_restarts_within_a_second(switched):
    directory, engine, _, _ = switched
    await until(lambda: engine.loading is not None)
    engine.start_again(9)
    directory.put(engine.entry())
    await until(lambda: engine.loading is not None)
    engine.start_again(10)
    await until(lambda: engine.version == 4)
    assert directory.get("e").run.born == 10


async def test_orders_to_an_engine_that_counts_anew_are_not_repeated_in_a_loop(
    switched,
):
    _, engine, _, named = switched
    await until(lambda: engine.version == 4)
    for born in (9, 10, 11):
        engine.start_again(born)
        named["m"] += 1
        await until(lambda: engine.version == named["m"])
    times = [at for at, _ in engine.orders]
    gaps = [after - before for before, after in pairwise(times)]
    assert len(engine.orders) <= 12
    assert all(gap > 0.04 for gap in gaps)


@pytest.fixture
def directory(manual_clock):
    directory = EndpointDirectory("north", manual_clock)
    directory.put(Engine().entry())
    return directory


def loaded(**state):
    document = {"model": "m", "version": 3, **state}
    return Row(RowKey(LOADED_TABLE, "", "e"), 1, msgspec.json.encode(document))


def test_owners_pass_over_what_was_told_of_an_earlier_run(directory, manual_clock):
    announcer = LoadAnnouncer(None, directory, manual_clock)
    announcer.take(loaded(born=4))
    announcer.take(loaded())
    assert directory.get("e").version_of("m") == 1
    announcer.take(loaded(born=5))
    assert directory.get("e").version_of("m") == 3


def test_owners_learn_of_a_later_run_from_what_is_told(directory, manual_clock):
    announcer = LoadAnnouncer(None, directory, manual_clock)
    announcer.take(loaded(born=9, is_loading=True))
    engine = directory.get("e")
    assert engine.run.born == 9
    assert engine.is_loading("m", manual_clock.monotonic())
    announcer.take(loaded(born=9))
    assert engine.version_of("m") == 3


class PaceRows:
    """The store, as far as paces need it."""

    def __init__(self):
        self.rows = {}

    async def commit(self, transaction):
        for put in transaction.puts:
            self.rows[put.key] = Row(put.key, 1, put.value)
        return Committed(1)

    async def read(self, table, part):
        return Page(tuple(self.rows.values()), 1, False)


async def test_the_pace_of_an_earlier_run_is_forgotten(directory):
    paces = EnginePaces(PaceRows(), directory)
    directory.get("e").note_event_gap(0.5)
    await paces.tell()
    await paces.look()
    assert paces.usual == {"e": 0.5}
    again = Engine()
    again.start_again(9)
    directory.put(again.entry())
    await paces.look()
    assert paces.usual == {}

import pytest

from bankrudder.batches import BatchRepository, ProgressStore
from bankrudder.platform._store import PlatformStore
from bankrudder.world import SystemClock
from outside.store import StoreGate, StoreRows


@pytest.fixture
def rows():
    return StoreRows()


@pytest.fixture
async def gate(rows):
    gate = await StoreGate(rows).start()
    yield gate
    await gate.stop()


@pytest.fixture
async def store(gate):
    store = PlatformStore.from_config(gate.address)
    yield store
    await store.close()


@pytest.fixture
def repository(store):
    return BatchRepository(store, SystemClock(), row_bytes=65536)


@pytest.fixture
def progress_store(store):
    return ProgressStore(store, row_bytes=65536)

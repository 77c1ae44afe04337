"""Fixtures for tests that run the store's stand-in in their own event loop."""

import pytest

from bankrudder.platform._store import PlatformStore
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

import pytest

from bankrudder.batches import BatchRepository, ProgressStore
from bankrudder.world import SystemClock
from outside.fixtures import gate, rows, store

__all__ = ["gate", "rows", "store"]


@pytest.fixture
def repository(store):
    return BatchRepository(store, SystemClock(), row_bytes=65536)


@pytest.fixture
def progress_store(store):
    return ProgressStore(store, row_bytes=65536)

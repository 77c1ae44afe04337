"""Batches and progress are removed after their retention, and not before."""

import pytest

from bankrudder.batches import Cleaner
from bankrudder.batches._cleaning import MAX_OPEN_S, RETENTION_MARGIN_S
from bankrudder.batches._values import Progress
from batches.test_repository import THIS_OWNER, batch

RETENTION_S = 120.0


class HeldLease:
    """A lease that this host holds."""

    is_valid = True


class StoreWithManualTime:
    """Forwards calls to a store; commits return a time that the test sets."""

    def __init__(self, store):
        self._store = store
        self.now_s = 1000.0

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def commit(self, transaction):
        outcome = await self._store.commit(transaction)
        return type(outcome)(outcome.version, self.now_s)


@pytest.fixture
def timed_store(store):
    return StoreWithManualTime(store)


@pytest.fixture
def cleaner(timed_store, repository):
    return Cleaner(timed_store, repository, HeldLease(), RETENTION_S)


async def test_an_ended_batch_is_removed_after_its_retention(
    cleaner, timed_store, repository
):
    await repository.accept(batch(), THIS_OWNER)
    await repository.end("b1")
    await cleaner.clean()
    timed_store.now_s += RETENTION_S
    await cleaner.clean()
    assert await repository.head("b1") is not None
    timed_store.now_s += RETENTION_MARGIN_S
    await cleaner.clean()
    assert await repository.head("b1") is None


async def test_an_open_batch_is_kept(cleaner, timed_store, repository):
    await repository.accept(batch(), THIS_OWNER)
    for _ in range(3):
        await cleaner.clean()
        timed_store.now_s += 10 * RETENTION_S
    assert await repository.load("b1") == batch()


@pytest.mark.parametrize(
    "name", ["clock", "ended", "open", "open/b1", "progress/m", "progress"]
)
async def test_a_batch_of_any_name_is_removed_after_its_retention(
    cleaner, timed_store, repository, progress_store, name
):
    await progress_store.save("m", [("s1", Progress(("a",), (1,), 1))])
    await repository.accept(batch(), THIS_OWNER)
    await repository.accept(batch(batch_id=name), THIS_OWNER)
    await cleaner.clean()
    timed_store.now_s += RETENTION_S + RETENTION_MARGIN_S
    await repository.end(name)
    await cleaner.clean()
    assert await repository.head(name) is not None
    timed_store.now_s += RETENTION_S + RETENTION_MARGIN_S
    await cleaner.clean()
    assert await repository.head(name) is None
    assert await repository.head("b1") is not None


async def test_unused_progress_is_removed(cleaner, timed_store, progress_store):
    await progress_store.save("m", [("s1", Progress(("a",), (1,), 1))])
    await cleaner.clean()
    timed_store.now_s += RETENTION_S + RETENTION_MARGIN_S
    await progress_store.save("m", [("s2", Progress(("a",), (1,), 1))])
    await cleaner.clean()
    assert len(await progress_store.of_model("m")) == 2
    timed_store.now_s += RETENTION_S + RETENTION_MARGIN_S
    await cleaner.clean()
    assert await progress_store.of_model("m") == {}


async def test_a_batch_that_nobody_ends_is_ended_after_an_hour(
    cleaner, timed_store, repository
):
    await repository.accept(batch(), THIS_OWNER)
    await cleaner.clean()
    timed_store.now_s += MAX_OPEN_S - 1
    await cleaner.clean()
    assert await repository.owner("b1") is not None
    timed_store.now_s += 1
    await cleaner.clean()
    assert await repository.owner("b1") is None


async def test_an_odd_row_of_the_first_time_is_written_again(
    cleaner, timed_store, repository, rows
):
    """It ended each pass before the batches behind it were removed."""
    await repository.accept(batch(), THIS_OWNER)
    await repository.end("b1")
    await cleaner.clean()
    for key in [key for key in rows.rows if key[0] == "cleaning"]:
        rows.commit([], [(key, b"[" * 9000)], [])
    await cleaner.clean()
    timed_store.now_s += RETENTION_S + RETENTION_MARGIN_S
    await cleaner.clean()
    assert await repository.head("b1") is None

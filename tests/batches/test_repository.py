"""A batch is stored once, its results in order, and only its owner adds results."""

import pytest

from bankrudder.batches._repository import UnknownBatchError
from bankrudder.batches._values import (
    Batch,
    Owner,
    Progress,
    ResultState,
    Sample,
    SampleResult,
)
from bankrudder.store import NotSettledError, UnreadableRowError

THIS_OWNER = Owner("host-1", "life-1", "m")
OTHER_OWNER = Owner("host-2", "life-2", "m")


def batch(samples=3, body=b"body", batch_id="b1"):
    return Batch(
        batch_id,
        "rollout",
        "site.test",
        "m",
        1,
        1,
        tuple(
            Sample(f"s{n}", f"/rollout/{n}", (("X-Model", "m"),), body, "g")
            for n in range(samples)
        ),
    )


def result(number, text="text"):
    return SampleResult(f"s{number}", ResultState.SUCCEEDED, text, (1,), "proof")


async def test_a_batch_is_read_as_it_was_accepted(repository):
    accepted = await repository.accept(batch(), THIS_OWNER)
    assert accepted.fence > 0
    assert await repository.load("b1") == batch()
    assert (await repository.head("b1")).sample_count == 3


async def test_a_large_batch_is_kept_as_an_object(repository, rows):
    large = batch(samples=20, body=bytes(50_000))
    await repository.accept(large, THIS_OWNER)
    assert len(rows.objects) == 1
    assert await repository.load("b1") == large


async def test_accepting_a_batch_again_changes_nothing(repository):
    await repository.accept(batch(), THIS_OWNER)
    again = await repository.accept(batch(), OTHER_OWNER)
    assert (again.fence, again.is_same) == (0, True)
    different = await repository.accept(batch(samples=4), OTHER_OWNER)
    assert (different.fence, different.is_same) == (0, False)
    assert b"host-1" in (await repository.owner("b1")).value


async def test_an_acceptance_whose_reply_was_lost_is_kept_once(repository, gate):
    gate.lose_replies = 1
    accepted = await repository.accept(batch(), THIS_OWNER)
    assert accepted.is_same
    assert await repository.load("b1") == batch()


async def test_results_stay_at_their_positions(repository):
    fence = (await repository.accept(batch(), THIS_OWNER)).fence
    assert await repository.add_results("b1", fence, 0, [result(2), result(0)])
    assert await repository.add_results("b1", fence, 2, [result(1)])
    assert await repository.results("b1", 0) == (result(2), result(0), result(1))
    assert await repository.results("b1", 2) == (result(1),)


async def test_a_result_larger_than_a_row_comes_back_whole(repository):
    fence = (await repository.accept(batch(), THIS_OWNER)).fence
    large = result(0, "x" * 200_000)
    await repository.add_results("b1", fence, 0, [large, result(1)])
    assert await repository.results("b1", 0) == (large, result(1))


async def test_a_replaced_owner_lists_nothing(repository):
    fence = (await repository.accept(batch(), THIS_OWNER)).fence
    new_fence = await repository.set_owner("b1", fence, OTHER_OWNER)
    assert new_fence > fence
    assert not await repository.add_results("b1", fence, 0, [result(0)])
    assert await repository.results("b1", 0) == ()
    assert await repository.set_owner("b1", fence, THIS_OWNER) is None


async def test_a_delayed_listing_by_a_replaced_owner_is_refused(repository, gate):
    fence = (await repository.accept(batch(), THIS_OWNER)).fence
    gate.delay_commits = 1
    assert await repository.add_results("b1", fence, 0, [result(0)])
    await repository.set_owner("b1", fence, OTHER_OWNER)
    assert gate.apply_delayed() == 0


async def test_an_ended_batch_takes_no_results_and_stays_readable(repository):
    fence = (await repository.accept(batch(), THIS_OWNER)).fence
    await repository.add_results("b1", fence, 0, [result(0)])
    assert await repository.end("b1")
    assert await repository.end("b1")
    assert not await repository.add_results("b1", fence, 1, [result(1)])
    assert await repository.results("b1", 0) == (result(0),)
    # An ended batch is not accepted again.
    assert (await repository.accept(batch(), THIS_OWNER)).fence == 0


async def test_an_unknown_batch_is_neither_ended_nor_loaded(repository):
    assert not await repository.end("none")
    with pytest.raises(UnknownBatchError):
        await repository.load("none")


async def test_progress_is_found_by_model_and_sample(progress_store):
    progress = Progress(("a", "b"), (1, 2), 2)
    await progress_store.save("m", [("s1", progress)])
    assert await progress_store.of_model("m") == {"s1": progress}
    assert await progress_store.of_model("other") == {}
    await progress_store.drop("m", ["s1"])
    assert await progress_store.of_model("m") == {}


@pytest.mark.parametrize("value", [b"", b"\xc1", b"null", b'{"digest":' + b"[" * 9000])
async def test_odd_rows_of_a_batch_have_a_typed_error(repository, rows, value):
    """Callers got status 500, and the owner's work failed without an explanation."""
    await repository.accept(batch(), THIS_OWNER)
    rows.commit([], [(("owners", "b1", "a"), value)], [])
    rows.commit([], [(("batches", "b1", "samples/9998"), value)], [])
    assert await repository.load("b1") == batch()
    assert (await repository.owner("b1")).key.key == "owner"
    rows.commit([], [(("results", "b1", "00000000/0000."), value)], [])
    with pytest.raises(UnreadableRowError):
        await repository.results("b1", 0)
    rows.commit([], [(("batches", "b1", "samples/0000"), value)], [])
    with pytest.raises(UnreadableRowError):
        await repository.load("b1")
    rows.commit([], [(("batches", "b1", "head"), value)], [])
    for read in (repository.load, repository.head):
        with pytest.raises(UnreadableRowError):
            await read("b1")
    with pytest.raises(NotSettledError):
        await repository.accept(batch(), THIS_OWNER)
    await repository.delete("b1")
    assert not [key for key in rows.rows if key[0] in ("batches", "results")]


async def test_later_results_do_not_take_the_place_of_removed_ones(repository, rows):
    """While a batch was removed, readers got later results at earlier positions."""
    fence = (await repository.accept(batch(), THIS_OWNER)).fence
    await repository.add_results("b1", fence, 0, [result(0), result(1), result(2)])
    rows.remove("results", "00000000/0000.", "b1")
    assert await repository.results("b1", 0) == ()
    assert await repository.results("b1", 1) == (result(1), result(2))


@pytest.mark.parametrize("number", [0, 1, 2])
async def test_a_result_of_which_a_row_is_missing_is_not_read(repository, rows, number):
    """The rest of a result was decoded as a whole one."""
    fence = (await repository.accept(batch(), THIS_OWNER)).fence
    large = result(0, "x" * 200_000)
    await repository.add_results("b1", fence, 0, [large, result(1)])
    rows.remove("results", f"00000000/{number:04d}+", "b1")
    assert await repository.results("b1", 0) == ()
    assert await repository.results("b1", 1) == (result(1),)

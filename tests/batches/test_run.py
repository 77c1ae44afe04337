"""Results are listed in transactions that the store accepts."""

import pytest

from bankrudder.batches._repository import MAX_TRANSACTION_BYTES
from bankrudder.batches._run import BatchRun
from bankrudder.scheduling import TokenPace
from batches.test_repository import batch, result


@pytest.fixture
def batch_run(repository, progress_store, manual_clock):
    return BatchRun(
        batch(samples=0),
        lambda host, target: None,
        1,
        (),
        {},
        10.0,
        repository=repository,
        progress_store=progress_store,
        dispatcher=None,
        pace=TokenPace(),
        scorer=None,
        client=None,
        crashes=None,
        clock=manual_clock,
        tracer=None,
    )


@pytest.mark.parametrize("text", ["a" * 120_000, "語" * 40_000, "😀" * 30_000])
async def test_results_of_a_transaction_stay_within_its_limit_in_any_script(
    batch_run, text
):
    for number in range(8):
        batch_run._unlisted_results.put_nowait(result(number, text))
    counts = []
    while sum(counts) < 8:
        counts.append(len(await batch_run._next_results()))
    assert counts == [3, 3, 2]
    assert max(counts) * len(text.encode()) <= MAX_TRANSACTION_BYTES

"""Results are listed in transactions that the store accepts; progress is saved."""

import asyncio

import pytest

from bankrudder.batches._repository import MAX_TRANSACTION_BYTES
from bankrudder.batches._room import MAX_WAITING_SAMPLES
from bankrudder.batches._run import MIN_UNSAVED_EVENT_COUNT, BatchRun
from bankrudder.batches._text import request_digest
from bankrudder.batches._values import Progress
from bankrudder.fleet import StreamEvent
from bankrudder.scheduling import TokenPace
from batches.test_repository import batch, result


@pytest.fixture
def make_run(repository, progress_store, manual_clock):
    """Return a function that makes the run of a batch with saved progress."""

    def make(samples=0, progress=None):
        return BatchRun(
            batch(samples=samples),
            lambda host, target: None,
            1,
            (),
            progress or {},
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

    return make


@pytest.fixture
def batch_run(make_run):
    return make_run()


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


@pytest.mark.parametrize("is_same_request", [True, False])
def test_text_is_saved_again_after_saved_text_that_was_not_used(
    make_run, is_same_request
):
    """A sample was not saved until it was longer than the text that it did not use."""
    sample = batch(samples=1).samples[0]
    digest = request_digest(batch(samples=1), sample) if is_same_request else ""
    saved = Progress(("x",) * 40, (1,), 40, False, (40,), digest)
    run = make_run(samples=1, progress={sample.id: saved})
    (generator,) = run._generators
    first = generator.text.next_number if is_same_request else 0
    for number in range(first, first + MIN_UNSAVED_EVENT_COUNT - 1):
        generator.text.add(StreamEvent(number, "y", None, b""), 1)
    assert not run._needs_saving(generator)
    next_event = StreamEvent(first + MIN_UNSAVED_EVENT_COUNT - 1, "y", None, b"")
    generator.text.add(next_event, 1)
    assert run._needs_saving(generator)


async def test_only_so_many_samples_wait_at_the_same_time(make_run, monkeypatch):
    run = make_run(samples=MAX_WAITING_SAMPLES + 2)
    on_slot_calls = []

    async def complete(_, on_slot):
        on_slot_calls.append(on_slot)
        await asyncio.Event().wait()

    monkeypatch.setattr(run, "_complete_sample", complete)
    starter = asyncio.ensure_future(run._start_samples())

    async def started_count():
        for _ in range(3):
            await asyncio.sleep(0)
        return len(on_slot_calls)

    assert await started_count() == MAX_WAITING_SAMPLES
    on_slot_calls[0]()
    on_slot_calls[0]()  # it gets a slot again after it was moved
    assert await started_count() == MAX_WAITING_SAMPLES + 1
    for task in (starter, *run._samplers):
        task.cancel()

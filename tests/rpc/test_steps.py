"""Steps over gRPC, with failures of hosts and engines."""

import asyncio
import json

import pytest

from bankrudder.client._trainer_connection import GrpcTrainerConnection
from bankrudder.exceptions import FailedError, InvalidError
from bankrudder.failures import FailureReason
from bankrudder.v1 import bankrudder_pb2 as pb
from bankrudder.world import SampleSlot, StepShape
from outside.rpc_interface import trainer
from outside.site import MODEL, until

PROMPTS = (b"wording", b"risk")
SHAPE = StepShape(2, 3)


def slow_down_engines(site, events=20):
    """Make engines slow, so that a failure comes while the step is in progress."""
    for engine in site.engines:
        engine.event_gap_s = 0.05
        engine.events = events


async def collect_samples(client, step=1, job="wording", samples=3, **options):
    """Return the samples of a step by slot; each slot may come only once."""
    samples_by_slot = {}
    async for sample in client.step(job, step, PROMPTS, samples, **options):
        assert sample.slot not in samples_by_slot
        samples_by_slot[sample.slot] = sample
    return samples_by_slot


def check_complete(samples_by_slot, shape=SHAPE, events=4, versions=(1,)):
    """Check that each slot has a complete sample of only these versions."""
    assert set(samples_by_slot) == shape.slots
    for sample in samples_by_slot.values():
        lines = sample.text.decode().split("\n")
        name = sample.sample_id
        assert lines == [f"{name}-{number}" for number in range(events)]
        assert sum(span.events for span in sample.versions) == events
        assert {span.version for span in sample.versions} <= set(versions)


def owner_of(site):
    rows = [json.loads(row[1]) for key, row in site.rows.rows.items()
            if key[0] == "owners"]  # fmt: skip
    assert len(rows) == 1
    return next(host for host in site.hosts if host.name == rows[0]["host"])


async def test_each_sample_is_delivered_once_and_the_step_record_is_removed(site):
    async with trainer(site) as client:
        check_complete(await collect_samples(client))
        assert client.duplicates_dropped == 0
    await until(lambda: not [key for key in site.rows.rows if key[0] == "owners"])


async def test_samples_run_only_in_data_centres_allowed_for_their_data_class(site):
    async with trainer(site) as client:
        check_complete(await collect_samples(client, job="terms"))
    assert [bool(each.arrivals) for each in site.engines] == [True, False]


async def test_a_step_is_completed_after_its_owner_host_is_killed(site):
    slow_down_engines(site)
    async with trainer(site) as client:
        step = asyncio.ensure_future(collect_samples(client))
        await until(lambda: any(engine.arrivals for engine in site.engines))
        await owner_of(site).kill()
        check_complete(await step, events=20)


async def test_a_step_is_completed_after_its_entry_host_is_killed(site):
    slow_down_engines(site, events=30)
    async with trainer(site) as client:
        step = asyncio.ensure_future(collect_samples(client))
        await until(lambda: any(engine.arrivals for engine in site.engines))
        await site.hosts[0].kill()
        check_complete(await step, events=30)
        assert client.duplicates_dropped == 0


async def test_a_graceful_stop_hands_over_open_steps(site):
    slow_down_engines(site, events=40)
    async with trainer(site) as client:
        step = asyncio.ensure_future(collect_samples(client))
        await until(lambda: any(engine.arrivals for engine in site.engines))
        assert await site.hosts[0].stop() == 0
        check_complete(await step, events=40)


async def test_samples_that_the_trainer_holds_are_not_delivered_again(site):
    held = {SampleSlot(0, 0), SampleSlot(1, 2)}
    async with trainer(site) as client:
        samples_by_slot = await collect_samples(client, held=held)
    assert set(samples_by_slot) == SHAPE.slots - held


async def test_reopening_a_step_with_other_prompts_is_refused(site):
    slow_down_engines(site)
    async with trainer(site) as client:
        await anext(client.step("wording", 1, PROMPTS, 3))
        with pytest.raises(InvalidError) as caught:
            await anext(client.step("wording", 1, (b"another",), 3))
    assert caught.value.failure.reason is FailureReason.STEP_CONFLICT


@pytest.mark.parametrize(
    ("name", "job", "reason"),
    [
        ("stranger", "wording", FailureReason.NOT_ALLOWED),
        ("broker", "wording", FailureReason.NOT_ALLOWED),
        ("wording", "nothing", FailureReason.UNKNOWN_JOB),
    ],
)
async def test_only_the_trainer_of_a_job_may_use_it(site, name, job, reason):
    async with trainer(site, name) as client:
        with pytest.raises(InvalidError) as caught:
            await collect_samples(client, job=job)
        assert caught.value.failure.reason is reason
        with pytest.raises(InvalidError):
            await client.publish(job, 2)


async def test_a_step_without_samples_is_refused(site):
    async with trainer(site) as client:
        with pytest.raises(InvalidError):
            await collect_samples(client, samples=0)


async def test_a_published_version_is_loaded_and_old_ones_are_not_used(site):
    async with trainer(site) as client:
        await client.publish("wording", 3)
        check_complete(await collect_samples(client, max_staleness=1), versions=(2, 3))
        await client.publish("wording", 2)
        check_complete(await collect_samples(client, step=2), versions=(2, 3))
    assert {order["model"] for each in site.engines for order in each.orders} == {MODEL}


async def test_samples_made_stale_by_a_publication_are_generated_again(site):
    slow_down_engines(site, events=15)
    versions = {}
    async with trainer(site) as client:
        async for sample in client.step("wording", 1, PROMPTS, 3):
            versions[sample.slot] = sample.oldest_version
            if len(versions) == 1:
                await client.publish("wording", 3)
                await until(lambda: all(each.version == 3 for each in site.engines))
                first = sample.slot
        assert set(versions) == SHAPE.slots
        assert all(version >= 2 for slot, version in versions.items() if slot != first)


async def test_a_step_whose_samples_are_given_up_fails(site):
    async with trainer(site) as client:
        samples = []
        for engine in site.engines:
            engine.fail_next = ["500"] * 30
        with pytest.raises(FailedError) as caught:
            async for sample in client.step("wording", 1, PROMPTS, 3):
                samples.append(sample)
    assert caught.value.failure.reason is FailureReason.SAMPLES_GIVEN_UP


@pytest.mark.parametrize(
    ("groups", "samples"), [(0, 0), (-1, 3), (8193, 1), (2**31 - 1, 2**31 - 1)]
)
async def test_an_acknowledgement_of_an_odd_shape_is_invalid(site, groups, samples):
    """A step without slots was ended; one of 2**62 slots was listed in memory."""
    slow_down_engines(site)
    request = pb.AckRequest(
        job="wording",
        step=1,
        groups=groups,
        samples_per_group=samples,
        opened_versions=[0],
    )
    address = site.hosts[0].rpc_address
    connection = GrpcTrainerConnection.from_config(address, "wording-token")
    async with trainer(site) as client:
        step = asyncio.ensure_future(collect_samples(client))
        await until(lambda: any(engine.arrivals for engine in site.engines))
        with pytest.raises(InvalidError):
            await connection.ack(request)
        check_complete(await step, events=20)
    await connection.close()

"""Batches survive failures of hosts, engines and the store."""

import asyncio
import json

import pytest

from outside.endpoints import EngineStandIn
from outside.site import (
    MODEL,
    PAUSE_SIGNAL,
    RESUME_SIGNAL,
    check_results,
    configuration,
    until,
)
from outside.store import GateMode
from outside.trainer_calls import sample_body

SLOW_GAP_S = 0.05
"""Time between two events, so that a fault can occur in the middle of a batch."""

RESULTS_DUE_S = 7.5
"""Time within which a trainer expects the results of a step."""


def owner_and_others(site):
    """Return the host that owns the batch, and all others."""
    [row] = [row for key, row in site.rows.rows.items() if key[0] == "owners"]
    name = json.loads(row[1])["host"]
    owner = next(host for host in site.hosts if host.name == name)
    return owner, [host for host in site.hosts if host is not owner]


def slow_engines(site, events=20):
    """Make the engines so slow that a fault occurs in the middle of a batch."""
    for engine in site.engines:
        engine.event_gap_s = SLOW_GAP_S
        engine.events = events


async def test_a_batch_is_generated_scored_and_read_at_any_host(site):
    assert await site.submit(site.hosts[0], "b1") == 202
    for host in site.hosts:
        results = await site.read_all("b1", 8, [host])
        check_results(results, "b1", 8)
        assert all(each["versions"] == [1] for each in results)
    first = await site.read_all("b1", 8, site.hosts[:1])
    second = await site.read_all("b1", 8, site.hosts[1:2])
    assert first == second


async def test_a_resubmitted_batch_is_accepted_once(site):
    statuses = await asyncio.gather(*(site.submit(host, "b1") for host in site.hosts))
    assert statuses == [202, 202, 202]
    check_results(await site.read_all("b1", 8), "b1", 8)
    assert await site.submit(site.hosts[2], "b1") == 202
    _, page = await site.read(site.hosts[1], "b1")
    assert page["total_count"] == 8
    assert page["next"] == 8


async def test_an_unknown_batch_is_not_found(site):
    assert (await site.read(site.hosts[0], "none"))[0] == 404
    assert await site.end(site.hosts[0], "none") == 404


async def test_sample_bodies_can_be_read_until_the_batch_ends(site):
    slow_engines(site)
    await site.submit(site.hosts[0], "b1")
    status, body = await site.ask(site.hosts[1], sample_body("b1", "b1-s3"))
    assert (status, body) == (200, b"\0\1\2")


async def test_an_ended_batch_starts_no_more_samples(site):
    slow_engines(site, events=200)
    await site.submit(site.hosts[0], "b1", samples=20)
    await until(lambda: sum(len(each.arrivals) for each in site.engines) >= 8)
    for _ in range(2):
        assert await site.end(site.hosts[1], "b1") == 200
    await asyncio.sleep(0.5)
    arrivals = sum(len(each.arrivals) for each in site.engines)
    await asyncio.sleep(0.5)
    assert sum(len(each.arrivals) for each in site.engines) == arrivals


async def test_runs_resume_after_the_last_event_of_a_broken_stream(site):
    for engine in site.engines:
        engine.reset_after = [2, 1, 2]
    await site.submit(site.hosts[0], "b1")
    check_results(await site.read_all("b1", 8), "b1", 8)


@pytest.mark.parametrize("fault", ["500", "full", "reset", "foreign"])
async def test_a_sample_is_retried_after_a_failure(site, fault):
    site.engines[0].fail_next = [fault, fault]
    site.scorers[0].fail_next = [fault, fault]
    await site.submit(site.hosts[0], "b1")
    check_results(await site.read_all("b1", 8), "b1", 8)


async def test_samples_move_from_engines_that_do_not_begin_to_respond(site):
    for engine in site.engines:
        engine.fail_next = ["silent"] * 2
    await site.submit(site.hosts[0], "b1")
    async with asyncio.timeout(RESULTS_DUE_S):
        check_results(await site.read_all("b1", 8), "b1", 8)


async def test_a_sample_that_always_fails_is_aborted(site):
    for engine in site.engines:
        engine.fail_next = ["500"] * 50
    await site.submit(site.hosts[0], "b1", samples=1)
    [result] = await site.read_all("b1", 1)
    assert result["state"] == "aborted"
    runs = sum(each.run_counts["b1-s0"] for each in site.engines)
    assert runs == 3


async def test_another_host_takes_over_when_the_owner_is_killed(site):
    slow_engines(site)
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = owner_and_others(site)
    await owner.kill()
    results = await site.read_all("b1", 8, others)
    check_results(results, "b1", 8, events=20)


async def test_a_frozen_owner_lists_no_results_after_it_resumes(site):
    slow_engines(site)
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = owner_and_others(site)
    owner.signal(PAUSE_SIGNAL)
    results = await site.read_all("b1", 8, others)
    owner.signal(RESUME_SIGNAL)
    await asyncio.sleep(1.0)
    assert await site.read_all("b1", 8) == results
    check_results(results, "b1", 8, events=20)


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.SILENT, GateMode.RESET])
async def test_a_batch_is_taken_over_from_an_owner_without_the_store(site, mode):
    slow_engines(site)
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = owner_and_others(site)
    owner.gate.mode = mode
    results = await site.read_all("b1", 8, others)
    owner.gate.mode = GateMode.OPEN
    check_results(results, "b1", 8, events=20)
    assert await site.read_all("b1", 8, limit_s=5) == results


async def test_an_accepted_batch_survives_a_power_loss_of_all_hosts(site):
    slow_engines(site)
    await site.submit(site.hosts[0], "b1")
    for host in site.hosts:
        await host.kill()
    for host in site.hosts:
        await host.start()
    check_results(await site.read_all("b1", 8), "b1", 8, events=20)


async def test_a_planned_stop_hands_the_batch_over(site):
    slow_engines(site, events=150)
    await site.submit(site.hosts[0], "b1", samples=2)
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = owner_and_others(site)
    assert await owner.stop() == 0
    results = await site.read_all("b1", 2, others)
    check_results(results, "b1", 2, events=150)
    # The events before the stop were not generated again.
    runs = sum(sum(each.run_counts.values()) for each in site.engines)
    assert runs == 4


async def test_lost_and_late_replies_of_the_store_duplicate_no_results(site):
    gate = site.hosts[0].gate
    gate.lose_replies = 2
    assert await site.submit(site.hosts[0], "b1") == 202
    gate.delay_commits = 3
    results = await site.read_all("b1", 8)
    gate.apply_delayed()
    await asyncio.sleep(0.3)
    assert await site.read_all("b1", 8) == results
    check_results(results, "b1", 8)


async def test_a_store_outage_delays_results_and_loses_none(site):
    slow_engines(site)
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    for host in site.hosts:
        host.gate.mode = GateMode.BUSY
    status, _ = await site.read(site.hosts[1], "b1")
    assert status == 503
    await asyncio.sleep(1.5)
    for host in site.hosts:
        host.gate.mode = GateMode.OPEN
    check_results(await site.read_all("b1", 8), "b1", 8, events=20)


async def test_a_batch_is_refused_while_the_store_is_unavailable(site):
    for host in site.hosts:
        host.gate.mode = GateMode.BUSY
    assert await site.submit(site.hosts[0], "b1") == 503
    for host in site.hosts:
        host.gate.mode = GateMode.OPEN
    await asyncio.sleep(0.5)
    assert (await site.read(site.hosts[0], "b1"))[0] == 404
    assert not any(engine.arrivals for engine in site.engines)


async def test_a_later_batch_resumes_the_samples_of_an_ended_one(site):
    slow_engines(site, events=40)
    await site.submit(site.hosts[0], "b1", samples=2)
    await asyncio.sleep(1.0)
    assert await site.end(site.hosts[1], "b1") == 200
    await until(lambda: any(key[0] == "progress" for key in site.rows.rows))
    assert await site.submit(site.hosts[2], "b2", samples=2, names="b1") == 202
    results = await site.read_all("b2", 2)
    check_results(results, "b1", 2, events=40)
    resumed = [each for engine in site.engines for each in engine.resumed]
    assert len(resumed) == 2
    assert all(number > 5 for number in resumed)


async def test_a_new_owner_resumes_the_progress_that_a_killed_one_saved(site):
    slow_engines(site, events=80)
    await site.submit(site.hosts[0], "b1", samples=2)
    await until(
        lambda: any(key[0] == "progress" for key in site.rows.rows), limit_s=5.0
    )
    owner, others = owner_and_others(site)
    await owner.kill()
    results = await site.read_all("b1", 2, others)
    check_results(results, "b1", 2, events=80)
    resumed = [each for engine in site.engines for each in engine.resumed]
    assert len(resumed) == 2
    assert all(number >= 10 for number in resumed)


async def test_a_completed_batch_leaves_no_saved_progress(site):
    slow_engines(site, events=40)
    await site.submit(site.hosts[0], "b1", samples=2)
    check_results(await site.read_all("b1", 2), "b1", 2, events=40)
    assert await site.end(site.hosts[1], "b1") == 200
    await until(lambda: not any(key[0] == "progress" for key in site.rows.rows))


async def test_samples_follow_their_route_to_another_service(site):
    # The engines are full until the new configuration has changed the route.
    for engine in site.engines:
        engine.fail_next = ["full"] * 40
    moved = await EngineStandIn("engine-moved", MODEL).start()
    site.engines.append(moved)
    site.rows.put("servers", moved.id, moved.document("others"))
    await site.submit(site.hosts[0], "b1", samples=4)
    document = configuration(2)
    document["routes"][0]["service"] = "others"
    site.rows.put("op", "config", document)
    check_results(await site.read_all("b1", 4), "b1", 4)
    assert sum(moved.run_counts.values()) == 4


async def test_samples_without_a_route_are_aborted(site):
    for engine in site.engines:
        engine.fail_next = ["full"] * 400
    await site.submit(site.hosts[0], "b1", samples=2)
    document = configuration(2)
    del document["routes"][0]
    site.rows.put("op", "config", document)
    results = await site.read_all("b1", 2)
    assert [each["state"] for each in results] == ["aborted", "aborted"]


async def test_a_new_owner_aborts_samples_of_a_route_that_is_gone(site):
    for engine in site.engines:
        engine.fail_next = ["full"] * 400
    await site.submit(site.hosts[0], "b1", samples=2)
    for host in site.hosts:
        await host.kill()
    document = configuration(2)
    del document["routes"][0]
    site.rows.put("op", "config", document)
    for host in site.hosts:
        await host.start()
    results = await site.read_all("b1", 2)
    assert [each["state"] for each in results] == ["aborted", "aborted"]


async def test_a_different_batch_with_the_same_id_is_refused(site):
    assert await site.submit(site.hosts[0], "b1") == 202
    assert await site.submit(site.hosts[1], "b1", samples=3) == 400
    check_results(await site.read_all("b1", 8), "b1", 8)

"""Batches survive what may happen to hosts, engines and the store."""

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
"""Time between two events that leaves room for a fault in the middle of a batch."""

RESULTS_DUE_S = 7.5
"""Time in which a trainer asks for the results of a step."""


def split(site):
    """Return the host that owns the batch, and all others."""
    [row] = [row for key, row in site.rows.rows.items() if key[0] == "owners"]
    name = json.loads(row[1])["host"]
    owner = next(host for host in site.hosts if host.name == name)
    return owner, [host for host in site.hosts if host is not owner]


def slow(site, events=20):
    """Let the engines be so slow that a fault comes in the middle of a batch."""
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


async def test_a_batch_that_comes_again_is_accepted_once(site):
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


async def test_bodies_are_given_until_the_end(site):
    slow(site)
    await site.submit(site.hosts[0], "b1")
    status, body = await site.ask(site.hosts[1], sample_body("b1", "b1-s3"))
    assert (status, body) == (200, b"\0\1\2")


async def test_an_ended_batch_runs_no_further(site):
    slow(site, events=200)
    await site.submit(site.hosts[0], "b1", samples=20)
    await until(lambda: sum(len(each.arrivals) for each in site.engines) >= 8)
    for _ in range(2):
        assert await site.end(site.hosts[1], "b1") == 200
    await asyncio.sleep(0.5)
    arrivals = sum(len(each.arrivals) for each in site.engines)
    await asyncio.sleep(0.5)
    assert sum(len(each.arrivals) for each in site.engines) == arrivals


async def test_runs_resume_where_an_engine_broke_off(site):
    for engine in site.engines:
        engine.reset_after = [2, 1, 2]
    await site.submit(site.hosts[0], "b1")
    check_results(await site.read_all("b1", 8), "b1", 8)


@pytest.mark.parametrize("fault", ["500", "full", "reset", "foreign"])
async def test_a_sample_is_tried_again_after_a_failure(site, fault):
    site.engines[0].fail_next = [fault, fault]
    site.scorers[0].fail_next = [fault, fault]
    await site.submit(site.hosts[0], "b1")
    check_results(await site.read_all("b1", 8), "b1", 8)


async def test_samples_leave_engines_that_do_not_begin_to_answer(site):
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


async def test_another_host_goes_on_when_the_owner_is_killed(site):
    slow(site)
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = split(site)
    await owner.kill()
    results = await site.read_all("b1", 8, others)
    check_results(results, "b1", 8, events=20)


async def test_a_frozen_owner_lists_nothing_after_it_wakes(site):
    slow(site)
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = split(site)
    owner.signal(PAUSE_SIGNAL)
    results = await site.read_all("b1", 8, others)
    owner.signal(RESUME_SIGNAL)
    await asyncio.sleep(1.0)
    assert await site.read_all("b1", 8) == results
    check_results(results, "b1", 8, events=20)


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.SILENT, GateMode.RESET])
async def test_a_host_cut_from_the_store_is_replaced(site, mode):
    slow(site)
    await site.submit(site.hosts[0], "b1")
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = split(site)
    owner.gate.mode = mode
    results = await site.read_all("b1", 8, others)
    owner.gate.mode = GateMode.OPEN
    check_results(results, "b1", 8, events=20)
    assert await site.read_all("b1", 8, limit_s=5) == results


async def test_nothing_accepted_is_lost_when_all_hosts_lose_power(site):
    slow(site)
    await site.submit(site.hosts[0], "b1")
    for host in site.hosts:
        await host.kill()
    for host in site.hosts:
        await host.start()
    check_results(await site.read_all("b1", 8), "b1", 8, events=20)


async def test_a_planned_stop_hands_the_batch_over(site):
    slow(site, events=150)
    await site.submit(site.hosts[0], "b1", samples=2)
    await until(lambda: any(engine.arrivals for engine in site.engines))
    owner, others = split(site)
    assert await owner.stop() == 0
    results = await site.read_all("b1", 2, others)
    check_results(results, "b1", 2, events=150)
    # The events before the stop were not generated again.
    runs = sum(sum(each.run_counts.values()) for each in site.engines)
    assert runs == 4


async def test_lost_and_late_replies_of_the_store_double_nothing(site):
    gate = site.hosts[0].gate
    gate.lose_replies = 2
    assert await site.submit(site.hosts[0], "b1") == 202
    gate.delay_commits = 3
    results = await site.read_all("b1", 8)
    gate.apply_delayed()
    await asyncio.sleep(0.3)
    assert await site.read_all("b1", 8) == results
    check_results(results, "b1", 8)


async def test_a_store_outage_delays_and_loses_nothing(site):
    slow(site)
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


async def test_a_batch_is_refused_while_the_store_is_away(site):
    for host in site.hosts:
        host.gate.mode = GateMode.BUSY
    assert await site.submit(site.hosts[0], "b1") == 503
    for host in site.hosts:
        host.gate.mode = GateMode.OPEN
    await asyncio.sleep(0.5)
    assert (await site.read(site.hosts[0], "b1"))[0] == 404
    assert not any(engine.arrivals for engine in site.engines)


async def test_a_later_batch_goes_on_with_what_an_earlier_one_left(site):
    slow(site, events=40)
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


async def test_a_new_owner_goes_on_with_what_a_killed_one_had_saved(site):
    slow(site, events=80)
    await site.submit(site.hosts[0], "b1", samples=2)
    await until(
        lambda: any(key[0] == "progress" for key in site.rows.rows), limit_s=5.0
    )
    owner, others = split(site)
    await owner.kill()
    results = await site.read_all("b1", 2, others)
    check_results(results, "b1", 2, events=80)
    resumed = [each for engine in site.engines for each in engine.resumed]
    assert len(resumed) == 2
    assert all(number >= 10 for number in resumed)


async def test_nothing_is_left_behind_by_a_batch_that_ended_whole(site):
    slow(site, events=40)
    await site.submit(site.hosts[0], "b1", samples=2)
    check_results(await site.read_all("b1", 2), "b1", 2, events=40)
    assert await site.end(site.hosts[1], "b1") == 200
    await until(lambda: not any(key[0] == "progress" for key in site.rows.rows))


async def test_samples_follow_their_route_to_another_service(site):
    # The engines are full until the configuration has moved the route.
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


async def test_another_batch_of_the_same_name_is_not_taken_for_accepted(site):
    assert await site.submit(site.hosts[0], "b1") == 202
    assert await site.submit(site.hosts[1], "b1", samples=3) == 400
    check_results(await site.read_all("b1", 8), "b1", 8)

"""Daemons with endpoints that restart under the same ID."""

import asyncio
import time

from outside.site import ENGINES, SCORERS, check_results, until

CRASH_LIMIT_S = 1.2
"""Limit that is shorter than any timeout that could end the request otherwise."""


def put_entry(site, endpoint, service):
    site.rows.put("servers", endpoint.id, endpoint.document(service))


async def load_version_2(site):
    """Let all engines load version 2 in runs whose birth is known."""
    for engine in site.engines:
        engine.born = 5
        put_entry(site, engine, ENGINES)
    site.name_version(2)
    await until(lambda: all(engine.version == 2 for engine in site.engines))


async def test_samples_continue_on_restarted_engines(site):
    await load_version_2(site)
    # The restart is shorter than a heartbeat, so the entry is never removed.
    for engine in site.engines:
        engine.begin_new_run(9)
        put_entry(site, engine, ENGINES)
    await site.submit(site.hosts[0], "b1", min_version=2)
    check_results(await site.read_all("b1", 8), "b1", 8)
    assert [engine.orders_taken for engine in site.engines] == [1, 1]


async def test_a_restart_that_only_the_engine_itself_reports(site):
    await load_version_2(site)
    for engine in site.engines:
        engine.begin_new_run(9)
    site.name_version(3)
    await until(lambda: all(engine.version == 3 for engine in site.engines))


async def test_a_call_that_may_run_once_has_an_unknown_outcome_after_a_restart(site):
    for scorer in site.scorers:
        scorer.born = 5
        scorer.fail_next = ["silent"]
        put_entry(site, scorer, SCORERS)
    await asyncio.sleep(0.5)
    started_at = time.monotonic()
    pending_call = asyncio.ensure_future(
        site.call(
            site.hosts[0],
            "POST",
            "/once/1",
            headers={"X-Request-Id": "once-1", "X-Request-Deadline": "5000"},
        )
    )
    await until(lambda: any(scorer.run_counts["once-1"] for scorer in site.scorers))
    for scorer in site.scorers:
        scorer.begin_new_run(9)
        put_entry(site, scorer, SCORERS)
    status, _, _ = await pending_call
    assert status == 502
    assert time.monotonic() - started_at < CRASH_LIMIT_S
    assert sum(scorer.run_counts["once-1"] for scorer in site.scorers) == 1


async def test_a_repeatable_call_is_sent_to_another_endpoint_after_a_restart(site):
    silent, _ = site.scorers
    for scorer in site.scorers:
        scorer.born = 5
        scorer.fail_next = ["silent"]
        put_entry(site, scorer, SCORERS)
    await asyncio.sleep(0.5)
    pending_call = asyncio.ensure_future(
        site.call(
            site.hosts[0],
            "POST",
            "/score/1",
            body=b"x",
            headers={"X-Request-Id": "again-1", "X-Request-Deadline": "5000"},
        )
    )
    # Both get the request, the second one as a hedge, and neither responds.
    await until(lambda: all(scorer.run_counts["again-1"] for scorer in site.scorers))
    silent.begin_new_run(9)
    put_entry(site, silent, SCORERS)
    status, _, body = await pending_call
    assert (status, body) == (200, b"answer to x")


async def test_an_unreadable_entry_lists_no_endpoint_and_affects_no_others(site):
    unreadable, valid = site.scorers
    document = unreadable.document(SCORERS)
    del document["zone"]
    site.rows.put("servers", unreadable.id, document)
    site.rows.put("servers", "stranger", {**document, "state": "warming"})
    site.rows.commit([], [(("servers", "", "noise"), b"\xff\x00")], [])
    await asyncio.sleep(0.5)
    for number in range(12):
        status, _, _ = await site.call(
            site.hosts[0],
            "POST",
            f"/score/{number}",
            headers={"X-Request-Id": f"c{number}", "X-Request-Deadline": "2000"},
        )
        assert status == 200
    assert not unreadable.arrivals
    assert len(valid.arrivals) >= 12
    lines = [
        line["endpoint"]
        for line in site.hosts[0].log_lines()
        if line["event"] == "fleet: entry not understood"
    ]
    assert sorted(lines) == sorted([unreadable.id, "stranger", "noise"])
    put_entry(site, unreadable, SCORERS)
    await asyncio.sleep(0.5)
    valid.delay_s = unreadable.delay_s = 0.1
    calls = [
        site.call(
            site.hosts[0],
            "POST",
            f"/score/{number}",
            headers={"X-Request-Id": f"c{number}", "X-Request-Deadline": "2000"},
        )
        for number in range(12, 24)
    ]
    await asyncio.gather(*calls)
    assert unreadable.arrivals


async def test_an_engine_of_an_unknown_service_gets_no_orders(site):
    stray = site.engines[0]
    put_entry(site, stray, "nobody-named-this")
    await asyncio.sleep(0.5)
    site.name_version(2)
    await until(lambda: site.engines[1].version == 2)
    await asyncio.sleep(0.3)
    assert stray.orders == []

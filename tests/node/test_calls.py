"""Requests of callers: retries, refusals, cancellations, routes, planned stops."""

import asyncio

import pytest

from outside.site import configuration, until


async def call(
    site,
    path="/score/1",
    request_id="q1",
    host=0,
    time_left_ms="1500",
    method="POST",
):
    headers = {"X-Request-Id": request_id, "X-Request-Deadline": time_left_ms}
    return await site.call(
        site.hosts[host], method, path, body=b"body", headers=headers
    )


def runs(site, request_id="q1"):
    return sum(each.run_counts[request_id] for each in site.scorers)


async def test_a_response_is_forwarded_unchanged(site):
    status, headers, body = await call(site, "/score/1?a=%20b")
    assert (status, body) == (200, b"answer to body")
    assert headers["X-Response-Stamp"].endswith(".q1")
    assert headers["X-Request-Id"] == "q1"
    [arrival] = [each for scorer in site.scorers for each in scorer.arrivals]
    assert arrival == ("q1", "POST", "/score/1?a=%20b", b"body")


@pytest.mark.parametrize("fault", ["500", "full", "reset", "foreign", "truncated"])
async def test_an_idempotent_request_is_repeated_elsewhere(site, fault):
    for scorer in site.scorers:
        scorer.fail_next = [fault]
    status, _, body = await call(site)
    assert (status, body) == (200, b"answer to body")


async def test_an_idempotent_request_does_not_wait_for_a_silent_endpoint(site):
    site.scorers[0].fail_next = ["silent"]
    site.scorers[1].fail_next = ["silent"]
    started_at = asyncio.get_running_loop().time()
    status, _, _ = await call(site)
    assert status == 200
    assert asyncio.get_running_loop().time() - started_at < 1.0


@pytest.mark.parametrize("fault", ["reset", "foreign", "truncated"])
async def test_a_request_that_may_have_run_is_not_run_again(site, fault):
    for scorer in site.scorers:
        scorer.fail_next = [fault, fault, fault]
    status, _, _ = await call(site, "/once/1")
    assert status == 502
    assert runs(site) == 1


@pytest.mark.parametrize("method", ["PUT", "GET", "DELETE"])
async def test_so_is_one_with_another_method(site, method):
    """Guards against the HTTP client, which repeats requests with these methods."""
    for scorer in site.scorers:
        scorer.fail_next = ["reset"] * 3
    status, _, _ = await call(site, "/once/1", method=method)
    assert status == 502
    assert runs(site) == 1


async def test_a_request_goes_to_another_endpoint_if_it_was_not_run(site):
    site.scorers[0].fail_next = ["full"]
    site.scorers[1].fail_next = ["full"]
    status, _, _ = await call(site, "/once/1")
    assert status == 200
    assert runs(site) == 1


async def test_a_refused_request_has_a_retry_delay_and_does_not_run(site):
    for scorer in site.scorers:
        scorer.fail_next = ["full"] * 20
    status, headers, _ = await call(site, "/once/1")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    await asyncio.sleep(0.3)
    assert runs(site) == 0


async def test_no_endpoint_means_refused_at_once(site):
    for scorer in site.scorers:
        site.rows.remove("servers", scorer.id)
    await asyncio.sleep(1.0)
    started_at = asyncio.get_running_loop().time()
    status, _, _ = await call(site)
    assert status == 503
    assert asyncio.get_running_loop().time() - started_at < 0.5


async def test_a_draining_endpoint_gets_nothing_new(site):
    leaving = site.scorers[0]
    document = {**leaving.document("scorers"), "state": "draining"}
    site.rows.put("servers", leaving.id, document)
    await asyncio.sleep(1.0)
    for number in range(10):
        assert (await call(site, request_id=f"q{number}"))[0] == 200
    assert not leaving.arrivals


async def test_an_endpoint_at_the_address_of_another_one_runs_nothing(site):
    site.scorers[0].id = "someone-else"
    for number in range(10):
        assert (await call(site, request_id=f"q{number}"))[0] == 200
    assert not site.scorers[0].arrivals


async def test_endpoints_stop_work_when_the_caller_disconnects(site):
    for scorer in site.scorers:
        scorer.delay_s = 5.0
    with pytest.raises(asyncio.TimeoutError):
        async with asyncio.timeout(0.05):
            await call(site, "/once/1", time_left_ms="9000")
    await until(lambda: any(each.cancelled_runs["q1"] for each in site.scorers), 0.6)


async def test_a_request_ends_at_the_timeout_of_its_route(site):
    for scorer in site.scorers:
        scorer.delay_s = 5.0
    started_at = asyncio.get_running_loop().time()
    status, _, _ = await call(site, "/once/1", time_left_ms="9000")
    assert status == 504
    assert 1.3 < asyncio.get_running_loop().time() - started_at < 2.0


async def test_an_unknown_route_is_not_found(site):
    assert (await call(site, "/none/1"))[0] == 404


async def test_a_configuration_is_in_force_within_its_time(site):
    document = configuration(5)
    document["routes"].append({**document["routes"][1], "path_prefix": "/new/"})
    site.rows.put("op", "config", document)
    await asyncio.sleep(1.0)
    for host in range(3):
        assert (await call(site, "/new/1", host=host))[0] == 200
    site.rows.put("op", "config", configuration(4))
    await asyncio.sleep(1.0)
    assert (await call(site, "/new/1"))[0] == 200


async def test_a_planned_stop_answers_what_is_in_progress(site):
    for scorer in site.scorers:
        scorer.delay_s = 1.0
    pending_call = asyncio.ensure_future(call(site, "/once/1", time_left_ms="5000"))
    await until(lambda: runs(site) == 1)
    stopped = asyncio.ensure_future(site.hosts[0].stop())
    assert (await pending_call)[0] == 200
    # The load balancer still sends new connections until two checks have failed.
    for scorer in site.scorers:
        scorer.delay_s = 0.0
    assert not await site.hosts[0].is_ready()
    assert (await call(site, request_id="q2"))[0] == 200
    assert await stopped == 0


async def test_a_request_head_above_the_limit_is_refused_and_the_host_stays_up(site):
    headers = {"X-Request-Id": "q1", "X-Large": "x" * 70000}
    status, _, _ = await site.call(site.hosts[0], "POST", "/score/1", headers=headers)
    assert status == 400
    assert (await call(site, request_id="q2"))[0] == 200

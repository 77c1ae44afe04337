"""A request that crashes endpoints is refused after a few crashes.

The tests guard against a failure in which one request crashed all endpoints of a
service, each time that they had restarted. Callers repeat a request that gets no
response, with a new ID and at another host. Hosts recorded failed attempts by endpoint
and not by request, so they forwarded each repetition as a new request. Log lines show
the same content under the IDs of all attempts, and without the request the endpoints do
not crash.

A request whose endpoints keep running is not refused: a broken connection, a planned
stop and a slow endpoint are not crashes.
"""

import asyncio
import base64
import itertools
import json
import time
from contextlib import suppress
from datetime import UTC, datetime

import pytest

from bankrudder.client import new_key
from bankrudder.exceptions import BankrudderError
from bankrudder.failures import FailureKind, FailureReason
from outside.crashing import CRASHING, CrashingService, add_third_scorer
from outside.rpc_interface import RPC, apply, client
from outside.site import ENGINES, SCORERS, Site, batch, until
from outside.store import GateMode
from outside.trainer_calls import submission

MAX_CRASH_COUNT = 3
"""Number of endpoints that one request may crash."""

VISIT_COUNT = 6
"""Number of times that the hosts receive the request."""

MAX_OWED_PAUSE_S = 4.0
"""Time within which owed work is sent again, whatever crashed under it: less than the
five seconds for which a sample may be on no engine while there is room."""

IMMEDIATE_REPLY_S = 0.4
"""Time in which a host answers a request without forwarding it."""


@pytest.fixture
async def make_service():
    made = []

    def make(*arguments, **options):
        made.append(CrashingService(*arguments, **options))
        return made[-1]

    yield make
    for each in made:
        await each.stop()


@pytest.fixture
async def scorer_service(site, make_service):
    return make_service(site, SCORERS, await add_third_scorer(site))


request_numbers = itertools.count()


async def ask(
    site,
    host=0,
    path="/score/1",
    body=CRASHING,
    time_left_ms="1500",
    method="POST",
    **headers,
):
    name = f"q{next(request_numbers)}"
    return await site.call(
        site.hosts[host % len(site.hosts)],
        method,
        path,
        body=body,
        headers={"X-Request-Id": name, "X-Request-Deadline": time_left_ms, **headers},
    )


async def visit_hosts(site, service, path="/score/1", visits=VISIT_COUNT):
    """Send the request to the hosts in turn, each time with all endpoints running."""
    statuses = []
    for number in range(visits):
        await until(lambda: service.all_are_running)
        await asyncio.sleep(0.5)
        status, _, _ = await ask(site, number, path)
        statuses.append(status)
    return statuses


def print_logs(site, service):
    """Print what all hosts did, and when endpoints got requests, by time of day."""
    lines = [
        (line["timestamp"], f"{host.name} {line['event']}", line)
        for host in site.hosts
        for line in host.log_lines()
        if line["event"].split(":")[0] in ("crashes", "relay", "fleet", "store")
    ]
    offset = time.time() - time.monotonic()
    for endpoint in service.endpoints:
        for arrived_at, request_id in endpoint.arrival_times:
            moment = datetime.fromtimestamp(arrived_at + offset, UTC).isoformat()
            lines.append((moment, f"{endpoint.id} got request", {"id": request_id}))
    for moment, text, fields in sorted(lines, key=lambda each: each[0]):
        hidden = ("timestamp", "event", "level", "host", "run")
        shown = {key: value for key, value in fields.items() if key not in hidden}
        print(moment, text, shown)


async def test_a_request_that_crashes_endpoints_is_refused_at_every_host(
    site, scorer_service
):
    statuses = await visit_hosts(site, scorer_service)
    assert scorer_service.runs <= MAX_CRASH_COUNT
    assert statuses[-3:] == [503] * 3
    started_at = time.monotonic()
    status, headers, body = await ask(site)
    assert time.monotonic() - started_at < IMMEDIATE_REPLY_S
    assert (status, body) == (503, b"not run: crashes_endpoints\n")
    assert float(headers["Retry-After"]) > 0
    lines = [
        line
        for line in site.hosts[0].log_lines()
        if line.get("reason") == "crashes_endpoints"
    ]
    assert lines[-1]["event"] == "relay: request given up"
    assert lines[-1]["runs"] == 0


@pytest.mark.parametrize("path", ["/score/1", "/once/1", "/stream/1"])
async def test_so_is_one_whose_caller_leaves_before_the_end(site, make_service, path):
    service = (
        make_service(site, ENGINES, site.engines)
        if path == "/stream/1"
        else make_service(site, SCORERS, await add_third_scorer(site))
    )
    for endpoint in service.endpoints:
        # Some endpoints continue a request whose connection was closed.
        endpoint.crash_after_s = 0.1
    for number in range(VISIT_COUNT):
        await until(lambda: service.all_are_running)
        await asyncio.sleep(0.5)
        with suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await ask(site, number, path)
        await asyncio.sleep(0.6)
    assert service.runs <= MAX_CRASH_COUNT


@pytest.mark.parametrize("path", ["/once/1", "/stream/1", "/resumable/1"])
async def test_so_is_one_of_another_kind(site, make_service, path):
    service = (
        make_service(site, SCORERS, await add_third_scorer(site))
        if path == "/once/1"
        else make_service(site, ENGINES, site.engines)
    )
    await visit_hosts(site, service, path)
    assert service.runs <= MAX_CRASH_COUNT


@pytest.mark.parametrize("path", ["/score/1", "/once/1"])
async def test_so_is_one_with_another_method(site, scorer_service, path):
    """Guards against a repetition by the HTTP client, which hid the crash."""
    for number in range(VISIT_COUNT):
        await until(lambda: scorer_service.all_are_running)
        await asyncio.sleep(0.5)
        await ask(site, number, path, method="PUT")
    assert scorer_service.runs <= MAX_CRASH_COUNT


@pytest.mark.parametrize("events_before", [None, 1])
async def test_a_sample_that_crashes_engines_is_paced(
    site, make_service, events_before
):
    """Guards against owed work that keeps engines down and others from being run."""
    engines = make_service(site, ENGINES, site.engines)
    for engine in site.engines:
        engine.crash_after_events = events_before
        engine.events = 12
    document = batch("b1")
    document["items"][0]["body"] = base64.b64encode(CRASHING).decode()
    await site.ask(site.hosts[0], submission("b1", json.dumps(document).encode()))
    assert len(await site.read_all("b1", 7)) == 7
    await check_other_samples_are_served(site)
    check_paced(engines)


async def test_so_is_a_reward_call_that_crashes_endpoints(site, make_service):
    """Guards against the same failure in the grading service."""
    scorers = make_service(site, SCORERS, await add_third_scorer(site))
    document = batch("b1")
    document["items"][0]["scorer"]["body"] = base64.b64encode(CRASHING).decode()
    await site.ask(site.hosts[0], submission("b1", json.dumps(document).encode()))
    assert len(await site.read_all("b1", 7)) == 7
    await check_other_samples_are_served(site)
    check_paced(scorers)


async def check_other_samples_are_served(site):
    """Check it for some seconds, in which the crashing work is sent again."""
    for number in range(2, 5):
        batch_id = f"b{number}"
        assert await site.submit(site.hosts[number % len(site.hosts)], batch_id) == 202
        results = await site.read_all(batch_id, 8, limit_s=MAX_OWED_PAUSE_S)
        assert {each["state"] for each in results} == {"succeeded"}
        await asyncio.sleep(2.0)


def check_paced(service):
    """Check that owed work crashed few endpoints and is still sent.

    Three endpoints may crash at once, as under a request of a caller. Later ones crash
    one at a time: the work is sent again after two seconds and then every three.
    """
    times = service.run_times
    pauses_s = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert len(times) > MAX_CRASH_COUNT
    assert pauses_s[MAX_CRASH_COUNT - 1] > 1.9
    assert all(2.9 < pause_s < MAX_OWED_PAUSE_S for pause_s in pauses_s[3:])
    assert time.monotonic() - times[-1] < MAX_OWED_PAUSE_S
    assert service.crashed_counts[MAX_CRASH_COUNT:] == [1] * (len(times) - 3)


async def test_endpoints_that_come_back_under_their_names_are_counted(
    site, make_service
):
    scorer_service = make_service(
        site, SCORERS, await add_third_scorer(site), keeps_names=True
    )
    await asyncio.sleep(0.5)
    await visit_hosts(site, scorer_service)
    if scorer_service.runs > MAX_CRASH_COUNT:
        print_logs(site, scorer_service)
    assert scorer_service.runs <= MAX_CRASH_COUNT


async def test_hosts_that_are_told_by_another_host_know_of_it(tmp_path, make_service):
    site = Site(tmp_path, min_feed_hosts=2)
    try:
        await site.start()
        await asyncio.sleep(1.5)
        scorer_service = make_service(site, SCORERS, await add_third_scorer(site))
        await visit_hosts(site, scorer_service)
        assert scorer_service.runs <= MAX_CRASH_COUNT
    finally:
        await site.stop()


async def test_what_is_known_of_it_outlasts_all_hosts(site, scorer_service):
    await visit_hosts(site, scorer_service, visits=2)
    assert scorer_service.runs == MAX_CRASH_COUNT
    for host in site.hosts:
        await host.kill()
    for host in site.hosts:
        await host.start()
    await site.wait_ready()
    assert await visit_hosts(site, scorer_service, visits=3) == [503] * 3
    assert scorer_service.runs == MAX_CRASH_COUNT


async def test_a_host_without_the_store_refuses_what_it_saw_itself(
    site, scorer_service
):
    await asyncio.sleep(0.5)
    for host in site.hosts:
        host.gate.mode = GateMode.BUSY
    for _ in range(3):
        await until(lambda: scorer_service.all_are_running)
        await ask(site, host=0)
    for host in site.hosts:
        host.gate.mode = GateMode.OPEN
    assert scorer_service.runs <= MAX_CRASH_COUNT
    await asyncio.sleep(2.0)
    # The host has now written what it could not write during the outage.
    assert (await ask(site, host=1))[0] == 503


async def test_requests_beside_it_are_served(site, scorer_service):
    for scorer in site.scorers:
        scorer.delay_s = 0.03
    statuses = []

    async def beside(number):
        # The caller retries once at another host, like that of the crashing request.
        body = f"beside {number}".encode()
        status, _, _ = await ask(site, number, body=body)
        if status != 200:
            await until(lambda: scorer_service.all_are_running)
            await asyncio.sleep(0.6)
            status, _, _ = await ask(site, number + 1, body=body)
        statuses.append(status)

    for _ in range(3):
        await until(lambda: scorer_service.all_are_running)
        await asyncio.sleep(0.5)
        calls = [beside(number) for number in range(6)]
        await asyncio.gather(ask(site), *calls)
    # Another request may have been in progress at each of the crashes. One more
    # attempt shows which of them crashes endpoints.
    assert scorer_service.runs <= MAX_CRASH_COUNT + 1
    assert statuses == [200] * 18


async def test_a_key_that_ran_is_never_told_that_it_did_not(tmp_path, make_service):
    site = Site(tmp_path, rpc=RPC)
    try:
        await site.start()
        await apply(site)
        scorer_service = make_service(site, SCORERS, await add_third_scorer(site))
        keys = [new_key() for _ in range(5)]
        failures = []
        for key in keys:
            await until(lambda: scorer_service.all_are_running)
            await asyncio.sleep(0.5)
            failures.append(await _failure(site, key))
        assert scorer_service.runs == MAX_CRASH_COUNT
        kinds = [failure.kind for failure in failures]
        assert kinds[:3] == [FailureKind.OUTCOME_UNKNOWN] * 3
        assert kinds[3:] == [FailureKind.NOT_RUN] * 2
        assert failures[3].reason is FailureReason.CRASHES_ENDPOINTS
        assert failures[3].retry_after_s > 0
        again = await _failure(site, keys[0])
        assert again.kind is FailureKind.OUTCOME_UNKNOWN
    finally:
        await site.stop()


async def _failure(site, key):
    async with client(site, timeout_s=2.0) as caller:
        with pytest.raises(BankrudderError) as caught:
            await caller.call("desk", CRASHING, key=key)
        return caught.value.failure


BLAMELESS = b"blameless"


@pytest.mark.parametrize("fault", ["reset", "truncated"])
async def test_a_request_whose_answers_are_lost_is_not_refused(site, fault):
    for number in range(6):
        for scorer in site.scorers:
            scorer.fail_next = [fault] * 3
        status, _, _ = await ask(site, number, body=BLAMELESS)
        assert status == 502
    for scorer in site.scorers:
        scorer.fail_next = []
    assert (await ask(site, body=BLAMELESS))[0] == 200


async def test_a_request_at_slow_endpoints_is_not_refused(site):
    for scorer in site.scorers:
        scorer.delay_s = 5.0
    statuses = [
        (await ask(site, n, body=BLAMELESS, time_left_ms="300"))[0] for n in range(4)
    ]
    assert statuses == [504] * 4
    for scorer in site.scorers:
        scorer.delay_s = 0.0
    assert (await ask(site, body=BLAMELESS))[0] == 200


async def test_a_request_cut_by_planned_stops_is_not_refused(site, make_service):
    scorer_service = make_service(site, SCORERS, await add_third_scorer(site))
    for number in range(4):
        await until(lambda: scorer_service.all_are_running)
        await asyncio.sleep(0.5)
        for scorer in site.scorers:
            scorer.delay_s = 1.0
        pending_call = asyncio.ensure_future(
            ask(site, number, "/once/1", body=BLAMELESS, time_left_ms="4000")
        )
        await until(lambda: any(each.busy for each in site.scorers))
        for scorer in site.scorers:
            leaving = {**scorer.document(SCORERS), "state": "draining"}
            site.rows.put("servers", scorer.id, leaving)
        await asyncio.sleep(0.5)
        for scorer in site.scorers:
            scorer.crash()
        assert (await pending_call)[0] == 502
    await until(lambda: scorer_service.all_are_running)
    await asyncio.sleep(0.5)
    for scorer in site.scorers:
        scorer.delay_s = 0.0
    assert (await ask(site, path="/once/1", body=BLAMELESS))[0] == 200


async def test_a_request_that_was_answered_is_not_held_to_what_was_before(
    site, scorer_service
):
    # Two crashes of endpoints during the request, then a response, three times over.
    for number in range(3):
        for _ in range(2):
            await until(lambda: scorer_service.all_are_running)
            await asyncio.sleep(0.5)
            await _crash_during_request(site, number)
        await until(lambda: scorer_service.all_are_running)
        await asyncio.sleep(0.5)
        assert (await ask(site, number, "/once/1", body=BLAMELESS))[0] == 200


async def _crash_during_request(site, host):
    for scorer in site.scorers:
        scorer.delay_s = 1.0
    pending_call = asyncio.ensure_future(
        ask(site, host, "/once/1", body=BLAMELESS, time_left_ms="4000")
    )
    await until(lambda: any(each.busy for each in site.scorers))
    for scorer in site.scorers:
        if scorer.busy:
            scorer.crash()
        scorer.delay_s = 0.0
    assert (await pending_call)[0] == 502


async def test_a_request_that_many_make_does_not_pay_for_a_common_end(
    site, scorer_service
):
    # All endpoints crash at once, each with the same common request in progress.
    await asyncio.sleep(0.5)
    for scorer in site.scorers:
        scorer.delay_s = 1.0
    pending_calls = [
        asyncio.ensure_future(
            ask(site, host, "/once/1", body=BLAMELESS, time_left_ms="4000")
        )
        for host in range(9)
    ]
    # A request that has not arrived yet would correctly be answered as not run.
    await until(lambda: sum(each.busy for each in site.scorers) == len(pending_calls))
    for scorer in site.scorers:
        scorer.crash()
        scorer.delay_s = 0.0
    assert {(await each)[0] for each in pending_calls} == {502}
    await until(lambda: scorer_service.all_are_running)
    await asyncio.sleep(0.5)
    for host in range(3):
        assert (await ask(site, host, "/once/1", body=BLAMELESS))[0] == 200

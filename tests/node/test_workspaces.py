"""Workspaces: whose requests run, what endpoints are told, who sees which batch."""

import asyncio
import json

import pytest

from outside.site import HOST_NAME, batch, check_results, configuration, until
from outside.store import GateMode
from outside.trainer_calls import reading, sample_body, submission

NORTH = {"name": "north", "api_keys": ["north-1", "north-2"]}
SOUTH = {"name": "south", "api_keys": ["south-1"], "priority": 1}
SECRETS = ("north-1", "north-2", "south-1", "north-3")
IN_FORCE_S = 2.0
"""Time in which a configuration is in force at every host in touch."""


def routes(*public):
    document = configuration(1)["routes"]
    return [{**each, "public": each["name"] in public} for each in document]


def with_workspaces(version, *workspaces, public=("score",)):
    return configuration(version, routes=routes(*public), tenants=list(workspaces))


@pytest.fixture
async def shared(site):
    """Return a site with two workspaces; reward calls need no key."""
    await put(site, with_workspaces(2, NORTH, SOUTH))
    return site


async def put(site, document):
    site.rows.put("op", "config", document)
    revision = document["version"]
    for host in site.hosts:
        await until(lambda host=host: in_force(host) >= revision, IN_FORCE_S)


def in_force(host):
    lines = [
        each["revision"]
        for each in host.log_lines()
        if each["event"] == "node: configuration in force"
    ]
    return max(lines, default=0)


async def call(site, key="", path="/once/1", request_id="q1", host=0, headers=()):
    credentials = {"Authorization": f"Bearer {key}"} if key else {}
    status, _, body = await site.call(
        site.hosts[host],
        "POST",
        path,
        body=b"body",
        headers={
            "X-Request-Id": request_id,
            "X-Request-Deadline": "1500",
            **credentials,
            **dict(headers),
        },
    )
    return status, body


def told(endpoints, request_id="q1"):
    """Return what endpoints were told of whose request it is, at each arrival."""
    found = [
        headers
        for endpoint in endpoints
        for name, headers in endpoint.headers
        if name == request_id
    ]
    for headers in found:
        assert "Authorization" not in headers
        text = str(sorted(headers.items()))
        assert not any(secret in text for secret in SECRETS)
    return [tuple(headers.getall("X-Tenant", [])) for headers in found]


def assert_no_secret_is_written(site):
    for host in site.hosts:
        text = host.log_path.read_text()
        assert not any(secret in text for secret in SECRETS)
    for (table, part, key), (_, value) in site.rows.rows.items():
        if table != "op":
            text = f"{table}/{part}/{key}/{value!r}"
            assert not any(secret in text for secret in SECRETS)


@pytest.mark.parametrize(
    ("key", "workspace"),
    [("north-1", "north"), ("north-2", "north"), ("south-1", "south")],
)
async def test_endpoints_are_told_the_workspace_and_never_the_key(
    shared, key, workspace
):
    assert (await call(shared, key))[0] == 200
    assert told(shared.scorers) == [(workspace,)]
    assert_no_secret_is_written(shared)


@pytest.mark.parametrize("name", ["X-Tenant", "x-tenant", "X-TENANT"])
@pytest.mark.parametrize("value", ["south", "", "north, south"])
async def test_a_caller_does_not_say_whose_request_it_is(shared, name, value):
    assert (await call(shared, "north-1", headers={name: value}))[0] == 200
    assert told(shared.scorers) == [("north",)]


async def test_a_workspace_header_that_comes_twice_is_not_passed_on(shared):
    reader, writer = await asyncio.open_connection(*shared.hosts[0].address.split(":"))
    head = (
        f"POST /once/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: q1\r\n"
        "X-Tenant: south\r\nAuthorization: Bearer north-1\r\nx-tenant: other\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    writer.write(head.encode())
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()
    assert told(shared.scorers) == [("north",)]


async def test_without_workspaces_the_callers_credentials_are_passed_on(site):
    assert (await call(site, "anything", headers={"X-Tenant": "south"}))[0] == 200
    [headers] = [each for s in site.scorers for _, each in s.headers]
    assert headers["Authorization"] == "Bearer anything"
    assert "X-Tenant" not in headers


@pytest.mark.parametrize("fault", ["500", "full", "reset", "silent"])
async def test_each_repeat_tells_the_same_workspace(shared, fault):
    for scorer in shared.scorers:
        scorer.fail_next = [fault]
    await call(shared, "north-1", "/score/1")
    seen = told(shared.scorers)
    assert len(seen) >= 2
    assert set(seen) == {("north",)}


async def test_a_stream_tells_the_workspace(shared):
    assert (await call(shared, "south-1", "/stream/1"))[0] == 200
    assert told(shared.engines) == [("south",)]


async def test_the_resume_of_a_stream_tells_the_workspace(shared):
    shared.engines[0].reset_after = [2]
    shared.engines[1].reset_after = [2]
    assert (await call(shared, "south-1", "/resumable/1"))[0] == 200
    seen = told(shared.engines)
    assert len(seen) >= 2
    assert set(seen) == {("south",)}


@pytest.mark.parametrize("key", ["", "unknown"])
@pytest.mark.parametrize("path", ["/once/1", "/stream/1", "/rollout/all"])
async def test_a_request_without_a_known_key_does_not_run(shared, key, path):
    assert (await call(shared, key, path))[0] == 401
    assert not any(each.run_counts for each in shared.scorers + shared.engines)


@pytest.mark.parametrize(
    ("key", "workspaces"), [("", ()), ("unknown", ()), ("north-1", ("north",))]
)
async def test_a_public_route_needs_no_key(shared, key, workspaces):
    assert (await call(shared, key, "/score/1"))[0] == 200
    assert told(shared.scorers) == [workspaces]


async def test_a_key_that_was_taken_away_is_refused_at_every_host(shared):
    left = {**NORTH, "api_keys": ["north-2"]}
    await put(shared, with_workspaces(3, left, SOUTH))
    for number in range(len(shared.hosts)):
        assert (await call(shared, "north-1", host=number))[0] == 401
        assert (await call(shared, "north-2", host=number))[0] == 200


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.SILENT, GateMode.RESET])
async def test_a_host_that_was_cut_off_refuses_the_key_as_soon_as_it_is_back(
    shared, mode
):
    host = shared.hosts[0]
    host.gate.mode = mode
    shared.rows.put("op", "config", with_workspaces(3, SOUTH))
    await asyncio.sleep(1.5)
    host.gate.mode = GateMode.OPEN
    await until(lambda: in_force(host) == 3, IN_FORCE_S)
    assert (await call(shared, "north-1"))[0] == 401
    assert (await call(shared, "south-1", request_id="q2"))[0] == 200


async def test_a_request_in_progress_outlasts_its_key(shared):
    for scorer in shared.scorers:
        scorer.delay_s = 1.0
    running = asyncio.ensure_future(call(shared, "south-1"))
    await until(lambda: any(each.busy for each in shared.scorers))
    await put(shared, with_workspaces(3, NORTH))
    assert (await running)[0] == 200


async def test_a_key_works_as_soon_as_the_store_has_it(shared):
    more = {**NORTH, "api_keys": [*NORTH["api_keys"], "north-3"]}
    shared.rows.put("op", "config", with_workspaces(3, more, SOUTH))
    for number in range(len(shared.hosts)):
        assert (await call(shared, "north-3", host=number))[0] == 200


async def test_a_host_without_the_store_does_not_refuse_for_a_key(shared):
    """It may have missed the key; another host knows."""
    shared.hosts[0].gate.mode = GateMode.BUSY
    status, _ = await call(shared, "unknown")
    assert status == 503
    assert (await call(shared, "north-1"))[0] == 200


async def test_a_host_that_knows_nothing_yet_does_not_refuse_for_a_key(shared):
    host = shared.hosts[0]
    await host.kill()
    host.gate.mode = GateMode.SILENT
    await host.start()
    await until(lambda: is_listening(host))
    assert (await call(shared, "north-1"))[0] == 503


async def is_listening(host):
    try:
        _, writer = await asyncio.open_connection(*host.address.split(":"))
    except OSError:
        return False
    writer.close()
    return True


async def test_a_flood_of_unknown_keys_costs_few_reads_and_no_good_request(shared):
    gate = shared.hosts[0].gate
    before = len(gate.calls)
    flood = [
        asyncio.ensure_future(call(shared, f"unknown-{n}", request_id=f"f{n}"))
        for n in range(300)
    ]
    good = [await call(shared, "north-1", request_id=f"g{n}") for n in range(20)]
    assert {status for status, _ in await asyncio.gather(*flood)} == {401}
    assert {status for status, _ in good} == {200}
    looks = [each for each in gate.calls[before:] if "rows-get" in str(each)]
    assert len(looks) < 40


async def test_a_configuration_that_cannot_be_read_leaves_the_former_in_force(shared):
    twice = {"name": "other", "api_keys": ["north-1"]}
    for number, wrong in enumerate(
        (
            [NORTH, twice],
            [NORTH, {**SOUTH, "name": "north"}],
            [{"name": "", "api_keys": []}],
            [{**NORTH, "api_keys": "north-1"}],
            [{**NORTH, "api_keys": [""]}],
            [{**NORTH, "priority": -1}],
            "north",
        )
    ):
        document = {**with_workspaces(3 + number), "tenants": wrong}
        shared.rows.put("op", "config", document)
    await asyncio.sleep(1.5)
    assert (await call(shared, "north-1"))[0] == 200
    assert in_force(shared.hosts[0]) == 2
    assert_no_secret_is_written(shared)


async def test_a_batch_is_run_and_read_for_its_workspace(shared):
    assert await shared.submit(shared.hosts[0], "b1", key="north-1") == 202
    results = await shared.read_all("b1", 8, key="north-2")
    check_results(results, "b1", 8)
    for number in range(8):
        assert set(told(shared.engines, f"b1-s{number}")) == {("north",)}
        assert set(told(shared.scorers, f"b1-r{number}")) == {()}
    assert_no_secret_is_written(shared)


async def test_samples_do_not_say_whose_they_are(shared):
    document = batch("b1")
    for item in document["items"]:
        item["headers"] |= {"X-Tenant": "south", "Authorization": "Bearer north-1"}
    sent = submission("b1", json.dumps(document).encode()).with_key("north-1")
    assert (await shared.ask(shared.hosts[0], sent))[0] == 202
    await shared.read_all("b1", 8, key="north-1")
    for number in range(8):
        assert set(told(shared.engines, f"b1-s{number}")) == {("north",)}
    assert_no_secret_is_written(shared)


async def test_another_workspace_learns_nothing_of_a_batch(shared):
    assert await shared.submit(shared.hosts[0], "b1", key="north-1") == 202
    for host in shared.hosts:
        for name in ("b1", "none"):
            assert (await shared.read(host, name, key="south-1"))[0] == 404
            assert await shared.end(host, name, key="south-1") == 404
            asked = sample_body(name, "b1-s0").with_key("south-1")
            assert (await shared.ask(host, asked))[0] == 404
        for key in ("", "unknown"):
            assert (await shared.read(host, "b1", key=key))[0] == 401
    check_results(await shared.read_all("b1", 8, key="north-1"), "b1", 8)


async def test_a_batch_outlasts_the_key_that_submitted_it(shared):
    assert await shared.submit(shared.hosts[0], "b1", key="north-1") == 202
    left = {**NORTH, "api_keys": ["north-2"]}
    await put(shared, with_workspaces(3, left, SOUTH))
    results = await shared.read_all("b1", 8, key="north-2")
    check_results(results, "b1", 8)
    assert (await shared.read(shared.hosts[0], "b1", key="north-1"))[0] == 401


async def test_a_batch_keeps_its_workspace_when_its_owner_is_lost(shared):
    for engine in shared.engines:
        engine.event_s = 0.3
    assert await shared.submit(shared.hosts[0], "b1", key="north-1") == 202
    await asyncio.sleep(0.5)
    await shared.hosts[0].kill()
    results = await shared.read_all("b1", 8, shared.hosts[1:], key="north-2")
    check_results(results, "b1", 8)
    for number in range(8):
        assert set(told(shared.engines, f"b1-s{number}")) == {("north",)}


async def test_repeats_and_ends_are_answered_at_any_host_with_any_key(shared):
    assert await shared.submit(shared.hosts[0], "b1", key="north-1") == 202
    for host in shared.hosts:
        assert await shared.submit(host, "b1", key="north-2") == 202
    await shared.read_all("b1", 8, key="north-1")
    for host in shared.hosts:
        assert await shared.end(host, "b1", key="north-2") == 200
    status, page = await shared.read(shared.hosts[1], "b1", key="north-2")
    assert status == 200
    assert len(page["results"]) == 8
    assert await shared.submit(shared.hosts[2], "b1", key="south-1") == 400


async def test_a_read_costs_a_store_call_at_most(shared):
    assert await shared.submit(shared.hosts[0], "b1", key="north-1") == 202
    await shared.read_all("b1", 8, key="north-1")
    host = shared.hosts[1]
    await shared.read(host, "b1", key="north-1")
    before = [each for each in host.gate.calls if "results" in str(each)]
    for _ in range(5):
        await shared.ask(host, reading("b1").with_key("north-2"))
    after = [each for each in host.gate.calls if "results" in str(each)]
    assert len(after) - len(before) <= 5


async def test_a_request_of_one_workspace_does_not_blame_the_one_of_another(shared):
    """The same body under another workspace is another content; under another key of
    the same one it is not.
    """
    for scorer in shared.scorers:
        scorer.crash_on = {b"body"}
    await call(shared, "north-1", "/score/1")
    await until(lambda: all(each.has_crashed for each in shared.scorers))
    contents = set()
    for host in shared.hosts:
        contents |= {
            (each["workspace"], each["content"])
            for each in host.log_lines()
            if each["event"] == "relay: attempt failed"
        }
    assert {name for name, _ in contents} == {"north"}
    await call(shared, "north-2", "/score/1", request_id="q2", host=1)
    await call(shared, "south-1", "/score/1", request_id="q3", host=2)
    seen = {}
    for host in shared.hosts:
        for each in host.log_lines():
            if each["event"] in ("relay: attempt failed", "relay: request given up"):
                seen.setdefault(each["workspace"], set()).add(each["content"])
    assert len(seen["north"]) == 1
    assert not seen["north"] & seen.get("south", set())

"""Workspaces: admission by key, headers to endpoints, and visibility of batches."""

import asyncio
import json

import pytest

from outside.site import HOST_NAME, batch, check_results, configuration, until
from outside.store import GateMode
from outside.trainer_calls import reading, sample_body, submission

NORTH = {"name": "north", "api_keys": ["north-1", "north-2"]}
SOUTH = {"name": "south", "api_keys": ["south-1"], "priority": 1}
SECRETS = ("north-1", "north-2", "south-1", "north-3")
MAX_ATTEMPTS = 3
"""Largest number of endpoints that a request of a route may be sent to."""

IN_FORCE_S = 2.0
"""Time within which a configuration is in force on each host with the store."""


def routes(*public):
    document = configuration(1)["routes"]
    return [{**each, "public": each["name"] in public} for each in document]


def with_workspaces(version, *workspaces, public=("score",)):
    return configuration(version, routes=routes(*public), tenants=list(workspaces))


@pytest.fixture
async def workspace_site(site):
    """Return a site with two workspaces; reward calls need no key."""
    await put(site, with_workspaces(2, NORTH, SOUTH))
    return site


async def put(site, document):
    site.rows.put("op", "config", document)
    revision = document["version"]
    for host in site.hosts:
        await until(lambda host=host: revision_in_force(host) >= revision, IN_FORCE_S)


def revision_in_force(host):
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


def workspace_headers(endpoints, request_id="q1"):
    """Return the workspace headers of a request, for each time an endpoint got it."""
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
async def test_endpoints_receive_the_workspace_and_never_the_key(
    workspace_site, key, workspace
):
    assert (await call(workspace_site, key))[0] == 200
    assert workspace_headers(workspace_site.scorers) == [(workspace,)]
    assert_no_secret_is_written(workspace_site)


@pytest.mark.parametrize("name", ["X-Tenant", "x-tenant", "X-TENANT"])
@pytest.mark.parametrize("value", ["south", "", "north, south"])
async def test_a_callers_workspace_header_is_replaced(workspace_site, name, value):
    assert (await call(workspace_site, "north-1", headers={name: value}))[0] == 200
    assert workspace_headers(workspace_site.scorers) == [("north",)]


async def test_a_duplicate_workspace_header_is_not_forwarded(workspace_site):
    reader, writer = await asyncio.open_connection(
        *workspace_site.hosts[0].address.split(":")
    )
    head = (
        f"POST /once/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: q1\r\n"
        "X-Tenant: south\r\nAuthorization: Bearer north-1\r\nx-tenant: other\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    writer.write(head.encode())
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()
    assert workspace_headers(workspace_site.scorers) == [("north",)]


async def test_without_workspaces_the_callers_credentials_are_forwarded(site):
    assert (await call(site, "anything", headers={"X-Tenant": "south"}))[0] == 200
    [headers] = [each for s in site.scorers for _, each in s.headers]
    assert headers["Authorization"] == "Bearer anything"
    assert "X-Tenant" not in headers


@pytest.mark.parametrize("fault", ["500", "full", "reset", "silent"])
async def test_each_retry_sends_the_same_workspace(workspace_site, fault):
    for scorer in workspace_site.scorers:
        scorer.fail_next = [fault]
    await call(workspace_site, "north-1", "/score/1")
    seen = workspace_headers(workspace_site.scorers)
    assert len(seen) >= 2
    assert set(seen) == {("north",)}


async def test_a_stream_request_sends_the_workspace(workspace_site):
    assert (await call(workspace_site, "south-1", "/stream/1"))[0] == 200
    assert workspace_headers(workspace_site.engines) == [("south",)]


async def test_a_resumed_stream_sends_the_workspace(workspace_site):
    workspace_site.engines[0].reset_after = [2]
    workspace_site.engines[1].reset_after = [2]
    assert (await call(workspace_site, "south-1", "/resumable/1"))[0] == 200
    seen = workspace_headers(workspace_site.engines)
    assert len(seen) >= 2
    assert set(seen) == {("south",)}


@pytest.mark.parametrize("key", ["", "unknown"])
@pytest.mark.parametrize("path", ["/once/1", "/stream/1", "/rollout/all"])
async def test_a_request_without_a_known_key_does_not_run(workspace_site, key, path):
    assert (await call(workspace_site, key, path))[0] == 401
    assert not any(
        each.run_counts for each in workspace_site.scorers + workspace_site.engines
    )


@pytest.mark.parametrize(
    ("key", "workspaces"), [("", ()), ("unknown", ()), ("north-1", ("north",))]
)
async def test_a_public_route_needs_no_key(workspace_site, key, workspaces):
    assert (await call(workspace_site, key, "/score/1"))[0] == 200
    seen = workspace_headers(workspace_site.scorers)
    # The route may be repeated, so that a late answer is asked of another scorer, too.
    assert 1 <= len(seen) <= MAX_ATTEMPTS
    assert set(seen) == {workspaces}


async def test_a_removed_key_is_refused_at_every_host(workspace_site):
    remaining = {**NORTH, "api_keys": ["north-2"]}
    await put(workspace_site, with_workspaces(3, remaining, SOUTH))
    for number in range(len(workspace_site.hosts)):
        assert (await call(workspace_site, "north-1", host=number))[0] == 401
        assert (await call(workspace_site, "north-2", host=number))[0] == 200


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.SILENT, GateMode.RESET])
async def test_a_host_refuses_a_removed_key_once_it_reaches_the_store_again(
    workspace_site, mode
):
    host = workspace_site.hosts[0]
    host.gate.mode = mode
    workspace_site.rows.put("op", "config", with_workspaces(3, SOUTH))
    await asyncio.sleep(1.5)
    host.gate.mode = GateMode.OPEN
    await until(lambda: revision_in_force(host) == 3, IN_FORCE_S)
    assert (await call(workspace_site, "north-1"))[0] == 401
    assert (await call(workspace_site, "south-1", request_id="q2"))[0] == 200


async def test_a_request_in_progress_completes_after_its_key_was_removed(
    workspace_site,
):
    for scorer in workspace_site.scorers:
        scorer.delay_s = 1.0
    running = asyncio.ensure_future(call(workspace_site, "south-1"))
    await until(lambda: any(each.busy for each in workspace_site.scorers))
    await put(workspace_site, with_workspaces(3, NORTH))
    assert (await running)[0] == 200


async def test_a_key_works_as_soon_as_the_store_has_it(workspace_site):
    more = {**NORTH, "api_keys": [*NORTH["api_keys"], "north-3"]}
    workspace_site.rows.put("op", "config", with_workspaces(3, more, SOUTH))
    for number in range(len(workspace_site.hosts)):
        assert (await call(workspace_site, "north-3", host=number))[0] == 200


async def test_a_host_without_the_store_does_not_refuse_an_unknown_key(workspace_site):
    """The host may not know a new key yet, and another host may know it."""
    workspace_site.hosts[0].gate.mode = GateMode.BUSY
    status, _ = await call(workspace_site, "unknown")
    assert status == 503
    assert (await call(workspace_site, "north-1"))[0] == 200


async def test_a_host_without_a_configuration_does_not_refuse_a_key(workspace_site):
    host = workspace_site.hosts[0]
    await host.kill()
    host.gate.mode = GateMode.SILENT
    await host.start()
    await until(lambda: is_listening(host))
    assert (await call(workspace_site, "north-1"))[0] == 503


async def is_listening(host):
    try:
        _, writer = await asyncio.open_connection(*host.address.split(":"))
    except OSError:
        return False
    writer.close()
    return True


async def test_many_unknown_keys_cause_few_reads_and_no_failure_of_known_keys(
    workspace_site,
):
    gate = workspace_site.hosts[0].gate
    before = len(gate.calls)
    flood = [
        asyncio.ensure_future(call(workspace_site, f"unknown-{n}", request_id=f"f{n}"))
        for n in range(300)
    ]
    good = [
        await call(workspace_site, "north-1", request_id=f"g{n}") for n in range(20)
    ]
    assert {status for status, _ in await asyncio.gather(*flood)} == {401}
    assert {status for status, _ in good} == {200}
    refresh_reads = [each for each in gate.calls[before:] if "rows-get" in str(each)]
    assert len(refresh_reads) < 40


async def test_an_invalid_configuration_leaves_the_previous_one_in_force(
    workspace_site,
):
    duplicate = {"name": "other", "api_keys": ["north-1"]}
    for number, wrong in enumerate(
        (
            [NORTH, duplicate],
            [NORTH, {**SOUTH, "name": "north"}],
            [{"name": "", "api_keys": []}],
            [{**NORTH, "api_keys": "north-1"}],
            [{**NORTH, "api_keys": [""]}],
            [{**NORTH, "priority": -1}],
            "north",
        )
    ):
        document = {**with_workspaces(3 + number), "tenants": wrong}
        workspace_site.rows.put("op", "config", document)
    await asyncio.sleep(1.5)
    assert (await call(workspace_site, "north-1"))[0] == 200
    assert revision_in_force(workspace_site.hosts[0]) == 2
    assert_no_secret_is_written(workspace_site)


async def test_a_batch_is_run_and_read_for_its_workspace(workspace_site):
    assert (
        await workspace_site.submit(workspace_site.hosts[0], "b1", key="north-1") == 202
    )
    results = await workspace_site.read_all("b1", 8, key="north-2")
    check_results(results, "b1", 8)
    for number in range(8):
        assert set(workspace_headers(workspace_site.engines, f"b1-s{number}")) == {
            ("north",)
        }
        assert set(workspace_headers(workspace_site.scorers, f"b1-r{number}")) == {()}
    assert_no_secret_is_written(workspace_site)


async def test_workspace_headers_of_samples_are_replaced(workspace_site):
    document = batch("b1")
    for item in document["items"]:
        item["headers"] |= {"X-Tenant": "south", "Authorization": "Bearer north-1"}
    sent = submission("b1", json.dumps(document).encode()).with_key("north-1")
    assert (await workspace_site.ask(workspace_site.hosts[0], sent))[0] == 202
    await workspace_site.read_all("b1", 8, key="north-1")
    for number in range(8):
        assert set(workspace_headers(workspace_site.engines, f"b1-s{number}")) == {
            ("north",)
        }
    assert_no_secret_is_written(workspace_site)


async def test_a_batch_is_hidden_from_other_workspaces(workspace_site):
    assert (
        await workspace_site.submit(workspace_site.hosts[0], "b1", key="north-1") == 202
    )
    for host in workspace_site.hosts:
        for name in ("b1", "none"):
            assert (await workspace_site.read(host, name, key="south-1"))[0] == 404
            assert await workspace_site.end(host, name, key="south-1") == 404
            body_call = sample_body(name, "b1-s0").with_key("south-1")
            assert (await workspace_site.ask(host, body_call))[0] == 404
        for key in ("", "unknown"):
            assert (await workspace_site.read(host, "b1", key=key))[0] == 401
    check_results(await workspace_site.read_all("b1", 8, key="north-1"), "b1", 8)


async def test_a_batch_continues_after_its_key_was_removed(workspace_site):
    assert (
        await workspace_site.submit(workspace_site.hosts[0], "b1", key="north-1") == 202
    )
    remaining = {**NORTH, "api_keys": ["north-2"]}
    await put(workspace_site, with_workspaces(3, remaining, SOUTH))
    results = await workspace_site.read_all("b1", 8, key="north-2")
    check_results(results, "b1", 8)
    assert (await workspace_site.read(workspace_site.hosts[0], "b1", key="north-1"))[
        0
    ] == 401


async def test_a_batch_keeps_its_workspace_when_its_owner_is_lost(workspace_site):
    for engine in workspace_site.engines:
        engine.event_s = 0.3
    assert (
        await workspace_site.submit(workspace_site.hosts[0], "b1", key="north-1") == 202
    )
    await asyncio.sleep(0.5)
    await workspace_site.hosts[0].kill()
    results = await workspace_site.read_all(
        "b1", 8, workspace_site.hosts[1:], key="north-2"
    )
    check_results(results, "b1", 8)
    for number in range(8):
        assert set(workspace_headers(workspace_site.engines, f"b1-s{number}")) == {
            ("north",)
        }


async def test_any_host_accepts_repeats_and_ends_with_any_key_of_the_workspace(
    workspace_site,
):
    assert (
        await workspace_site.submit(workspace_site.hosts[0], "b1", key="north-1") == 202
    )
    for host in workspace_site.hosts:
        assert await workspace_site.submit(host, "b1", key="north-2") == 202
    await workspace_site.read_all("b1", 8, key="north-1")
    for host in workspace_site.hosts:
        assert await workspace_site.end(host, "b1", key="north-2") == 200
    status, page = await workspace_site.read(
        workspace_site.hosts[1], "b1", key="north-2"
    )
    assert status == 200
    assert len(page["results"]) == 8
    assert (
        await workspace_site.submit(workspace_site.hosts[2], "b1", key="south-1") == 400
    )


async def test_a_read_makes_at_most_one_store_call(workspace_site):
    assert (
        await workspace_site.submit(workspace_site.hosts[0], "b1", key="north-1") == 202
    )
    await workspace_site.read_all("b1", 8, key="north-1")
    host = workspace_site.hosts[1]
    await workspace_site.read(host, "b1", key="north-1")
    before = [each for each in host.gate.calls if "results" in str(each)]
    for _ in range(5):
        await workspace_site.ask(host, reading("b1").with_key("north-2"))
    after = [each for each in host.gate.calls if "results" in str(each)]
    assert len(after) - len(before) <= 5


async def test_crashes_are_recorded_separately_for_each_workspace(workspace_site):
    """The content of a request includes its workspace, but not the key: the same body
    is another content in another workspace.
    """
    for scorer in workspace_site.scorers:
        scorer.crash_on = {b"body"}
    await call(workspace_site, "north-1", "/score/1")
    await until(lambda: all(each.has_crashed for each in workspace_site.scorers))
    contents = set()
    for host in workspace_site.hosts:
        contents |= {
            (each["workspace"], each["content"])
            for each in host.log_lines()
            if each["event"] == "relay: attempt failed"
        }
    assert {name for name, _ in contents} == {"north"}
    await call(workspace_site, "north-2", "/score/1", request_id="q2", host=1)
    await call(workspace_site, "south-1", "/score/1", request_id="q3", host=2)
    seen = {}
    for host in workspace_site.hosts:
        for each in host.log_lines():
            if each["event"] in ("relay: attempt failed", "relay: request given up"):
                seen.setdefault(each["workspace"], set()).add(each["content"])
    assert len(seen["north"]) == 1
    assert not seen["north"] & seen.get("south", set())

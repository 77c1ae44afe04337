"""What operators see of a host: metrics, log lines, and errors in settings."""

import asyncio
import json
import os
import sys

import aiohttp
import pytest

from outside.site import HANGUP_SIGNAL, PROGRAM, until


async def metrics(host):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{host.metrics_address}/metrics") as response,
    ):
        return await response.text()


async def test_requests_and_decisions_are_counted(site):
    headers = {"X-Request-Id": "q1", "X-Request-Deadline": "1500"}
    await site.call(site.hosts[0], "POST", "/score/1", body=b"x", headers=headers)
    text = await metrics(site.hosts[0])
    assert 'outcome="answered"' in text
    assert "bankrudder_request_seconds_bucket" in text
    assert "bankrudder_store_call_seconds_count" in text
    assert 'event="relay: answered"' in text
    assert "bankrudder_configuration_revision" in text
    assert "bankrudder_sample_moves_total{" in text


async def test_a_request_can_be_followed_by_its_id(site):
    for scorer in site.scorers:
        scorer.fail_next = ["reset"]
    headers = {"X-Request-Id": "q7", "X-Request-Deadline": "1500"}
    await site.call(site.hosts[0], "POST", "/score/1", body=b"x", headers=headers)
    lines = [line for line in site.hosts[0].log_lines() if line.get("request") == "q7"]
    assert [line["event"] for line in lines][-1] == "relay: answered"
    failed = [line for line in lines if line["event"] == "relay: attempt failed"]
    assert failed[0]["outcome"] == "lost: no_answer"
    assert failed[0]["endpoint"].startswith("scorer-")


async def test_start_and_stop_of_a_host_are_logged(site):
    assert await site.hosts[0].stop() == 0
    events = [line["event"] for line in site.hosts[0].log_lines()]
    for event in ("node: started", "node: configuration in force", "node: stopped"):
        assert event in events


async def test_settings_are_reloaded_and_invalid_ones_ignored(site):
    host = site.hosts[0]
    host.settings_path.write_text("{}")
    host.signal(HANGUP_SIGNAL)
    await until(lambda: "node: wrong settings, the ones in force stay" in events(host))
    host.write_settings(grace_s=5)
    host.signal(HANGUP_SIGNAL)
    await until(lambda: "node: settings reloaded" in events(host))
    assert await host.is_ready()


async def test_a_reload_changes_the_level_of_the_log(site):
    host = site.hosts[0]

    async def ask():
        return await site.call(host, "POST", "/score/1", headers={"X-Request-Id": "q"})

    async def logs_requests():
        await ask()
        return "relay: answered" in events(host)

    host.write_settings(log_level="error")
    host.signal(HANGUP_SIGNAL)
    await until(lambda: "node: settings reloaded" in events(host))
    assert (await ask())[0] == 200
    assert not await logs_requests()
    host.write_settings(log_level="info")
    host.signal(HANGUP_SIGNAL)
    await until(logs_requests)


def events(host):
    return [line["event"] for line in host.log_lines()]


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"callers_address": "nowhere"}, "callers_address"),
        ({"lease_ms": 0}, "lease_ms"),
        ({"host": ""}, "host"),
        ({"grace_s": "long"}, "grace_s"),
    ],
)
async def test_invalid_settings_are_reported_and_the_daemon_exits(
    tmp_path, changes, field
):
    settings = {
        "host": "h",
        "data_centre": "north",
        "callers_address": "127.0.0.1:1",
        "readiness_address": "127.0.0.1:2",
        "store": {"address": "127.0.0.1:3"},
        **changes,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(PROGRAM),
        env={**os.environ, "BANKRUDDER_SETTINGS": str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    assert process.returncode == 2
    [line] = output.decode().splitlines()
    assert json.loads(line)["field"] == field


async def test_a_host_is_ready_only_once_the_others_can_know_of_it(site):
    host = site.hosts[2]
    await host.kill()
    host.gate.hold("hosts")
    await host.start()
    headers = {"X-Request-Id": "q8", "X-Request-Deadline": "1500"}

    async def is_serving():
        try:
            status, _, _ = await site.call(
                host, "POST", "/score/1", body=b"x", headers=headers
            )
        except aiohttp.ClientError:
            return False
        return status == 200

    await until(is_serving)
    assert not await host.is_ready()
    host.gate.release()
    await until(host.is_ready)

"""The configured limits on the size of callers' requests are applied."""

import json

import pytest

from outside.site import batch, configuration, until
from outside.trainer_calls import submission

LIMITS = {
    "max_header_bytes": 1000,
    "max_body_bytes": 500,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


async def ask(site, path, body=b"", **headers):
    status, _, _ = await site.call(
        site.hosts[0], "POST", path, body=body, headers=headers
    )
    return status


@pytest.mark.parametrize("path", ["/score/1", "/once/1", "/stream/1"])
async def test_requests_beyond_a_limit_are_refused_and_do_not_run(site, path):
    assert await ask(site, path, bytes(501)) == 200
    site.rows.put("op", "config", configuration(2, limits=LIMITS))

    async def is_limited():
        return await ask(site, path, bytes(501)) == 413

    await until(is_limited)
    endpoints = site.engines + site.scorers
    runs = sum(len(each.arrivals) for each in endpoints)
    assert await ask(site, path, bytes(501)) == 413
    assert await ask(site, path, **{"X-Long": "x" * 1000}) == 431
    assert sum(len(each.arrivals) for each in endpoints) == runs
    assert await ask(site, path, bytes(500)) == 200


async def test_limits_of_callers_do_not_apply_to_batches(site):
    site.rows.put("op", "config", configuration(2, limits=LIMITS))

    async def is_limited():
        return await ask(site, "/score/1", bytes(501)) == 413

    await until(is_limited)
    body = json.dumps(batch("b1")).encode()
    assert len(body) > LIMITS["max_body_bytes"]
    await site.ask(site.hosts[0], submission("b1", body))
    assert len(await site.read_all("b1", 8)) == 8

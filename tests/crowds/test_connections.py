"""Crowds of connections end no process and stop no ordinary caller.

They guard against a host that runs out of descriptors, or keeps connections without a
time limit. Each test fixes its crowd and the limits of the process.
"""

import asyncio
import json
import socket

import pytest

from node.test_memory import gauge
from outside.crowds import head, is_served
from outside.site import HOST_NAME, until

MAX_DESCRIPTORS = 160
CROWD_COUNT = 240
"""More connections than the process may have descriptors."""

WAITING_COUNT = 16
"""Requests that wait in the host before an ordinary one is sent."""

ADVANCE_COUNT = 300
"""Requests that each caller sends before it reads an answer."""

NOISE_MEMORY_MB = 170
NOISE_COUNT = 200

UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
)

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1 << 20,
    "header_timeout_ms": 300,
    "idle_timeout_ms": 600,
}

STARTS = {
    "nothing": b"",
    "part of a head": b"POST /score/1 HTTP/1.1\r\nHost: a\r\nX-Part: ",
    "part of a body": (
        f"POST /score/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: p\r\n"
        "Content-Length: 100\r\n\r\nx"
    ).encode(),
    "an answered request": (
        f"GET /none HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: p\r\n\r\n"
    ).encode(),
}
"""What a caller sends before it falls silent."""


@pytest.fixture
async def small_site(start_site):
    return await start_site({}, max_descriptors=MAX_DESCRIPTORS)


@pytest.mark.parametrize("start", STARTS)
async def test_silent_callers_leave_room_for_others(
    small_site, gather_crowd, measure, start
):
    site, host = small_site
    meter = measure(host)
    crowd = gather_crowd(host.address)
    await crowd.send([STARTS[start]] * CROWD_COUNT)
    assert await is_served(site, host)
    assert host.is_running
    assert meter.descriptor_peak < MAX_DESCRIPTORS
    assert await host.is_ready()
    assert await gauge(host, "bankrudder_caller_connections_closed_total") > 0


@pytest.mark.parametrize("listener", ["readiness_address", "metrics_address"])
async def test_silent_clients_of_another_listener(
    small_site, gather_crowd, measure, listener
):
    site, host = small_site
    meter = measure(host)
    crowd = gather_crowd(getattr(host, listener))
    await crowd.connect(CROWD_COUNT)
    assert await is_served(site, host)
    assert await host.is_ready()
    assert host.is_running
    assert meter.descriptor_peak < MAX_DESCRIPTORS


@pytest.mark.parametrize("listener", ["readiness_address", "metrics_address"])
async def test_bodies_sent_to_another_listener(
    start_site, gather_crowd, measure, listener
):
    site, host = await start_site({"memory_mb": 128})
    meter = measure(host)
    crowd = gather_crowd(getattr(host, listener))
    request = (
        b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n"
    ) + bytes((1 << 20) - 1)
    await crowd.send([request] * 150)
    assert await is_served(site, host)
    assert await host.is_ready()
    assert meter.peak_bytes < 128 << 20


@pytest.mark.parametrize("start", STARTS)
async def test_a_silent_connection_is_closed(start_site, start):
    site, host = await start_site({}, limits=LIMITS)
    assert await is_served(site, host)
    address, _, port = host.address.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(STARTS[start])
    # The guard of all tests ends this one if the connection stays open.
    try:
        while await reader.read(4096):
            pass
    except ConnectionResetError:
        pass
    writer.close()
    assert await is_served(site, host)


async def test_a_head_that_cannot_be_parsed_is_one_line_of_the_log(small_site):
    site, host = small_site
    for number in range(3):
        address, _, port = host.address.rpartition(":")
        connection = socket.create_connection((address, int(port)), 5.0)
        connection.sendall(b"GET / HTTP/1.1\r\nHost : %d\r\n\r\n" % number)
        assert b" 400 " in connection.recv(4096).split(b"\r\n")[0]
        connection.close()
    assert await is_served(site, host)
    lines = host.log_path.read_text().splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    assert len(events) == len(lines)
    assert all("frames" not in each for each in events)


async def test_slow_endpoints_leave_descriptors_for_the_store(
    start_site, gather_crowd, measure
):
    site, host = await start_site({}, max_descriptors=MAX_DESCRIPTORS)
    for each in site.scorers:
        each.delay_s = 1.2
        each.slots = 1000
    meter = measure(host)
    crowd = gather_crowd(host.address)
    requests = [
        (
            f"POST /score/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Request-Id: s{number}\r\nX-Request-Deadline: 5000\r\n"
            "Content-Length: 1\r\n\r\nx"
        ).encode()
        for number in range(CROWD_COUNT)
    ]
    await crowd.send(requests)
    assert meter.descriptor_peak < MAX_DESCRIPTORS
    for each in site.scorers:
        each.delay_s = 0.0
    await until(host.is_ready)
    assert await is_served(site, host)
    assert meter.descriptor_peak < MAX_DESCRIPTORS
    assert host.is_running


async def test_readers_that_wait_for_very_long(small_site, gather_crowd, measure):
    site, host = small_site
    # No engine has these weights, so there are no results to wait for.
    assert await site.submit(host, "b", min_version=99) == 202
    meter = measure(host)
    crowd = gather_crowd(host.address)
    request = (
        f"GET /bankrudder/lots/b?after=0 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        "X-Max-Wait: 1000000000\r\n\r\n"
    )
    await crowd.send([request.encode()] * CROWD_COUNT)

    async def are_waiting():
        return await gauge(host, "bankrudder_requests_in_progress") >= WAITING_COUNT

    await until(are_waiting)
    assert await is_served(site, host)
    assert host.is_running
    assert meter.descriptor_peak < MAX_DESCRIPTORS


async def test_requests_sent_in_advance(small_site, gather_crowd, measure):
    site, host = small_site
    meter = measure(host)
    crowd = gather_crowd(host.address)
    requests = head("/score/1", "p", "Content-Length: 0") * ADVANCE_COUNT
    await crowd.send([requests] * CROWD_COUNT)
    assert await is_served(site, host)
    assert host.is_running
    assert meter.descriptor_peak < MAX_DESCRIPTORS


@pytest.mark.parametrize("start", [b"", UPGRADE], ids=["at once", "after an upgrade"])
async def test_bytes_that_are_no_requests(start_site, gather_crowd, measure, start):
    site, host = await start_site({"memory_mb": NOISE_MEMORY_MB})
    meter = measure(host)
    crowd = gather_crowd(host.address)
    await crowd.send([start + bytes(1 << 20)] * NOISE_COUNT)
    assert await is_served(site, host)
    assert host.is_running
    assert meter.peak_bytes < NOISE_MEMORY_MB << 20

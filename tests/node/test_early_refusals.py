"""A request that cannot be served is refused before its body is read."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from outside.crowds import head
from outside.site import Site, configuration, until

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


@pytest.fixture
async def small_site(tmp_path):
    site = Site(tmp_path, hosts=1, limits=LIMITS)
    try:
        yield await site.start()
    finally:
        await site.stop()


@asynccontextmanager
async def connected(site):
    address, _, port = site.hosts[0].address.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    yield reader, writer
    writer.close()


async def status_of(reader):
    line = await reader.readline()
    return int(line.split()[1])


def run_count(site):
    return sum(len(each.arrivals) for each in site.engines + site.scorers)


@pytest.mark.parametrize(
    ("path", "length", "status"), [("/none", 10, 404), ("/score/1", 1001, 413)]
)
async def test_the_answer_does_not_wait_for_the_body(small_site, path, length, status):
    async with connected(small_site) as (reader, writer):
        writer.write(head(path, "r1", f"Content-Length: {length}"))
        assert await status_of(reader) == status
    assert run_count(small_site) == 0


async def test_chunks_beyond_the_limit_are_refused_before_their_end(small_site):
    async with connected(small_site) as (reader, writer):
        writer.write(head("/score/1", "r1", "Transfer-Encoding: chunked"))
        writer.write(b"%x\r\n%b\r\n" % (1001, bytes(1001)))
        assert await status_of(reader) == 413
    assert run_count(small_site) == 0


async def test_a_body_that_is_late_has_not_run(small_site):
    request = head("/once/1", "r1", "Content-Length: 10")
    async with connected(small_site) as (reader, writer):
        writer.write(request.replace(b"9000", b"200") + b"x")
        assert await status_of(reader) == 408
        assert b"Retry-After: " in await reader.readuntil(b"\r\n\r\n")
    assert run_count(small_site) == 0


async def test_a_route_that_is_removed_while_a_body_arrives_is_gone(small_site):
    async with connected(small_site) as (reader, writer):
        writer.write(head("/score/1", "r1", "Content-Length: 2") + b"x")
        routes = [
            each for each in configuration(2)["routes"] if each["name"] != "score"
        ]
        small_site.rows.put("op", "config", configuration(2, routes=routes))

        async def is_gone():
            [host] = small_site.hosts
            status, _, _ = await small_site.call(host, "POST", "/score/2")
            return status == 404

        await until(is_gone)
        runs = run_count(small_site)
        writer.write(b"x")
        assert await status_of(reader) == 404
    assert run_count(small_site) == runs

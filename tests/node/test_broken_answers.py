"""Endpoints that answer with bytes that are no answer, as callers see it.

The tests guard against callers that get such bytes, a connection that ends without an
answer, and a request that runs twice because the bytes say that it has not run.
"""

import asyncio
import json

import pytest

from outside.raw_answers import BROKEN, EVENT, answer, odd_answers
from outside.site import HOST_NAME, Site, batch, check_results
from outside.trainer_calls import submission


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path, hosts=1)
    try:
        yield await site.start()
    finally:
        await site.stop()


async def receive(site, path, request_id):
    """Send a request; return all bytes that come until the connection ends."""
    host, _, port = site.hosts[0].address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nConnection: close\r\n"
        f"X-Request-Id: {request_id}\r\nContent-Length: 1\r\n\r\nx".encode()
    )
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    return received


def split(received):
    """Return the status, the fields and the body of an answer, as they were sent."""
    head, separator, body = received.partition(b"\r\n\r\n")
    assert separator
    line, *fields = head.split(b"\r\n")
    version, status, _ = line.split(b" ", 2)
    assert version == b"HTTP/1.1"
    return int(status), dict(each.split(b": ", 1) for each in fields), body


def run_count(endpoints, request_id):
    return sum(each.run_counts[request_id] for each in endpoints)


async def test_a_request_runs_once_and_the_caller_gets_an_answer_of_ours(site):
    for number, (kind, raw) in enumerate(BROKEN.items()):
        request_id = f"q{number}"
        for each in site.scorers:
            each.fail_next = [raw]
        status, fields, body = split(await receive(site, "/once/1", request_id))
        assert status == 502, kind
        assert int(fields[b"Content-Length"]) == len(body), kind
        assert b"X-Response-Stamp" not in fields, kind
        assert run_count(site.scorers, request_id) == 1, kind
    assert not site.hosts[0].unhandled_errors()


async def test_one_that_may_be_repeated_is_answered_by_another_endpoint(site):
    for number, (kind, raw) in enumerate(BROKEN.items()):
        request_id = f"q{number}"
        site.scorers[number % 2].fail_next = [raw]
        status, _, body = split(await receive(site, "/score/1", request_id))
        assert (status, body) == (200, b"answer to x"), kind
    assert not site.hosts[0].unhandled_errors()


async def test_a_stream_gets_an_answer_of_ours(site):
    for number, (kind, raw) in enumerate(BROKEN.items()):
        request_id = f"q{number}"
        for each in site.engines:
            each.fail_next = [raw]
        received = await receive(site, "/stream/1", request_id)
        status, fields, body = split(received)
        if status == 200:
            # The head was an answer; without a last chunk, the caller sees the rest.
            assert fields[b"Transfer-Encoding"] == b"chunked", kind
            assert not body.endswith(b"0\r\n\r\n"), kind
        else:
            assert status == 502, kind
            assert int(fields[b"Content-Length"]) == len(body), kind
        assert run_count(site.engines, request_id) == 1, kind
    assert not site.hosts[0].unhandled_errors()


async def test_items_of_a_batch_go_on_at_other_engines(site):
    for each in site.engines:
        each.fail_next = [BROKEN["status_000"], BROKEN["blank_before_the_colon"]]
    for each in site.scorers:
        each.fail_next = [BROKEN["status_000_not_run"]]
    document = json.dumps(batch("b1")).encode()
    status, _ = await site.ask(site.hosts[0], submission("b1", document))
    assert status == 202
    check_results(await site.read_all("b1", 8), "b1", 8)
    assert not site.hosts[0].unhandled_errors()


async def test_odd_answers_pass(site):
    for number, (kind, raw) in enumerate(odd_answers(b"body").items()):
        for each in site.scorers:
            each.fail_next = [raw]
        received = await receive(site, "/once/1", f"q{number}")
        status, fields, body = split(received)
        assert (status, body) == (200, b"body"), kind
        assert fields[b"X-Response-Stamp"] == b"stamp", kind
        if kind == "bytes_over_127":
            assert fields[b"X-A"] == "é".encode()
            assert fields[b"X-B"] == b"a\xff\tb"
        if kind == "names":
            assert fields[b"!#$%&'*+-.^_`|~9aZ"] == b"b"
    assert not site.hosts[0].unhandled_errors()


async def test_odd_streams_pass(site):
    for number, (kind, raw) in enumerate(odd_answers(EVENT).items()):
        for each in site.engines:
            each.fail_next = [raw]
        status, fields, body = split(await receive(site, "/stream/1", f"q{number}"))
        assert status == 200, kind
        assert EVENT in body, kind
        assert body.endswith(b"0\r\n\r\n"), kind
        if kind == "bytes_over_127":
            assert fields[b"X-B"] == b"a\xff\tb"
    assert not site.hosts[0].unhandled_errors()


@pytest.mark.parametrize("status", [299, 404, 418, 599])
async def test_each_status_of_a_class_passes(site, status):
    for each in site.scorers:
        each.fail_next = [answer(line=b"HTTP/1.1 %d" % status)]
    found, _, body = split(await receive(site, "/once/1", "q1"))
    assert (found, body) == (status, b"body")

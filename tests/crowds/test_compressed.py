"""Compressed bodies are not unpacked, whatever size they would have then."""

import gzip

from outside.crowds import head

UNPACKED_BYTES = 60 << 20
"""Size of a body before it was compressed: a host takes an uncompressed one of it."""


async def test_compressed_bodies_pass_as_they_were_sent(
    start_site, gather_crowd, measure, settings, check_survival
):
    site, host = await start_site(settings)
    meter = measure(host)
    body = gzip.compress(bytes(UNPACKED_BYTES), 1)
    fields = ("Content-Encoding: gzip", f"Content-Length: {len(body)}")
    requests = [
        head("/score/gzip", f"gzip-{number}", *fields) + body for number in range(4)
    ]
    crowd = gather_crowd(host.address)
    await crowd.send(requests)
    answers = await crowd.receive()
    assert [each.split(b" ", 2)[1] for each in answers] == [b"200"] * 4
    arrived = [each[3] for scorer in site.scorers for each in scorer.arrivals]
    assert arrived == [body] * 4
    await check_survival(site, host, meter)

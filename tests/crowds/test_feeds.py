"""Crowds that connect to the feed of a host stop neither it nor its subscribers.

One host of a data centre reads the store for the others, which subscribe to it.
"""

import asyncio

import pytest

from outside.crowds import is_served
from outside.site import until

MAX_DESCRIPTORS = 160
CROWD_COUNT = 240
"""More connections than the process may have descriptors."""

SUBSCRIBER_START = b"\x00SP\x00\x00\x21\x00\x00"
"""What a subscriber sends when it has connected."""


@pytest.fixture
async def reader(start_site):
    """The host of a site that reads the store for the others."""
    site, host = await start_site({}, max_descriptors=MAX_DESCRIPTORS, min_feed_hosts=1)

    async def is_listening():
        address, _, port = host.feed_address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(address, int(port))
        except OSError:
            return False
        writer.close()
        return True

    await until(is_listening)
    return site, host


@pytest.mark.parametrize("start", [b"", SUBSCRIBER_START], ids=["silent", "subscribed"])
async def test_clients_of_a_feed(reader, gather_crowd, measure, start):
    site, host = reader
    meter = measure(host)
    crowd = gather_crowd(host.feed_address)
    await crowd.send([start] * CROWD_COUNT)
    assert await is_served(site, host)
    await until(host.is_ready)
    assert host.is_running
    assert meter.descriptor_peak < MAX_DESCRIPTORS

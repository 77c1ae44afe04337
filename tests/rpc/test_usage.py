"""Operators see what each workspace used, from the store."""

import pytest

from bankrudder.client import OperatorClient
from bankrudder.exceptions import BankrudderError
from outside.duties import DutyStandIn
from outside.rpc_interface import OPERATOR_TOKEN, RPC, apply, client
from outside.site import Site, until


@pytest.fixture
async def site(tmp_path):
    platform = await DutyStandIn(1.0).start()
    duties = platform.settings(window_s=1.0, late_s=4.0)
    site = Site(tmp_path, rpc=RPC, duties=duties, data_centres=("north", "south"))
    try:
        await site.start()
        assert (await apply(site)).accepted
        yield site
    finally:
        await site.stop()
        await platform.stop()
    assert platform.faults == []


async def windows(site, host=0, token=OPERATOR_TOKEN, most=100):
    async with OperatorClient(site.hosts[host].rpc_address, token) as operator:
        return await operator.usage(most)


def counted(found, state):
    return sum(each.counts.get("desk", 0) for each in found if each.state == state)


def is_of_usage(line):
    return line["event"].startswith(("usage", "relay", "leases", "duties"))


async def test_what_callers_used_is_counted_and_then_reported(site):
    async with client(site) as caller:
        for _ in range(3):
            await caller.call("lookup", b"7")

    found = []

    async def reported():
        found[:] = [await windows(site, host) for host in range(3)]
        return all(counted(each, "reported") == 3 for each in found)

    def seen():
        lines = [line for host in site.hosts for line in host.log_lines()]
        return found, [line for line in lines if is_of_usage(line)]

    await until(reported, 15.0, seen)
    found = await windows(site)
    numbers = [each.window for each in found]
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    assert len(await windows(site, most=1)) == 1


async def test_only_operators_see_usage(site):
    with pytest.raises(BankrudderError):
        await windows(site, token="broker-token")

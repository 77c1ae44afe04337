"""Operators read the usage of each workspace from the store."""

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


async def usage_windows(site, host=0, token=OPERATOR_TOKEN, max_count=100):
    async with OperatorClient(site.hosts[host].rpc_address, token) as operator:
        return await operator.usage(max_count)


def desk_request_count(windows, state):
    return sum(each.counts.get("desk", 0) for each in windows if each.state == state)


def concerns_usage(line):
    return line["event"].startswith(("usage", "relay", "leases", "duties"))


async def test_what_callers_used_is_counted_and_then_reported(site):
    async with client(site) as caller:
        for _ in range(3):
            await caller.call("lookup", b"7")

    found_by_host = []

    async def is_reported_on_each_host():
        found_by_host[:] = [await usage_windows(site, host) for host in range(3)]
        return all(desk_request_count(each, "reported") == 3 for each in found_by_host)

    def diagnostics():
        lines = [line for host in site.hosts for line in host.log_lines()]
        return found_by_host, [line for line in lines if concerns_usage(line)]

    await until(is_reported_on_each_host, 15.0, diagnostics)
    windows = await usage_windows(site)
    window_numbers = [each.window for each in windows]
    assert window_numbers == list(
        range(window_numbers[0], window_numbers[0] + len(window_numbers))
    )
    assert len(await usage_windows(site, max_count=1)) == 1


async def test_only_operators_see_usage(site):
    with pytest.raises(BankrudderError):
        await usage_windows(site, token="broker-token")

"""At most one holder at a time, also with outages, lost replies and late commits."""

import asyncio

import pytest

from bankrudder.leases import Lease
from bankrudder.platform._store import PlatformStore
from bankrudder.world import SystemClock
from outside.site import until
from outside.store import GateMode, StoreGate, StoreRows

LEASE_S = 0.8
HOST_NAMES = ["a", "b"]


class Host:
    """A host's lease, with a gate of its own to the store."""

    def __init__(self, name, gate, address="", lifetime=None):
        self.gate = gate
        self.store = PlatformStore.from_config(gate.address)
        self.lease = Lease(
            self.store, "duty", name, lifetime or f"life-{name}", lambda: True,
            SystemClock(), LEASE_S, address=address,
        )  # fmt: skip
        self.task = asyncio.ensure_future(self.lease.run())


@pytest.fixture
async def hosts():
    rows = StoreRows()
    hosts = [Host(name, await StoreGate(rows).start()) for name in HOST_NAMES]
    yield hosts
    for host in hosts:
        host.task.cancel()
        await host.store.close()
        await host.gate.stop()


def valid_holders(hosts):
    return [host for host in hosts if host.lease.is_valid]


async def wait_for_holder(hosts):
    await until(lambda: len(valid_holders(hosts)) == 1)
    [holder] = valid_holders(hosts)
    [other] = [host for host in hosts if host is not holder]
    return holder, other


async def assert_at_most_one_holder(hosts, seconds):
    for _ in range(int(seconds / 0.02)):
        assert len(valid_holders(hosts)) <= 1
        await asyncio.sleep(0.02)


async def test_one_host_acquires_and_keeps_the_lease(hosts):
    holder, _ = await wait_for_holder(hosts)
    fence = holder.lease.fence
    await assert_at_most_one_holder(hosts, 2 * LEASE_S)
    assert valid_holders(hosts) == [holder]
    assert holder.lease.fence == fence


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.SILENT, GateMode.RESET])
async def test_a_holder_that_cannot_renew_stops_before_takeover(hosts, mode):
    holder, other = await wait_for_holder(hosts)
    fence = holder.lease.fence
    holder.gate.mode = mode
    await assert_at_most_one_holder(hosts, 3 * LEASE_S)
    await until(lambda: other.lease.is_valid)
    assert other.lease.fence > fence
    holder.gate.mode = GateMode.OPEN
    await assert_at_most_one_holder(hosts, 2 * LEASE_S)


async def test_a_holder_reacquires_its_own_lease_after_an_outage(hosts):
    holder, other = await wait_for_holder(hosts)
    fence = holder.lease.fence
    for host in hosts:
        host.gate.mode = GateMode.BUSY
    await until(lambda: not valid_holders(hosts))
    holder.gate.mode = GateMode.OPEN
    # The holder does not wait until its own row is unchanged for a lease duration.
    await until(lambda: valid_holders(hosts) == [holder], 0.9 * LEASE_S)
    other.gate.mode = GateMode.OPEN
    assert holder.lease.fence >= fence
    await assert_at_most_one_holder(hosts, 2 * LEASE_S)


@pytest.mark.parametrize(
    ("address", "is_same"), [("10.0.0.1:80", True), ("10.0.0.9:80", False)]
)
async def test_a_later_run_reacquires_the_lease_only_on_the_same_machine(
    hosts, address, is_same
):
    """A machine that replaces another one may have the same host name."""
    holder, _ = await wait_for_holder(hosts)
    for host in hosts:
        host.task.cancel()
    gate = await StoreGate(holder.gate.rows).start()
    first = Host("c", gate, "10.0.0.1:80", "first")
    await until(lambda: first.lease.is_valid, 4 * LEASE_S)
    first.task.cancel()
    second = Host("c", gate, address, "second")
    try:
        await asyncio.sleep(LEASE_S / 2)
        assert second.lease.is_valid is is_same
        assert second.lease.fence > first.lease.fence or not is_same
    finally:
        second.task.cancel()
        for host in (first, second):
            await host.store.close()
        await gate.stop()


async def test_a_released_lease_is_not_acquired_at_once(hosts):
    # Messages of the former holder may still be in transit.
    holder, other = await wait_for_holder(hosts)
    holder.task.cancel()
    await holder.lease.release()
    assert not holder.lease.is_valid
    started_at = asyncio.get_running_loop().time()
    await until(lambda: other.lease.is_valid)
    assert asyncio.get_running_loop().time() - started_at >= LEASE_S / 2


async def test_lost_replies_do_not_lead_to_two_holders(hosts):
    holder, _ = await wait_for_holder(hosts)
    for host in hosts:
        host.gate.lose_replies = 3
    await assert_at_most_one_holder(hosts, 2 * LEASE_S)
    assert valid_holders(hosts) == [holder]


async def test_a_late_renewal_of_a_former_holder_has_no_effect(hosts):
    holder, other = await wait_for_holder(hosts)
    holder.gate.delay_commits = 100
    await until(lambda: other.lease.is_valid, 10.0)
    fence = other.lease.fence
    assert holder.gate.apply_delayed() == 0
    await assert_at_most_one_holder(hosts, LEASE_S)
    assert other.lease.fence == fence


@pytest.mark.parametrize("value", [b"", b"null", b"\xff", b'{"host":' + b"[" * 9000])
async def test_a_lease_whose_row_was_overwritten_is_acquired_again(hosts, value):
    """The host that watched the lease ended with each read of the row."""
    await wait_for_holder(hosts)
    rows = hosts[0].gate.rows
    rows.commit([], [(("leases", "duty", "a"), value)], [])
    rows.commit([], [(("leases", "duty", "lease"), value)], [])
    await until(lambda: not valid_holders(hosts))
    await wait_for_holder(hosts)
    assert not any(host.task.done() for host in hosts)

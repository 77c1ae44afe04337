"""One holder at a time, under silence, lost replies and late commits."""

import asyncio

import pytest

from bankrudder.leases import Lease
from bankrudder.platform._store import PlatformStore
from bankrudder.world import SystemClock
from outside.site import until
from outside.store import GateMode, StoreGate, StoreRows

LEASE_S = 0.8
NAMES = ["a", "b"]


class Host:
    """A host's lease and its own gate to the store."""

    def __init__(self, name, gate):
        self.gate = gate
        self.store = PlatformStore.from_config(gate.address)
        self.lease = Lease(
            self.store, "duty", name, f"life-{name}", lambda: NAMES, SystemClock(),
            LEASE_S,
        )  # fmt: skip
        self.task = asyncio.ensure_future(self.lease.run())


@pytest.fixture
async def hosts():
    rows = StoreRows()
    hosts = [Host(name, await StoreGate(rows).start()) for name in NAMES]
    yield hosts
    for host in hosts:
        host.task.cancel()
        await host.store.close()
        await host.gate.stop()


def holders(hosts):
    return [host for host in hosts if host.lease.is_valid]


async def held(hosts):
    await until(lambda: len(holders(hosts)) == 1)
    [holder] = holders(hosts)
    [other] = [host for host in hosts if host is not holder]
    return holder, other


async def never_two(hosts, seconds):
    for _ in range(int(seconds / 0.02)):
        assert len(holders(hosts)) <= 1
        await asyncio.sleep(0.02)


async def test_one_host_takes_and_keeps_the_lease(hosts):
    holder, _ = await held(hosts)
    fence = holder.lease.fence
    await never_two(hosts, 2 * LEASE_S)
    assert holders(hosts) == [holder]
    assert holder.lease.fence == fence


@pytest.mark.parametrize("mode", [GateMode.BUSY, GateMode.SILENT, GateMode.RESET])
async def test_a_holder_that_cannot_renew_stops_before_another_takes_over(hosts, mode):
    holder, other = await held(hosts)
    fence = holder.lease.fence
    holder.gate.mode = mode
    await never_two(hosts, 3 * LEASE_S)
    await until(lambda: other.lease.is_valid)
    assert other.lease.fence > fence
    holder.gate.mode = GateMode.OPEN
    await never_two(hosts, 2 * LEASE_S)


async def test_a_released_lease_is_not_taken_at_once(hosts):
    # What the former holder sent may still be on its way.
    holder, other = await held(hosts)
    holder.task.cancel()
    await holder.lease.release()
    assert not holder.lease.is_valid
    began = asyncio.get_running_loop().time()
    await until(lambda: other.lease.is_valid)
    assert asyncio.get_running_loop().time() - began >= LEASE_S / 2


async def test_lost_replies_do_not_make_two_holders(hosts):
    holder, _ = await held(hosts)
    for host in hosts:
        host.gate.lose_replies = 3
    await never_two(hosts, 2 * LEASE_S)
    assert holders(hosts) == [holder]


async def test_a_late_renewal_of_a_deposed_holder_changes_nothing(hosts):
    holder, other = await held(hosts)
    holder.gate.delay_commits = 100
    await until(lambda: other.lease.is_valid, 10.0)
    fence = other.lease.fence
    assert holder.gate.carry_out_delayed() == 0
    await never_two(hosts, LEASE_S)
    assert other.lease.fence == fence

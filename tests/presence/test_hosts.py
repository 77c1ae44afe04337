"""Silent hosts are considered dead, unless heartbeats cannot be written or read."""

import asyncio

import pytest

from bankrudder.platform._store import PlatformStore
from bankrudder.presence import Presence, RendezvousOrder, rendezvous_hash
from bankrudder.world import SystemClock
from outside.site import until
from outside.store import GateMode, StoreGate, StoreRows


class Host:
    """A host's presence, with a gate of its own to the store."""

    def __init__(self, name, gate):
        self.gate = gate
        self.store = PlatformStore.from_config(gate.address)
        self.presence = Presence(self.store, name, f"life-of-{name}", SystemClock())
        self.task = asyncio.ensure_future(self.presence.run())

    async def stop(self):
        self.task.cancel()
        await self.store.close()
        await self.gate.stop()


@pytest.fixture
async def hosts():
    rows = StoreRows()
    hosts = [Host(name, await StoreGate(rows).start()) for name in ("a", "b", "c")]
    yield hosts
    for host in hosts:
        await host.stop()


async def wait_until_all_known(hosts):
    for host in hosts:
        await until(lambda host=host: host.presence.live_hosts() == ["a", "b", "c"])


def find_duty_hosts(presence):
    return sorted(presence.duty_hosts(RendezvousOrder("duty"), 3))


async def test_a_silent_host_is_considered_dead(hosts):
    await wait_until_all_known(hosts)
    hosts[0].task.cancel()
    await until(lambda: hosts[1].presence.live_hosts() == ["b", "c"], 5.0)
    assert not hosts[1].presence.is_alive("a", "life-of-a")
    assert hosts[1].presence.is_alive("c", "life-of-c")


async def test_an_earlier_run_of_a_host_is_dead_at_once(hosts):
    await wait_until_all_known(hosts)
    assert not hosts[1].presence.is_alive("a", "an-earlier-life")


async def test_a_leaving_host_is_alive_but_not_eligible(hosts):
    await wait_until_all_known(hosts)
    hosts[0].presence.leave()
    await until(lambda: hosts[1].presence.live_hosts() == ["b", "c"])
    assert hosts[1].presence.is_alive("a", "life-of-a")


async def test_no_host_is_considered_dead_while_heartbeats_cannot_be_written(hosts):
    await wait_until_all_known(hosts)
    for host in hosts:
        host.gate.refuses_table = "hosts"
    for _ in range(30):
        await asyncio.sleep(0.1)
        assert hosts[1].presence.is_alive("a", "life-of-a")
    for host in hosts:
        host.gate.refuses_table = ""
    for _ in range(15):
        await asyncio.sleep(0.1)
        assert hosts[1].presence.is_alive("a", "life-of-a")


async def test_no_host_is_considered_dead_after_an_outage_for_all(hosts):
    await wait_until_all_known(hosts)
    for host in hosts:
        host.gate.mode = GateMode.BUSY
    await asyncio.sleep(2.5)
    for host in hosts:
        host.gate.mode = GateMode.OPEN
    for _ in range(20):
        await asyncio.sleep(0.05)
        assert hosts[1].presence.is_alive("a", "life-of-a")


async def test_a_busy_host_is_missed_sooner_than_an_idle_one(hosts, monkeypatch):
    # Idle hosts send heartbeats every three seconds, as in a very large fleet.
    monkeypatch.setattr("bankrudder.presence._hosts.IDLE_HEARTBEATS_PER_S", 1.0)
    hosts[0].presence.set_busy(True)
    await wait_until_all_known(hosts)
    await asyncio.sleep(1.0)
    assert hosts[0].presence.interval_s == 0.5
    assert hosts[1].presence.interval_s == 3.0
    for host in hosts[:2]:
        host.task.cancel()
    await until(lambda: not hosts[2].presence.takes_new_work("a"), 2.0)
    await until(lambda: hosts[2].presence.live_hosts() == ["b", "c"], 3.0)


async def test_one_failed_heartbeat_of_an_observer_does_not_delay_detection(
    hosts, monkeypatch
):
    # The observer is idle and sends heartbeats every three seconds, as in a very large
    # fleet.
    monkeypatch.setattr("bankrudder.presence._hosts.IDLE_HEARTBEATS_PER_S", 1.0)
    hosts[0].presence.set_busy(True)
    await wait_until_all_known(hosts)
    await asyncio.sleep(1.0)
    hosts[2].gate.refuses_table = "hosts"
    hosts[2].presence.set_revision(1)  # sends a heartbeat at once
    await until(lambda: ("POST", "/bankrudder/rows-tx", {}) in hosts[2].gate.calls)
    await asyncio.sleep(0.1)
    hosts[2].gate.refuses_table = ""
    hosts[0].task.cancel()
    await until(lambda: hosts[2].presence.live_hosts() == ["b", "c"], 3.0)


async def test_duties_and_batches_go_to_different_hosts(hosts):
    await wait_until_all_known(hosts)
    hosts[0].presence.set_busy(True)
    hosts[1].presence.set_holds_lease(True)
    presence = hosts[2].presence
    await until(lambda: find_duty_hosts(presence) == ["b", "c"])
    await until(lambda: presence.batch_hosts() == ["a", "c"])
    for host in hosts:
        host.presence.set_busy(True)
        host.presence.set_holds_lease(True)
    # If every host has both kinds of work, every host may get more.
    await until(lambda: find_duty_hosts(presence) == ["a", "b", "c"])
    await until(lambda: presence.batch_hosts() == ["a", "b", "c"])


async def test_a_host_whose_replies_are_lost_stays_alive(hosts):
    await wait_until_all_known(hosts)
    hosts[0].gate.hang_replies = True
    for _ in range(40):
        await asyncio.sleep(0.1)
        assert hosts[1].presence.is_alive("a", "life-of-a")


async def test_a_late_heartbeat_of_an_ended_run_is_ignored(hosts):
    await wait_until_all_known(hosts)
    hosts[0].task.cancel()
    gate = hosts[0].gate
    row = gate.rows.rows["hosts", "", "a"][1]
    gate.rows.commit(
        [], [(("hosts", "", "a"), row.replace(b"life-of-a", b"a-later-life"))], []
    )
    await until(lambda: not hosts[1].presence.is_alive("a", "life-of-a"))
    gate.rows.commit([], [(("hosts", "", "a"), row)], [])
    for _ in range(8):
        await asyncio.sleep(0.1)
        assert hosts[1].presence.is_alive("a", "a-later-life")
        assert not hosts[1].presence.is_alive("a", "life-of-a")


async def test_a_busy_host_stays_alive_when_half_of_its_writes_are_late(hosts):
    hosts[0].presence.set_busy(True)
    await wait_until_all_known(hosts)
    hosts[0].gate.late_share = 0.5
    for _ in range(80):
        await asyncio.sleep(0.1)
        assert hosts[1].presence.is_alive("a", "life-of-a")


async def test_all_hosts_agree_on_the_first_hosts_of_an_order(hosts):
    await wait_until_all_known(hosts)
    expected_order = sorted(
        ("a", "b", "c"), key=lambda host: rendezvous_hash("duty", host)
    )
    for host in hosts:
        found = host.presence.first_live(RendezvousOrder("duty"), 2)
        assert found == expected_order[:2]


async def test_leaving_and_unsuitable_hosts_are_skipped_in_an_order(hosts):
    await wait_until_all_known(hosts)
    order = RendezvousOrder("duty")
    first, second, third = hosts[1].presence.first_live(order, 3)
    by_name = {host.presence.host: host for host in hosts}
    by_name[first].presence.leave()
    watching = by_name[second].presence
    await until(lambda: watching.first_live(order, 3) == [second, third])
    assert watching.first_live(order, 1, ("nowhere",)) == []
    assert watching.first_live(order, 3, condition=lambda heartbeat: False) == []

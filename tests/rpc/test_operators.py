"""Operators over gRPC: apply under races and failures, status, drain, traces."""

import asyncio
import json

import pytest

from bankrudder.client import Caller, OperatorClient
from bankrudder.exceptions import BankrudderError, InvalidError, NotRunError
from bankrudder.failures import FailureReason
from outside.rpc_interface import OPERATOR_TOKEN, apply, client, document
from outside.site import until
from outside.store import GateMode


def changed_document(number):
    """Return a configuration document that is different for each number."""
    new_configuration = json.loads(document())
    new_configuration["caller_classes"][0]["queue_limit"] = 100 + number
    return json.dumps(new_configuration)


async def revision_and_document(site, host):
    """Return the revision and the document in force on a host."""
    async with OperatorClient(site.hosts[host].rpc_address, OPERATOR_TOKEN) as operator:
        found = await operator.configuration()
    return found.revision, found.document


async def test_an_accepted_configuration_is_in_force_on_every_host(site):
    applied = await apply(site, changed_document(1), base=1)
    assert (applied.revision, applied.accepted) == (2, True)
    for host in range(3):
        assert await revision_and_document(site, host) == (2, changed_document(1))


async def test_concurrent_applies_on_one_base_revision_accept_only_one(site):
    async def attempt(number):
        try:
            return await apply(site, changed_document(number), base=1, host=number % 3)
        except InvalidError as error:
            assert error.failure.reason is FailureReason.REVISION_CONFLICT
            return None

    outcomes = await asyncio.gather(*(attempt(number) for number in range(8)))
    winners = [number for number, each in enumerate(outcomes) if each is not None]
    assert len(winners) == 1
    for host in range(3):
        assert await revision_and_document(site, host) == (
            2,
            changed_document(winners[0]),
        )


async def test_repeating_an_apply_makes_no_second_revision(site):
    for host in range(3):
        assert (await apply(site, changed_document(1), base=1, host=host)).revision == 2


@pytest.mark.parametrize("attribute", ["lose_replies", "delay_commits"])
async def test_an_apply_succeeds_if_the_store_reply_is_lost_or_late(site, attribute):
    setattr(site.hosts[0].gate, attribute, 1)
    assert (await apply(site, changed_document(1), base=1)).revision == 2
    site.hosts[0].gate.apply_delayed()
    assert (await revision_and_document(site, 1))[0] == 2


async def test_an_accepted_configuration_survives_a_restart_of_all_hosts(site):
    await apply(site, changed_document(1), base=1)
    for host in site.hosts:
        await host.kill()
    for host in site.hosts:
        await host.start()
    await site.wait_ready()

    async def is_back():
        try:
            return (await revision_and_document(site, 2)) == (2, changed_document(1))
        except BankrudderError:
            return False

    await until(is_back)


async def test_a_host_without_the_store_is_reported_as_pending(site):
    site.hosts[2].gate.mode = GateMode.BUSY
    applied = await apply(site, changed_document(1), base=1)
    assert applied.revision == 2
    assert applied.accepted or applied.pending_hosts == ("host-2",)
    assert (await revision_and_document(site, 2))[0] == 1
    site.hosts[2].gate.mode = GateMode.OPEN

    async def has_new_revision():
        return (await revision_and_document(site, 2))[0] == 2

    await until(has_new_revision)


async def test_an_invalid_configuration_is_refused_with_the_field(site):
    with pytest.raises(InvalidError) as caught:
        await apply(site, document(jobs=[{"name": "x"}]), base=1)
    assert caught.value.failure.field.startswith("jobs[0]")
    assert (await revision_and_document(site, 0))[0] == 1


async def test_without_the_store_nothing_is_applied(site):
    for host in site.hosts:
        host.gate.mode = GateMode.BUSY
    with pytest.raises(NotRunError) as caught:
        await apply(site, changed_document(1), base=1)
    assert caught.value.failure.reason is FailureReason.STORE_UNAVAILABLE


async def test_a_data_class_moved_to_another_data_centre_takes_effect_at_once(site):
    """Once notices are allowed in the south only, none runs in the north."""
    new_configuration = json.loads(document())
    new_configuration["data_classes"][1]["allowed_data_centres"] = ["south"]
    assert (await apply(site, json.dumps(new_configuration), base=1)).accepted
    async with client(site) as caller:
        for _ in range(5):
            await caller.call("lookup", b"notice")
    assert [len(each.arrivals) for each in site.scorers] == [0, 5]


async def test_other_callers_and_unknown_tokens_may_not_operate(site):
    address = site.hosts[0].rpc_address
    for token, reason in (
        ("broker-token", FailureReason.NOT_ALLOWED),
        ("no-token", FailureReason.UNAUTHENTICATED),
    ):
        async with OperatorClient(address, token) as operator:
            with pytest.raises(InvalidError) as caught:
                await operator.configuration()
        assert caught.value.failure.reason is reason


async def test_status_tells_of_all_hosts_and_of_those_that_ended(site):
    await site.hosts[2].kill()

    async def states():
        address = site.hosts[0].rpc_address
        async with OperatorClient(address, "operator-token") as operator:
            nodes = await operator.status(all_hosts=True)
        return {node.host: node for node in nodes}

    async def is_reported_unreachable():
        return bool((await states())["host-2"].unreachable)

    await until(is_reported_unreachable, 15.0)
    nodes = await states()
    assert [nodes[f"host-{number}"].revision for number in range(3)] == [1, 1, 1]
    assert nodes["host-1"].data_centre == "south"
    assert nodes["host-0"].serving
    assert not nodes["host-1"].unreachable
    assert {each.name for each in nodes["host-0"].endpoints} >= {"engine-0", "scorer-1"}


async def test_drain_stops_a_host_gracefully(site):
    for scorer in site.scorers:
        scorer.delay_s = 0.8
    host = site.hosts[0]
    async with client(site, hosts=[host]) as caller:
        call = asyncio.ensure_future(caller.call("lookup", b"x"))
        await until(lambda: any(each.arrivals for each in site.scorers))
        async with OperatorClient(host.rpc_address, OPERATOR_TOKEN) as operator:
            await operator.drain()
        assert (await call).data == b"answer to x"
    await until(lambda: not host.is_running, 10.0)


async def test_a_trace_has_a_span_for_each_hop(site):
    trace_id = "a1" * 16
    async with client(site, hosts=[site.hosts[0]]) as caller:
        parent = f"00-{trace_id}-{'b2' * 8}-01"
        await caller.call("lookup", b"x", traceparent=parent)
    address = site.hosts[0].rpc_address
    async with OperatorClient(address, OPERATOR_TOKEN) as operator:
        spans = [json.loads(span) for span in await operator.trace(trace_id)]
    names = {span["name"]: span for span in spans}
    assert set(names) == {"rpc.call", "relay.attempt"}
    assert names["relay.attempt"]["parent_id"] == names["rpc.call"]["span_id"]


async def test_the_operator_token_of_the_settings_may_not_make_calls(site):
    async with Caller.from_config(
        [site.hosts[0].rpc_address], OPERATOR_TOKEN, data_class="notices"
    ) as caller:
        with pytest.raises(InvalidError) as caught:
            await caller.call("lookup", b"x")
    assert caught.value.failure.reason is FailureReason.UNAUTHENTICATED

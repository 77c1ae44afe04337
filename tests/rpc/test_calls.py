"""Calls over gRPC, with failures of endpoints, hosts and the store."""

import asyncio
import uuid

import pytest

from bankrudder.client import new_key
from bankrudder.exceptions import (
    FailedError,
    InvalidError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from outside.rpc_interface import client, runs
from outside.site import until
from outside.store import GateMode

LONG_PAYLOAD = bytes(100_000)


def key_generated_at(time_ms):
    """Return a UUIDv7 key with a time in milliseconds since the epoch."""
    return str(uuid.UUID(int=time_ms << 80 | 7 << 76 | 2 << 62 | 5))


def fail_next_at_all_services(site, *faults):
    """Make the next requests at each service fail with these faults, in order."""
    for scorer in site.scorers:
        scorer.fail_next = list(faults)


async def test_each_host_answers_a_call(site):
    for host in site.hosts:
        async with client(site, hosts=[host]) as caller:
            answer = await caller.call("lookup", b"7", method="find")
            assert answer.data == b"answer to 7"
            assert answer.endpoint.startswith("scorer-")
    paths = {path for each in site.scorers for _, _, path, _ in each.arrivals}
    assert paths == {"/lookup/find"}


async def test_a_call_runs_only_in_data_centres_allowed_for_its_data_class(site):
    """The second host and service are in a data centre not allowed for leases."""
    async with client(site, data_class="leases") as caller:
        for _ in range(6):
            await caller.call("lookup", b"lease")
    assert [len(each.arrivals) for each in site.scorers] == [6, 0]


async def test_a_host_in_a_forbidden_data_centre_refers_the_caller_to_others(site):
    south = [site.hosts[1]]
    async with client(site, data_class="leases", hosts=south) as caller:
        assert (await caller.call("lookup", b"lease")).data == b"answer to lease"
        with pytest.raises(InvalidError) as caught:
            await caller.call("nowhere", b"lease")
    assert caught.value.failure.reason is FailureReason.UNKNOWN_POOL


async def test_without_an_endpoint_in_an_allowed_data_centre_nothing_runs(site):
    north = site.hosts[:1]
    site.rows.remove("servers", site.scorers[0].id)
    gone = "fleet: endpoint gone"
    await until(lambda: gone in [line["event"] for line in north[0].log_lines()])
    async with client(site, data_class="leases", hosts=north, timeout_s=1.5) as caller:
        with pytest.raises(NotRunError) as caught:
            await caller.call("lookup", b"lease")
    assert caught.value.failure.reason is FailureReason.NO_ENDPOINT
    assert site.scorers[1].arrivals == []


async def test_callers_without_the_data_class_or_a_valid_token_are_refused(site):
    async with client(site, name="ledger", data_class="leases") as caller:
        with pytest.raises(InvalidError) as caught:
            await caller.call("lookup", b"x")
    assert caught.value.failure.reason is FailureReason.NOT_ALLOWED
    async with client(site, name="nobody") as caller:
        with pytest.raises(InvalidError) as caught:
            await caller.call("lookup", b"x")
    assert caught.value.failure.reason is FailureReason.UNAUTHENTICATED


@pytest.mark.parametrize("fault", ["500", "full", "reset", "foreign", "truncated"])
async def test_an_idempotent_call_is_retried_on_another_endpoint(site, fault):
    site.scorers[0].fail_next = [fault]
    async with client(site) as caller:
        for _ in range(3):
            assert (await caller.call("lookup", b"x")).data == b"answer to x"


async def test_a_repeated_key_gets_the_recorded_answer_at_any_host(site):
    key = new_key()
    for number, host in enumerate(site.hosts):
        async with client(site, hosts=[host]) as caller:
            answer = await caller.call("desk", b"order", key=key)
        assert (answer.data, answer.replayed) == (b"answer to order", number > 0)
    assert runs(site, key) == 1


async def test_a_long_answer_is_recorded_too(site):
    key = new_key()
    async with client(site) as caller:
        first = await caller.call("desk", LONG_PAYLOAD, key=key)
        second = await caller.call("desk", LONG_PAYLOAD, key=key)
    assert first.data == second.data == b"answer to " + LONG_PAYLOAD
    assert (second.replayed, runs(site, key)) == (True, 1)


async def test_concurrent_calls_with_one_key_run_once(site):
    key = new_key()
    for scorer in site.scorers:
        scorer.delay_s = 0.5
    async with client(site) as caller:
        answers = await asyncio.gather(
            *(caller.call("desk", b"order", key=key) for _ in range(6))
        )
    assert {answer.data for answer in answers} == {b"answer to order"}
    assert runs(site, key) == 1


async def test_a_key_reused_for_another_payload_is_refused(site):
    key = new_key()
    async with client(site) as caller:
        await caller.call("desk", b"one", key=key)
        with pytest.raises(InvalidError) as caught:
            await caller.call("desk", b"two", key=key)
    assert caught.value.failure.reason is FailureReason.KEY_REUSED


async def test_the_same_key_of_two_callers_means_two_calls(site):
    key = new_key()
    async with client(site) as broker, client(site, name="ledger") as ledger:
        await broker.call("desk", b"one", key=key)
        assert not (await ledger.call("desk", b"two", key=key)).replayed


@pytest.mark.parametrize(
    ("key", "error", "reason"),
    [
        ("order-1", InvalidError, FailureReason.KEY_MALFORMED),
        (key_generated_at(1), OutcomeUnknownError, FailureReason.KEY_EXPIRED),
        (key_generated_at(1 << 45), InvalidError, FailureReason.KEY_FROM_FUTURE),
    ],
)
async def test_malformed_expired_and_future_keys_are_refused(site, key, error, reason):
    async with client(site) as caller:
        with pytest.raises(error) as caught:
            await caller.call("desk", b"x", key=key)
    assert caught.value.failure.reason is reason
    assert runs(site, key) == 0


@pytest.mark.parametrize("fault", ["reset", "foreign", "truncated"])
async def test_a_call_whose_answer_is_lost_is_never_run_again(site, fault):
    key = new_key()
    fail_next_at_all_services(site, *[fault] * 4)
    async with client(site) as caller:
        for _ in range(3):
            with pytest.raises(OutcomeUnknownError):
                await caller.call("desk", b"order", key=key)
    assert runs(site, key) == 1


async def test_an_error_answer_of_the_endpoint_is_recorded(site):
    key = new_key()
    fail_next_at_all_services(site, "500")
    async with client(site) as caller:
        for _ in range(2):
            with pytest.raises(FailedError):
                await caller.call("desk", b"order", key=key)
    assert runs(site, key) == 1


async def test_a_call_that_did_not_run_may_be_repeated_with_its_key(site):
    key = new_key()
    fail_next_at_all_services(site, *["full"] * 30)
    async with client(site, timeout_s=1.0) as caller:
        with pytest.raises(NotRunError):
            await caller.call("desk", b"order", key=key)
    fail_next_at_all_services(site)
    async with client(site) as caller:
        assert not (await caller.call("desk", b"order", key=key)).replayed
    assert runs(site, key) == 1


async def test_a_call_whose_owner_host_is_killed_has_an_unknown_outcome(site):
    key = new_key()
    for scorer in site.scorers:
        scorer.delay_s = 1.0
    async with client(site, timeout_s=15.0) as caller:
        call = asyncio.ensure_future(caller.call("desk", b"order", key=key))
        await until(lambda: runs(site, key) == 1)
        [row] = [row for name, row in site.rows.rows.items() if name[0] == "calls"]
        owner = next(host for host in site.hosts if host.name.encode() in row[1])
        await owner.kill()
        with pytest.raises(OutcomeUnknownError):
            await call
    assert runs(site, key) == 1


async def test_a_cancelled_call_is_aborted_and_not_run_again(site):
    key = new_key()
    for scorer in site.scorers:
        scorer.delay_s = 5.0
    async with client(site) as caller:
        call = asyncio.ensure_future(caller.call("desk", b"order", key=key))
        await until(lambda: runs(site, key) == 1)
        call.cancel()
        await until(lambda: sum(each.cancelled_runs[key] for each in site.scorers) == 1)
        with pytest.raises(OutcomeUnknownError):
            await caller.call("desk", b"order", key=key)
    assert runs(site, key) == 1


@pytest.mark.parametrize("attribute", ["lose_replies", "delay_commits"])
async def test_lost_and_late_store_replies_cause_no_second_run(site, attribute):
    key = new_key()
    host = site.hosts[0]
    setattr(host.gate, attribute, 2)
    async with client(site, hosts=[host]) as caller:
        answer = await caller.call("desk", b"order", key=key)
        host.gate.apply_delayed()
        again = await caller.call("desk", b"order", key=key)
    assert answer.data == again.data == b"answer to order"
    assert runs(site, key) == 1


async def test_without_the_store_only_what_needs_no_record_runs(site):
    for host in site.hosts:
        host.gate.mode = GateMode.BUSY
    key = new_key()
    async with client(site, timeout_s=4.0) as caller:
        assert (await caller.call("lookup", b"x")).data == b"answer to x"
        with pytest.raises(NotRunError) as caught:
            await caller.call("desk", b"order", key=key)
    assert caught.value.failure.reason is FailureReason.STORE_UNAVAILABLE
    assert runs(site, key) == 0


async def test_an_interrupted_engine_answer_is_resumed_on_another_engine(site):
    for engine in site.engines:
        engine.reset_after = [2]
    async with client(site) as caller:
        answer = await caller.call("writer", b"prompt", max_tokens=9)
    texts = [f"-{number}" for number in range(4)]
    assert all(text.encode() in answer.data for text in texts)
    assert answer.versions == (1,)
    assert sum(len(engine.resumed) for engine in site.engines) >= 1

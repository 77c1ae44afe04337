"""Requests to endpoints carry the workspace of the gRPC caller."""

from bankrudder.world import StepShape
from outside.rpc_interface import client, trainer

SHAPE = StepShape(2, 2)


def workspace_headers(endpoints):
    """Return the sets of workspace headers that endpoints received."""
    return {
        tuple(headers.getall("X-Tenant", []))
        for endpoint in endpoints
        for _, headers in endpoint.headers
    }


async def test_a_call_carries_the_workspace_of_its_caller(site):
    async with client(site) as caller:
        await caller.call("lookup", b"7")
    assert workspace_headers(site.scorers) == {("desk",)}


async def test_a_call_of_a_caller_without_workspace_carries_none(site):
    async with client(site, "ledger") as caller:
        await caller.call("lookup", b"7")
    assert workspace_headers(site.scorers) == {()}


async def test_the_samples_of_a_step_carry_the_workspace_of_its_trainer(site):
    async with trainer(site) as client_of_trainer:
        samples = [
            sample
            async for sample in client_of_trainer.step("wording", 1, (b"a", b"b"), 2)
        ]
    assert {sample.slot for sample in samples} == SHAPE.slots
    assert workspace_headers(site.engines) == {("models",)}

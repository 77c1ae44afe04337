"""Endpoints are told the workspace of a caller of the project's own interface."""

from bankrudder.world import StepShape
from outside.rpc_interface import client, trainer

SHAPE = StepShape(2, 2)


def told(endpoints):
    """Return what endpoints were told of whose requests they got."""
    return {
        tuple(headers.getall("X-Tenant", []))
        for endpoint in endpoints
        for _, headers in endpoint.headers
    }


async def test_a_call_runs_for_the_workspace_of_its_caller(site):
    async with client(site) as caller:
        await caller.call("lookup", b"7")
    assert told(site.scorers) == {("desk",)}


async def test_a_caller_may_belong_to_no_workspace(site):
    async with client(site, "ledger") as caller:
        await caller.call("lookup", b"7")
    assert told(site.scorers) == {()}


async def test_the_samples_of_a_step_run_for_the_workspace_of_its_trainer(site):
    async with trainer(site) as client_of_trainer:
        samples = [
            sample
            async for sample in client_of_trainer.step("wording", 1, (b"a", b"b"), 2)
        ]
    assert {sample.slot for sample in samples} == SHAPE.slots
    assert told(site.engines) == {("models",)}

"""A request to an endpoint is sent once, whatever its HTTP method is.

The tests guard against requests that ran twice: where a connection ended without an
answer, the HTTP client sent requests other than POST again, below the code that decides
whether a request may run again.
"""

import pytest

from bankrudder.duties import DutyGrant, DutyOutcome, UsageReport
from bankrudder.fleet import (
    Endpoint,
    LossReason,
    Lost,
    OrderOutcome,
    OutgoingRequest,
    SwitchMode,
    VersionOrder,
)
from bankrudder.platform._duty_api import HttpDutyApi
from bankrudder.platform._endpoint_client import HttpEndpointClient
from outside.duties import DutyStandIn
from outside.endpoints import EngineStandIn, ServiceStandIn

METHODS = ("POST", "PUT", "GET", "DELETE", "HEAD", "OPTIONS", "PATCH")

BODY = b"body"


@pytest.fixture
async def server():
    server = await ServiceStandIn("e").start()
    yield server
    await server.stop()


@pytest.fixture
async def client():
    client = HttpEndpointClient()
    yield client
    await client.close()


def entry(server):
    return Endpoint(server.id, "s", server.address, "north", 8)


def make_request(method, request_id="q1", may_reuse_connection=False):
    return OutgoingRequest(
        request_id,
        method,
        "/",
        "host",
        (),
        BODY,
        5.0,
        may_reuse_connection=may_reuse_connection,
    )


async def send(client, server, request):
    return await client.send(entry(server), request)


async def open_stream(client, server, request):
    async with client.open_stream(entry(server), request) as outcome:
        return outcome


@pytest.mark.parametrize("call", [send, open_stream])
@pytest.mark.parametrize("method", METHODS)
async def test_a_request_whose_answer_is_lost_runs_once(server, client, method, call):
    server.fail_next = ["reset"]
    outcome = await call(client, server, make_request(method))
    assert outcome == Lost(LossReason.NO_ANSWER)
    assert server.run_counts == {"q1": 1}


@pytest.mark.parametrize("method", METHODS)
async def test_so_does_one_on_a_connection_that_was_used_before(server, client, method):
    await send(client, server, make_request("POST", may_reuse_connection=True))
    server.fail_next = ["reset"]
    request = make_request(method, "q2", may_reuse_connection=True)
    assert await send(client, server, request) == Lost(LossReason.NO_ANSWER)
    assert server.run_counts["q2"] == 1


@pytest.mark.parametrize("call", [send, open_stream])
@pytest.mark.parametrize("method", METHODS)
async def test_a_request_that_ended_its_endpoint_is_not_reported_as_refused(
    server, client, method, call
):
    """Guards against a repetition that finds the port closed and hides the run."""
    server.crash_on.add(BODY)
    outcome = await call(client, server, make_request(method))
    assert outcome == Lost(LossReason.NO_ANSWER)


async def test_an_order_whose_answer_is_lost_is_given_once(client):
    engine = await EngineStandIn("e", "m0").start()
    engine.lose_order_replies = 1
    order = VersionOrder("m0", 2, SwitchMode.CONTINUE, "host-1", 1, 0)
    assert await client.order(entry(engine), order) is OrderOutcome.UNKNOWN
    assert len(engine.orders) == 1
    await engine.stop()


async def test_a_duty_call_whose_answer_is_lost_is_made_once():
    platform = await DutyStandIn(1.0).start()
    api = HttpDutyApi(platform.address)
    platform.answers = ["lost"]
    outcome = await api.call(UsageReport(5, {}), DutyGrant("host-1", 12, 0.3))
    assert outcome is DutyOutcome.UNKNOWN
    assert len(platform.calls) == 1
    await api.close()
    await platform.stop()

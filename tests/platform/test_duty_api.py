"""Calls of duties as the platform receives them, and what its answers mean."""

import asyncio

import pytest

from bankrudder.duties import DutyGrant, DutyOutcome, EndpointOrder, UsageReport
from bankrudder.platform._duty_api import HttpDutyApi
from loopback import unique_address
from outside.duties import DutyStandIn

REPORT = UsageReport(353445120, {"north": 412})
GRANT = DutyGrant("host-1", 12, 0.3)


@pytest.fixture
async def platform():
    platform = await DutyStandIn(1.0).start()
    yield platform
    await platform.stop()


@pytest.fixture
async def api(platform):
    api = HttpDutyApi(platform.address)
    yield api
    await api.close()


async def test_a_report_arrives_whole(api, platform):
    assert await api.call(REPORT, GRANT) is DutyOutcome.DONE
    assert platform.usage == {353445120: {"north": 412}}
    [(_, holder, fence)] = platform.calls
    assert (holder, fence) == ("host-1", 12)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (429, DutyOutcome.REFUSED),
        (503, DutyOutcome.REFUSED),
        (400, DutyOutcome.REJECTED),
        (409, DutyOutcome.REJECTED),
        (500, DutyOutcome.UNKNOWN),
        (502, DutyOutcome.UNKNOWN),
        ("lost", DutyOutcome.UNKNOWN),
        ("silent", DutyOutcome.UNKNOWN),
    ],
)
async def test_what_an_answer_means(api, platform, answer, outcome):
    platform.answers = [answer]
    assert await api.call(REPORT, GRANT) is outcome


async def test_a_call_ends_in_its_time(api, platform):
    platform.delay_s = 5.0
    began = asyncio.get_running_loop().time()
    assert await api.call(REPORT, GRANT) is DutyOutcome.UNKNOWN
    assert asyncio.get_running_loop().time() - began < 1.0


async def test_a_duty_that_was_lost_while_connecting_sends_no_call(api, platform):
    """A host may be frozen after the look at its lease, and another one has it then."""
    lost = DutyGrant("host-1", 12, 0.3, lambda: False)
    assert await api.call(REPORT, lost) is DutyOutcome.NOT_ON_DUTY
    assert platform.calls == []
    assert platform.usage == {}
    assert await api.call(REPORT, GRANT) is DutyOutcome.DONE


async def test_nobody_listening_means_that_nothing_was_done():
    api = HttpDutyApi(unique_address())
    assert await api.call(REPORT, GRANT) is DutyOutcome.REFUSED
    await api.close()


async def test_an_order_of_endpoints_names_their_whole_number(api, platform):
    order = EndpointOrder("engines", "north", 6)
    assert await api.call(order, GRANT) is DutyOutcome.DONE
    assert platform.orders == [("engines", "north", 6)]


@pytest.mark.parametrize(
    ("answer", "outcome"), [(409, DutyOutcome.REFUSED), (400, DutyOutcome.REJECTED)]
)
async def test_where_none_is_to_be_had_the_order_may_be_made_again(
    api, platform, answer, outcome
):
    platform.answers = [answer]
    order = EndpointOrder("engines", "north", 6)
    assert await api.call(order, GRANT) is outcome
    assert platform.orders == []

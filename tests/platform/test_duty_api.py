"""Calls of duties as the platform receives them, and what its answers mean."""

import asyncio

import pytest

from bankrudder.duties import DutyOutcome, DutyTicket, UsageReport
from bankrudder.platform._duty_api import HttpDutyApi
from loopback import own_address
from outside.duties import DutyStandIn

REPORT = UsageReport(353445120, {"north": 412})
TICKET = DutyTicket("host-1", 12, 0.3)


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
    assert await api.call(REPORT, TICKET) is DutyOutcome.DONE
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
    assert await api.call(REPORT, TICKET) is outcome


async def test_a_call_ends_in_its_time(api, platform):
    platform.delay_s = 5.0
    began = asyncio.get_running_loop().time()
    assert await api.call(REPORT, TICKET) is DutyOutcome.UNKNOWN
    assert asyncio.get_running_loop().time() - began < 1.0


async def test_nobody_listening_means_that_nothing_was_done():
    api = HttpDutyApi(own_address())
    assert await api.call(REPORT, TICKET) is DutyOutcome.REFUSED
    await api.close()

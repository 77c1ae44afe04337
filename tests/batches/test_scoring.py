"""A reward call is given up only after as many failed answers as its route allows."""

import pytest

from bankrudder.batches._scoring import ScoreFailedError, Scorer
from bankrudder.batches._values import RewardCall
from bankrudder.fleet import Endpoint, EndpointDirectory
from bankrudder.relay import NotRun, RejectReason, Relayed, Unanswered
from bankrudder.routing import (
    Route,
    RouteKind,
    RoutingConfiguration,
    RoutingTable,
    WeightedService,
)

ROUTE = Route(
    "score", "h", "/s/", RouteKind.IDEMPOTENT, (WeightedService("g", 1),), 1.5, 0.2,
    max_attempts=3,
)  # fmt: skip
CALL = RewardCall("r1", "h", "/s/1", b"")
SCORED = Relayed(200, (), b"", proof="receipt")


class ScriptedForwarder:
    """Returns the given replies in order, one for each request."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.priorities = []

    def pick_service(self, route):
        return route.services[0].service

    async def forward(self, request, route):
        assert request.request_id == "r1"
        self.priorities.append(request.priority)
        return self.replies.pop(0)


@pytest.fixture
def score(manual_clock):
    async def score(*replies):
        directory = EndpointDirectory("north", manual_clock)
        directory.put(Endpoint("e", "g", "127.0.0.1:1", "north", slots=4))
        table = RoutingTable(RoutingConfiguration(1, (ROUTE,), ()))
        forwarder = ScriptedForwarder(replies)
        scorer = Scorer(forwarder, directory, lambda: table, manual_clock)
        score.priorities = forwarder.priorities
        return await scorer.score(CALL, trace="")

    return score


def failed(count):
    return Relayed(500, (), b"", failed_answers=count)


async def test_the_proof_of_the_answer_is_the_score(score):
    assert await score(SCORED) == "receipt"


async def test_a_call_is_retried_while_fewer_answers_failed_than_allowed(score):
    assert await score(failed(1), failed(1), SCORED) == "receipt"


async def test_a_call_is_given_up_after_the_allowed_failed_answers(score):
    with pytest.raises(ScoreFailedError):
        await score(failed(2), failed(1))


async def test_a_call_without_an_answer_is_retried(score):
    lost = Unanswered(RejectReason.OUT_OF_TIME, is_timeout=True)
    refused = NotRun(RejectReason.FULL, 0.1)
    assert await score(lost, refused, lost, SCORED) == "receipt"


async def test_an_answer_without_a_proof_is_no_score(score):
    assert await score(Relayed(200, (), b""), SCORED) == "receipt"


async def test_a_call_that_was_refused_goes_before_the_requests_of_callers(score):
    rejected = NotRun(RejectReason.OVERLOADED, 0.01)
    assert await score(rejected, rejected, SCORED) == "receipt"
    assert score.priorities == [None, -1, -1]

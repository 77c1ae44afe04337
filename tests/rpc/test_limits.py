"""Limits on the requests in progress on a node."""

import pytest

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.memory import MemoryBudget
from bankrudder.rpc._limits import RequestLimiter, RpcLimits
from bankrudder.world import CallerName

DESK, LEDGER = CallerName("desk"), CallerName("ledger")


@pytest.mark.parametrize(
    ("limits", "caller", "size_bytes", "detail_pattern"),
    [
        (
            RpcLimits(max_requests=1),
            LEDGER,
            1,
            "this node has reached its limit of 1 requests in progress",
        ),
        (
            RpcLimits(max_requests_per_caller=1),
            DESK,
            1,
            "desk has reached its limit of 1 requests in progress",
        ),
        (
            RpcLimits(max_held_bytes=10),
            LEDGER,
            6,
            "6 bytes would exceed this node's limit of 10 bytes in progress",
        ),
        (
            RpcLimits(max_held_bytes_per_caller=10),
            DESK,
            6,
            "6 bytes would exceed desk's limit of 10 bytes in progress",
        ),
    ],
)
def test_a_refusal_names_the_limit_and_a_later_request_is_admitted(
    limits, caller, size_bytes, detail_pattern
):
    limiter = RequestLimiter(limits)
    with (
        limiter.admit(DESK, 5),
        pytest.raises(NotRunError, match=detail_pattern) as caught,
        limiter.admit(caller, size_bytes),
    ):
        pass
    assert caught.value.failure.reason is FailureReason.OVERLOADED
    assert caught.value.failure.retry_after_s
    assert (limiter.request_count, limiter.byte_count, limiter.refused_count) == (
        0,
        0,
        1,
    )
    with limiter.admit(caller, size_bytes):
        assert limiter.request_count == 1


def test_a_caller_at_its_limit_does_not_block_another_caller():
    limiter = RequestLimiter(RpcLimits(max_requests_per_caller=1))
    with limiter.admit(DESK, 1), limiter.admit(LEDGER, 1):
        assert limiter.request_count == 2


def test_a_failed_request_no_longer_counts():
    limiter = RequestLimiter(RpcLimits())
    with pytest.raises(KeyError), limiter.admit(DESK, 7):
        raise KeyError
    assert (limiter.request_count, limiter.byte_count) == (0, 0)


def test_requests_count_as_data_of_the_process(manual_clock):
    budget = MemoryBudget(1000, manual_clock, uncounted_bytes=0)
    limiter = RequestLimiter(RpcLimits(), budget)
    with limiter.admit("a", 700):
        assert budget.held_bytes == 700
        with pytest.raises(NotRunError) as caught, limiter.admit("a", 700):
            pass
        assert caught.value.failure.reason is FailureReason.OVERLOADED
    assert budget.held_bytes == 0
    with limiter.admit("a", 700):
        pass

"""What callers may make one node hold."""

import pytest

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.rpc._limits import RequestLimiter, RpcLimits
from bankrudder.world import CallerName

DESK, LEDGER = CallerName("desk"), CallerName("ledger")


@pytest.mark.parametrize(
    ("limits", "caller", "size", "names"),
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
def test_each_bound_refuses_with_its_name_and_lets_go_again(
    limits, caller, size, names
):
    held = RequestLimiter(limits)
    with (
        held.admit(DESK, 5),
        pytest.raises(NotRunError, match=names) as caught,
        held.admit(caller, size),
    ):
        pass
    assert caught.value.failure.reason is FailureReason.OVERLOADED
    assert caught.value.failure.retry_after_s
    assert (held.requests, held.byte_count, held.refused_count) == (0, 0, 1)
    with held.admit(caller, size):
        assert held.requests == 1


def test_one_caller_at_its_bound_leaves_room_for_another():
    held = RequestLimiter(RpcLimits(max_requests_per_caller=1))
    with held.admit(DESK, 1), held.admit(LEDGER, 1):
        assert held.requests == 2


def test_a_request_that_fails_is_let_go():
    held = RequestLimiter(RpcLimits())
    with pytest.raises(KeyError), held.admit(DESK, 7):
        raise KeyError
    assert (held.requests, held.byte_count) == (0, 0)

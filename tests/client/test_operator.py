"""Tests of the client for operators: requests that it does not send."""

import pytest

from bankrudder.client import OperatorClient
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.wire import MAX_REQUEST_BYTES

UNREACHABLE_ADDRESS = "127.0.0.1:1"


async def test_a_configuration_over_the_size_limit_is_not_sent():
    async with OperatorClient(UNREACHABLE_ADDRESS, "secret") as client:
        with pytest.raises(InvalidError) as caught:
            await client.apply("x" * MAX_REQUEST_BYTES, 0)
    assert caught.value.failure.reason is FailureReason.TOO_LARGE

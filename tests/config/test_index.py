"""Look-ups of configuration entries."""

import pytest

from bankrudder.config import ConfigurationIndex, check
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason


@pytest.fixture
def index(document):
    return ConfigurationIndex(check(document()))


def test_entries_are_found_by_name(index):
    assert index.pool("quotes").model == "lease-quotes"
    assert index.caller_class("brokers").priority == 0
    assert index.data_class("lease").name == "lease"
    assert index.allowed("member-ledger") == {"hsinchu", "taoyuan"}
    assert index.job("wording").pool == "quotes"


def test_a_caller_is_found_by_the_hash_of_its_token(index):
    caller = index.configuration.callers[0]
    assert index.caller_by_token_hash(caller.token_sha256) is caller
    assert index.caller_by_token_hash("0" * 64) is None


@pytest.mark.parametrize(
    ("look_up", "reason"),
    [
        ("pool", FailureReason.UNKNOWN_POOL),
        ("caller_class", FailureReason.BAD_REQUEST),
        ("data_class", FailureReason.UNKNOWN_DATA_CLASS),
        ("allowed", FailureReason.UNKNOWN_DATA_CLASS),
        ("job", FailureReason.UNKNOWN_JOB),
    ],
)
def test_an_unknown_name_is_refused_with_the_reason_of_its_kind(index, look_up, reason):
    with pytest.raises(InvalidError) as raised:
        getattr(index, look_up)("nothing")
    assert raised.value.failure.reason is reason

"""Validation of whole configurations: errors name the wrong field and its value."""

import json
from pathlib import Path

import pytest

from bankrudder.config import check
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.world import Configuration

ROOT = Path(__file__).parents[2]

WRONG_VALUES = [
    ("data_centres[0].name", "hsin chu", "letters"),
    ("data_centres[0].region", "", "region"),
    ("data_classes[0].allowed_data_centres", [], "at least one"),
    ("data_classes[0].allowed_data_centres[0]", "tainan", "no such data centre"),
    ("data_classes[0].allowed_data_centres[1]", "hsinchu", "once"),
    ("caller_classes[0].priority", -1, "at least 0"),
    ("caller_classes[0].queue_limit", 0, "at least 1"),
    ("caller_classes[0].queue_timeout_s", 0, "more than 0"),
    ("caller_classes[0].reserved", -1, "at least 0"),
    ("callers[0].caller_class", "farmers", "there are: brokers"),
    ("callers[0].workspace", "harbour", "no such workspace"),
    ("callers[0].token_sha256", "ABC", "64 lower-case"),
    ("callers[0].data_classes[0]", "gossip", "no such data class"),
    ("callers[0].roles", [], "at least one role"),
    ("callers[0].roles[0]", "king", "caller, operator, trainer"),
    ("pools[0].model", "", "needs a model"),
    ("pools[1].model", "m", "no model"),
    ("pools[0].contract.timeout_s", 0, "more than 0"),
    ("pools[1].contract.retry_window_s", 1, "at least timeout_s"),
    ("pools[0].contract.max_attempts", 0, "at least 1"),
    ("pools[0].path", "generate", "begin and end"),
    ("pools[0].kind", "oracle", "engine, service"),
    ("jobs[0].pool", "leases", "no such pool"),
    ("jobs[0].pool", "quote-desk", "engines"),
    ("jobs[0].data_class", "gossip", "no such data class"),
    ("jobs[0].caller_class", "farmers", "no such caller class"),
    ("jobs[0].trainer", "nobody", "no such caller"),
    ("jobs[0].trainer", "quote-desk", "role trainer"),
    ("jobs[0].trainer", "risk-notes-trainer", "may not use"),
    ("jobs[0].max_staleness", -1, "at least 0"),
    ("jobs[0].max_tokens", 0, "at least 1"),
    ("jobs[0].sample_timeout_s", 0, "more than 0"),
    ("jobs[0].adapter", "a/b", "letters"),
    ("jobs[1].adapter", "wording", "trainer of job wording"),
    ("jobs[0].speed", 1, "unknown field"),
]


def set_value(document, path, value):
    """Set the value at `path`, such as ``jobs[0].pool``."""
    *parents, last = path.replace("[", ".").replace("]", "").split(".")
    for parent in parents:
        document = document[int(parent)] if parent.isdigit() else document[parent]
    if isinstance(document, list):
        document[int(last)] = value
    else:
        document[last] = value


def failure_of(document):
    with pytest.raises(InvalidError) as raised:
        check(json.dumps(document).encode())
    return raised.value.failure


@pytest.mark.parametrize("site", ["tasman", "formosa"])
def test_the_examples_are_valid(site):
    assert check((ROOT / "examples" / f"{site}.json").read_bytes()).jobs


@pytest.mark.parametrize(("path", "value", "allowed"), WRONG_VALUES)
def test_a_wrong_value_is_reported_with_what_is_allowed(
    formosa_document, path, value, allowed
):
    for caller in formosa_document["callers"]:
        caller.setdefault("roles", ["caller"])
    set_value(formosa_document, path, value)
    failure = failure_of(formosa_document)
    assert failure.reason is FailureReason.CONFIGURATION_WRONG
    assert failure.field.startswith(path)
    assert allowed in failure.detail
    assert json.dumps(value) in failure.detail


@pytest.mark.parametrize("section", Configuration.__struct_fields__)
def test_a_name_given_twice_is_wrong(formosa_document, section):
    formosa_document[section].append(formosa_document[section][0])
    assert (
        f"{section}[{len(formosa_document[section]) - 1}].name"
        in failure_of(formosa_document).detail
    )


def test_all_findings_are_listed_and_the_field_is_of_the_first(formosa_document):
    set_value(formosa_document, "jobs[1].max_tokens", 0)
    set_value(formosa_document, "pools[0].model", "")
    failure = failure_of(formosa_document)
    assert failure.field == "pools[0].model"
    assert "jobs[1].max_tokens" in failure.detail


def test_an_operator_is_required(formosa_document):
    formosa_document["callers"] = formosa_document["callers"][:-1]
    assert failure_of(formosa_document).field == "callers"


UNDECODABLE_DOCUMENTS = [
    *(b"", b"{", b"\xff", b"[]", b"null"),
    *(b'{"unknown": ', b'{"jobs": 1, "pools', b'{"unknown": "\xff"}'),
    *(b"[" * 100_000, b'{"unknown": ' + b"[" * 100_000),
]


@pytest.mark.parametrize("document", UNDECODABLE_DOCUMENTS)
def test_an_undecodable_document_is_refused(document):
    with pytest.raises(InvalidError):
        check(document)
